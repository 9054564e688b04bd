//! Messages and records of an earlier build, which runs beside this one while nodes are
//! replaced (docs/design/versions.md). The bytes were encoded by commit d0ddd2d.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::{Harness, placement_request};
use flamingolock_gateway::control::{BuildRule, Event, Placement, Refusal};
use flamingolock_wire::gossip::{BegunStream, BegunStreamList, BuildHistory, Gossip, ListedBuild};
use prost::Message;

/// A datagram of node 7: a run, the stream of request 0x0102030405060708 at v1, and that only
/// v1 was listed in the last 9,000 ms.
const GOSSIP: &str = "0a2c090700000000000000120b31302e302e302e393a38301a067a6f6e652d6128013a066e6f64\
    652d3150015808121a080311050000000000000020dc0b2864320809000000000000004a10090807060504030201120276\
    3118fa0152140a0f0a07656e67696e657312027631180a10a846";

/// The record of the versions that were listed.
const BUILDS: &str = "0a0f0a07656e67696e657312027631180a10a846";

/// The record of the streams that began.
const STREAMS: &str = "0a100908070605040302011202763118fa01";

const REQUEST: u64 = 0x0102_0304_0506_0708;

/// Time for which streams are remembered, in ms: the timeout of the route and the margin.
const MEMORY_MS: u64 = 9_000;

/// [`BegunStream`] and [`BuildHistory`] as the earlier build reads them.
#[derive(Clone, PartialEq, Message)]
struct EarlierStream {
    #[prost(fixed64, tag = "1")]
    request: u64,
    #[prost(string, tag = "2")]
    build: String,
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierHistory {
    #[prost(message, repeated, tag = "1")]
    builds: Vec<ListedBuild>,
    #[prost(uint64, tag = "2")]
    complete_ms: u64,
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().collect();
    let byte = |pair: &[char]| {
        let pair: String = pair.iter().collect();
        u8::from_str_radix(&pair, 16).expect("two digits")
    };
    digits.chunks(2).map(byte).collect()
}

/// A node that has just started, with engines of two versions and streams of 4,000 ms at
/// most.
fn start(now: u64) -> Harness {
    let mut harness = Harness::with_engines(0, now);
    harness.engines_of_builds(&["v1", "v2"], now);
    harness.stream_catalog(2, 4_000, now);
    harness
}

fn resume(harness: &mut Harness, request: u64, now: u64) -> Placement {
    let mut placement = placement_request(None, 1);
    placement.build_rule = BuildRule::SameAs(Some(request));
    harness
        .place(placement, now)
        .expect("an immediate decision")
}

/// A stream that an earlier build tells of is remembered under the configuration in force, not
/// for no time at all.
#[test]
fn stream_of_an_earlier_build_goes_on_at_its_version() {
    let mut harness = start(1_000);
    let gossip = Gossip::decode(&bytes(GOSSIP)[..]).expect("a datagram");
    harness.datagram(9, gossip, 1_000);
    // It began 250 ms before.
    for now in [1_100, 750 + MEMORY_MS] {
        harness.control.tick(now);
        let grant = resume(&mut harness, REQUEST, now)
            .unwrap_or_else(|refusal| panic!("{now}: {refusal:?}"));
        assert_eq!(&*grant.endpoint.build, "v1");
    }
    harness.control.tick(1_300 + MEMORY_MS);
    let refusal = resume(&mut harness, REQUEST, 1_300 + MEMORY_MS).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn records_of_an_earlier_build_are_read() {
    let mut harness = start(1_000);
    let builds = BuildHistory::decode(&bytes(BUILDS)[..]).expect("a record");
    assert_eq!((builds.memory_ms, builds.memory_left_ms), (0, 0));
    harness.control.handle(Event::BuildsRead(builds), 1_010);
    let streams = BegunStreamList::decode(&bytes(STREAMS)[..]).expect("a record");
    harness.control.handle(Event::StreamsRead(streams), 1_020);
    let grant = resume(&mut harness, REQUEST, 1_000 + MEMORY_MS).expect("a grant");
    assert_eq!(&*grant.endpoint.build, "v1");
    let refusal = resume(&mut harness, REQUEST + 1, 1_100).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn earlier_build_reads_the_messages_of_this_one() {
    let stream = BegunStream {
        request: REQUEST,
        build: "v1".to_owned(),
        age_ms: 250,
        timeout_ms: 15_000,
        engine: 7,
    };
    let read = EarlierStream::decode(&stream.encode_to_vec()[..]).expect("a stream");
    assert_eq!(
        (read.request, read.build.as_str(), read.age_ms),
        (REQUEST, "v1", 250)
    );
    let listed = ListedBuild {
        service: "engines".to_owned(),
        build: "v1".to_owned(),
        age_ms: 10,
    };
    let history = BuildHistory {
        builds: vec![listed.clone()],
        complete_ms: 9_000,
        memory_ms: 20_000,
        memory_left_ms: 5_000,
    };
    let read = EarlierHistory::decode(&history.encode_to_vec()[..]).expect("a history");
    assert_eq!((read.builds, read.complete_ms), (vec![listed], 9_000));
}
