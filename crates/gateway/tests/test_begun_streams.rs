//! Which engines may continue a stream that its caller resumes.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{Harness, copies_of, placement_request};
use flamingolock_gateway::control::begun_streams::request_key;
use flamingolock_gateway::control::{BuildRule, Effect, Event, Placement, Refusal, RunEnd};
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_platform::settings;
use flamingolock_wire::gossip::{
    BegunStream, BegunStreamList, BuildHistory, Gossip, ListedBuild, NodeState, TopicCopyState,
};
use flamingolock_wire::topic_copies::CopiesRequest;
use prost::Message;

/// Time for which streams are remembered, in ms: without routes, only the margin.
const MEMORY_MS: u64 = 5_000;

fn begun(id: &str, build: &str) -> BegunStream {
    BegunStream {
        request: request_key(id),
        build: build.to_owned(),
        age_ms: 0,
        timeout_ms: 0,
        engine: 0,
    }
}

fn streams(streams: &[BegunStream]) -> Gossip {
    Gossip {
        streams: streams.to_vec(),
        ..Gossip::default()
    }
}

/// A node that reads the entries of these engines 1 ms after the boot of its machine.
fn with_engines(builds: &[&str]) -> Harness {
    let mut harness = Harness::with_engines(0, 0);
    harness.control.handle(Event::BuildsRecovered, 0);
    harness.engines_of_builds(builds, 1);
    harness
}

/// Places a request that resumes the stream of request `id`.
fn resume(harness: &mut Harness, id: &str, now: u64) -> Placement {
    let mut request = placement_request(None, 1);
    request.build_rule = BuildRule::SameAs(Some(request_key(id)));
    harness.place(request, now).expect("an immediate decision")
}

fn build_of(placement: Placement) -> String {
    placement.expect("a grant").endpoint.build.to_string()
}

/// Streams in the datagrams among the effects.
fn sent_streams(effects: Vec<Effect>) -> Vec<BegunStream> {
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::SendDatagram(_, bytes) => Some(Gossip::decode(bytes).expect("a datagram")),
            _ => None,
        })
        .flat_map(|gossip| gossip.streams)
        .collect()
}

#[test]
fn stream_of_another_node_continues_at_the_build_that_began_it() {
    let mut harness = with_engines(&["v1", "v2", "v3"]);
    for build in ["v1", "v2", "v3"] {
        harness.datagram(9, streams(&[begun(build, build)]), 10);
        for _ in 0..20 {
            assert_eq!(build_of(resume(&mut harness, build, 20)), build);
        }
    }
}

/// Guards against lost streams: while one was remembered whose version is not clear, none that
/// is not remembered was taken up.
#[test]
fn unclear_stream_does_not_hold_up_other_ones() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(9_900);
    harness.datagram(9, streams(&[begun("unclear", "")]), 9_910);
    assert_eq!(build_of(resume(&mut harness, "unknown", 10_000)), "v1");
    let refusal = resume(&mut harness, "unclear", 10_000).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn stream_whose_first_engine_sent_no_event_belongs_to_the_next_one() {
    let mut harness = with_engines(&["v1", "v2"]);
    harness.datagram(9, streams(&[begun("r", "v1")]), 10);
    harness.datagram(9, streams(&[begun("r", "v2")]), 12);
    assert_eq!(build_of(resume(&mut harness, "r", 20)), "v2");
}

/// Guards against streams of two software versions: an engine is started again with another
/// version under its id, and begins streams before its new entry is read.
#[test]
fn stream_whose_engine_is_listed_with_another_version_while_it_runs_is_refused() {
    for ended in [false, true] {
        let mut harness = with_engines(&["v1", "v1"]);
        let grant = harness.place(placement_request(None, 1), 10);
        let grant = grant.expect("a decision").expect("a grant");
        let (endpoint, run_number) = (grant.endpoint.key(), grant.run_number);
        let stream = BegunStream {
            engine: grant.endpoint.short_incarnation(),
            ..begun("r", "v1")
        };
        let runs = Event::StreamRuns((endpoint, run_number), stream.clone());
        harness.control.handle(runs, 20);
        harness.control.handle(Event::StreamBegun(stream), 20);
        if ended {
            let event = Event::RunEnded {
                endpoint,
                run_number,
                end: RunEnd::Broken,
                model: None,
            };
            harness.control.handle(event, 30);
        }
        harness.restarted_engine(&grant.endpoint.id, "v2", 40);
        let placement = resume(&mut harness, "r", 50);
        if ended {
            assert_eq!(build_of(placement), "v1", "it ended before");
        } else {
            assert_eq!(placement.err(), Some(Refusal::UnknownBuild));
        }
    }
}

#[test]
fn stream_whose_build_has_left_is_refused_at_once() {
    let mut harness = with_engines(&["v2"]);
    harness.datagram(9, streams(&[begun("r", "v1")]), 10);
    let refusal = resume(&mut harness, "r", 20).err();
    assert_eq!(refusal, Some(Refusal::NoEndpoint));
}

#[test]
fn unknown_stream_continues_only_if_one_build_can_have_begun_it() {
    let mut harness = with_engines(&["v1", "v1"]);
    let refused = Some(Refusal::UnknownBuild);
    // The node cannot know which versions served before it started.
    harness.entries_read(MEMORY_MS);
    assert_eq!(resume(&mut harness, "r", MEMORY_MS).err(), refused);
    assert_eq!(build_of(resume(&mut harness, "r", MEMORY_MS + 1)), "v1");

    harness.engine_of_build("e9", "v2", 6_000);
    harness.entries_read(6_000);
    assert_eq!(resume(&mut harness, "r", 6_100).err(), refused);
    harness.entry("e9", None, 7_000);
    harness.entries_read(7_000 + MEMORY_MS);
    assert_eq!(
        resume(&mut harness, "r", 7_000 + MEMORY_MS).err(),
        refused,
        "an engine that left may have begun it"
    );
    assert_eq!(build_of(resume(&mut harness, "r", 7_001 + MEMORY_MS)), "v1");
}

/// Settings of a node that say that the whole fleet starts for the first time.
const FIRST_SETTINGS: &str = r#"
Node = "node-1"
Ip = "127.0.0.1"
Zone = "zone-a"
PortRange = [5, 5]
Bootstrap = true
[Listen]
Front = "127.0.0.1:1"
Ready = "127.0.0.1:2"
Directory = "127.0.0.1:3"
[Bounds]
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 58
LeaseMs = 3000
VersionMs = 6000
GraceS = 8
DrainMs = 2000
ConfigMs = 2000
[Provider]
Address = "127.0.0.1:6"
"#;

/// Guards against streams of two software versions: a supervisor starts a node again with the
/// settings of its first start.
#[test]
fn unknown_stream_is_refused_by_a_node_whose_settings_are_those_of_the_first_start() {
    let settings = settings::parse("node.toml", FIRST_SETTINGS).expect("settings");
    let mut harness = Harness::with_settings(settings, 7);
    harness.catalog(1, 10_000);
    harness.engines_of_builds(&["v2"], 10_000);
    let refusal = resume(&mut harness, "r", 10_100).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn unknown_stream_is_refused_while_others_tell_of_a_build_that_is_not_listed() {
    let mut harness = with_engines(&["v1"]);
    harness.datagram(9, streams(&[begun("other", "v2")]), MEMORY_MS);
    let refusal = resume(&mut harness, "r", MEMORY_MS + 1).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn unknown_stream_is_refused_just_after_the_process_stood_still() {
    let mut harness = with_engines(&["v1"]);
    harness.control.tick(MEMORY_MS);
    let woken_at = MEMORY_MS + 4_000;
    let refusal = resume(&mut harness, "r", woken_at).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
    for now in (woken_at..=woken_at + 2_000).step_by(500) {
        harness.control.tick(now);
    }
    harness.entries_read(woken_at + 2_000);
    assert_eq!(build_of(resume(&mut harness, "r", woken_at + 2_000)), "v1");
}

#[test]
fn unknown_stream_is_refused_after_a_gap_in_what_was_read() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(10_000);
    harness.engines_of_builds(&["v1"], 11_000);
    assert_eq!(build_of(resume(&mut harness, "r", 11_000)), "v1");
    harness.engines_of_builds(&["v1"], 20_000);
    let refusal = resume(&mut harness, "r", 20_100).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

/// What the node reports of its copy of the entries.
fn reported_entries(harness: &mut Harness, now: u64) -> TopicCopyState {
    let effects = harness.effects(now).into_iter();
    let mut reports = effects.filter_map(|effect| match effect {
        Effect::SendDatagram(_, bytes) => Gossip::decode(bytes).expect("a datagram").endpoints,
        _ => None,
    });
    reports.next().expect("a report of the entries")
}

#[test]
fn unknown_stream_is_refused_by_a_node_that_is_cut_off() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(10_000);
    // Changes of the entries must be known after 2,000 ms.
    assert_eq!(build_of(resume(&mut harness, "r", 12_000)), "v1");
    let refusal = resume(&mut harness, "r", 12_001).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
    harness.datagram(9, streams(&[begun("known", "v1")]), 12_001);
    assert_eq!(build_of(resume(&mut harness, "known", 20_000)), "v1");
}

#[test]
fn unknown_stream_is_refused_if_entries_are_confirmed_by_a_report_from_before_a_stall() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(10_000);
    harness.datagram(9, Gossip::default(), 10_000);
    let report = reported_entries(&mut harness, 10_100);
    let woken_at = 15_000;
    harness.control.tick(woken_at);
    let gossip = Gossip {
        endpoints: Some(report),
        ..Gossip::default()
    };
    harness.datagram(9, gossip.clone(), woken_at);
    for now in (woken_at..=woken_at + 2_000).step_by(500) {
        harness.control.tick(now);
    }
    let now = woken_at + 2_000;
    let refusal = resume(&mut harness, "r", now).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
    harness.datagram(9, gossip, now);
    assert_eq!(build_of(resume(&mut harness, "r", now)), "v1");
}

#[test]
fn unknown_stream_is_refused_after_a_gap_before_the_copy_of_another_node() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(10_000);
    let request = CopiesRequest {
        endpoints: true,
        ..CopiesRequest::default()
    };
    let mut copies = copies_of(harness.offer(request, 20_000));
    copies.endpoints_age = 0;
    let event = Event::PeerSyncReceived(Box::new(copies));
    harness.control.handle(event, 20_000);
    let refusal = resume(&mut harness, "r", 20_100).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

/// The node learns from another one that only one version was listed, or that there
/// was another one.
#[test]
fn unknown_stream_continues_at_a_node_that_learnt_what_was_listed() {
    for (other, expected) in [("v1", None), ("v2", Some(Refusal::UnknownBuild))] {
        let mut harness = with_engines(&["v1"]);
        let listed = |build: &str, age_ms| ListedBuild {
            service: "engines".to_owned(),
            build: build.to_owned(),
            age_ms,
        };
        let history = BuildHistory {
            builds: vec![listed("v1", 0), listed(other, 3_000)],
            complete_ms: 60_000,
            ..BuildHistory::default()
        };
        let gossip = Gossip {
            builds: Some(history),
            ..Gossip::default()
        };
        harness.datagram(9, gossip, 4_000);
        harness.entries_read(4_500);
        let refusal = resume(&mut harness, "r", 4_500).err();
        assert_eq!(refusal, expected, "{other}");
    }
}

/// Software versions in the datagrams among the effects.
fn sent_builds(effects: Vec<Effect>) -> Option<BuildHistory> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::SendDatagram(_, bytes) => Gossip::decode(bytes).expect("a datagram").builds,
        _ => None,
    })
}

/// Guards against streams of two software versions: a node that was cut off told one that had
/// just started that no other version had served, and that one took a stream up.
#[test]
fn unknown_stream_is_refused_by_a_node_that_learnt_the_versions_from_one_that_was_cut_off() {
    // Changes of the entries must be known after 2,000 ms.
    for (read_at, expected) in [(19_000, None), (10_000, Some(Refusal::UnknownBuild))] {
        let mut other = with_engines(&["v1"]);
        other.entries_read(read_at);
        other.datagram(11, Gossip::default(), 20_000);
        let builds = sent_builds(other.effects(20_000));
        assert!(builds.is_some(), "a node that starts is told the versions");

        let mut harness = Harness::with_engines(0, 20_000);
        harness.engines_of_builds(&["v1"], 20_000);
        let gossip = Gossip {
            builds,
            ..Gossip::default()
        };
        harness.datagram(9, gossip, 20_010);
        let refusal = resume(&mut harness, "r", 20_100).err();
        assert_eq!(refusal, expected, "entries read at {read_at} ms");
    }
}

/// Guards against streams of two software versions: a node that was told the versions, and
/// cut off before it read its first entries, missed a version that came and went.
#[test]
fn told_versions_are_complete_only_up_to_a_first_read_soon_after() {
    let expected = [
        ("node", 1_500, None),
        ("node", 20_000, Some(Refusal::UnknownBuild)),
        ("outdated node", 20_000, Some(Refusal::UnknownBuild)),
        ("record", 1_500, None),
        ("record", 20_000, Some(Refusal::UnknownBuild)),
    ];
    for (from, read_at, expected) in expected {
        let mut harness = Harness::with_engines(0, 0);
        if from == "record" {
            let event = Event::BuildsRead(recorded(&["v1"]));
            harness.control.handle(event, 1_000);
        } else {
            let history = BuildHistory {
                complete_ms: if from == "node" { 60_000 } else { 0 },
                ..recorded(&["v1"])
            };
            let gossip = Gossip {
                builds: Some(history),
                ..Gossip::default()
            };
            harness.datagram(9, gossip, 1_000);
        }
        ticks(&mut harness, 1_000, read_at);
        harness.engines_of_builds(&["v1"], read_at);
        let refusal = resume(&mut harness, "r", read_at + 1).err();
        assert_eq!(refusal, expected, "told by {from}, read at {read_at} ms");
    }
}

#[test]
fn streams_are_forgotten_once_no_caller_can_resume_them() {
    let mut harness = with_engines(&["v1", "v2"]);
    harness.datagram(9, streams(&[begun("r", "v1")]), 10);
    for now in [500, MEMORY_MS - 500, MEMORY_MS + 10] {
        harness.control.tick(now);
        assert_eq!(build_of(resume(&mut harness, "r", now)), "v1");
    }
    harness.control.tick(MEMORY_MS + 600);
    let refusal = resume(&mut harness, "r", MEMORY_MS + 600).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn stream_is_remembered_under_the_timeout_under_which_it_began() {
    let mut harness = with_engines(&["v1", "v2"]);
    harness.stream_catalog(2, 15_000, 10);
    harness.datagram(9, streams(&[begun("r", "v1")]), 20);
    harness.stream_catalog(3, 4_000, 1_000);
    harness.stream_catalog(4, 3_000, 8_000);
    ticks(&mut harness, 8_500, 15_000);
    assert_eq!(build_of(resume(&mut harness, "r", 15_000)), "v1");
    ticks(&mut harness, 15_500, 21_500);
    let refusal = resume(&mut harness, "r", 21_500).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

fn ticks(harness: &mut Harness, from: u64, to: u64) {
    for now in (from..to).step_by(500) {
        harness.control.tick(now);
    }
}

/// Begins a stream at an engine of a node, and returns its record.
fn begin_stream(harness: &mut Harness, id: &str, now: u64) -> (Arc<Endpoint>, BegunStream) {
    let grant = harness.place(placement_request(None, 1), now);
    let grant = grant.expect("a decision").expect("a grant");
    let stream = BegunStream {
        engine: grant.endpoint.short_incarnation(),
        ..begun(id, &grant.endpoint.build)
    };
    (grant.endpoint, stream)
}

/// Guards against streams of two software versions: the first event of a request that was
/// placed before came after the engine's new entry, and counted for the version of the old one.
#[test]
fn stream_that_begins_after_its_engine_is_listed_with_another_version_is_refused() {
    let mut harness = with_engines(&["v1", "v1"]);
    let (engine, stream) = begin_stream(&mut harness, "r", 10);
    harness.restarted_engine(&engine.id, "v2", 40);
    let runs = Event::StreamRuns((engine.key(), 1), stream.clone());
    harness.control.handle(runs, 45);
    harness.control.handle(Event::StreamBegun(stream), 45);
    let refusal = resume(&mut harness, "r", 50).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

/// Guards against streams of two software versions: a node that ended before it could tell of
/// its doubts left its streams to the version that they had not come from. Records from
/// nodes that have not read the new entry do not settle it either.
#[test]
fn nodes_doubt_streams_of_other_nodes_at_an_engine_of_another_version() {
    for told_before in [true, false] {
        let mut harness = with_engines(&["v1", "v1"]);
        let (engine, stream) = begin_stream(&mut harness, "own", 10);
        let other = BegunStream {
            request: request_key("r"),
            ..stream
        };
        if told_before {
            harness.datagram(9, streams(std::slice::from_ref(&other)), 20);
        }
        harness.restarted_engine(&engine.id, "v2", 40);
        harness.datagram(9, streams(&[other]), 45);
        let refusal = resume(&mut harness, "r", 50).err();
        assert_eq!(refusal, Some(Refusal::UnknownBuild), "{told_before}");
    }
}

/// Guards against lost streams: one in doubt that went on at another engine belongs to that one,
/// and others at the same endpoint are not touched once it is listed with their version.
#[test]
fn streams_at_other_incarnations_are_not_doubted() {
    let mut harness = with_engines(&["v1", "v1"]);
    let (engine, stream) = begin_stream(&mut harness, "r", 10);
    harness.datagram(9, streams(std::slice::from_ref(&stream)), 20);
    harness.restarted_engine(&engine.id, "v2", 40);
    let moved = BegunStream {
        engine: 1,
        ..stream
    };
    let later = BegunStream {
        engine: 2,
        ..begun("later", "v2")
    };
    harness.datagram(9, streams(&[moved, later]), 60);
    assert_eq!(build_of(resume(&mut harness, "r", 70)), "v1");
    assert_eq!(build_of(resume(&mut harness, "later", 70)), "v2");
}

/// Guards against lost streams: a node that starts after a shorter timeout came into force
/// forgot the streams of the longer one while their callers could still come back.
#[test]
fn node_that_starts_after_a_shorter_timeout_remembers_the_streams_of_the_longer_one() {
    let mut other = with_engines(&["v1", "v2"]);
    other.stream_catalog(2, 15_000, 10);
    let stream = BegunStream {
        timeout_ms: 15_000,
        ..begun("r", "v1")
    };
    other.control.handle(Event::StreamBegun(stream), 20);
    other.effects(30);
    other.stream_catalog(3, 4_000, 1_000);
    other.datagram(11, Gossip::default(), 3_000);
    let told = sent_streams(other.effects(3_000));

    let mut harness = with_engines(&["v1", "v2"]);
    harness.stream_catalog(3, 4_000, 2_990);
    harness.datagram(9, streams(&told), 3_000);
    ticks(&mut harness, 3_000, 19_500);
    assert_eq!(build_of(resume(&mut harness, "r", 19_500)), "v1");
    ticks(&mut harness, 19_500, 21_500);
    let refusal = resume(&mut harness, "r", 21_500).err();
    assert_eq!(
        refusal,
        Some(Refusal::UnknownBuild),
        "no caller can resume it"
    );
}

/// Guards against lost streams: a caller whose deadline goes beyond the timeout of the route
/// takes its stream up more than once, and names the first request each time.
#[test]
fn stream_that_goes_on_is_remembered_from_then_on() {
    let mut harness = with_engines(&["v1", "v2"]);
    harness.datagram(9, streams(&[begun("r", "v1")]), 10);
    ticks(&mut harness, 500, 4_000);
    harness.datagram(9, streams(&[begun("r", "v1")]), 4_000);
    ticks(&mut harness, 4_000, 4_000 + MEMORY_MS);
    let placement = resume(&mut harness, "r", 4_000 + MEMORY_MS);
    assert_eq!(build_of(placement), "v1");
}

/// Guards against streams of two software versions: a node that starts after a shorter
/// timeout came into force looked back by the new timeout only.
#[test]
fn node_that_starts_after_a_shorter_timeout_looks_back_by_the_longer_one() {
    let mut other = with_engines(&["v1", "v2"]);
    other.stream_catalog(2, 15_000, 10);
    other.engines_of_builds(&["v1"], 2_000);
    other.stream_catalog(3, 4_000, 3_000);
    other.entries_read(12_990);
    other.datagram(11, Gossip::default(), 13_000);
    let builds = sent_builds(other.effects(13_000));
    assert!(builds.is_some(), "a node that starts is told the versions");

    let mut harness = Harness::with_engines(0, 13_000);
    harness.engines_of_builds(&["v1"], 13_000);
    harness.stream_catalog(3, 4_000, 13_000);
    let gossip = Gossip {
        builds,
        ..Gossip::default()
    };
    harness.datagram(9, gossip, 13_010);
    let refusal = resume(&mut harness, "r", 13_100).err();
    // v2 was listed until 2,000 ms, and streams that it began then may come until 22,000 ms.
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}

#[test]
fn node_tells_the_others_of_its_streams() {
    let mut harness = with_engines(&["v1"]);
    harness.datagram(9, Gossip::default(), 10);
    harness.effects(29);
    let event = Event::StreamBegun(begun("r", "v1"));
    harness.control.handle(event, 30);
    assert_eq!(sent_streams(harness.effects(40)), [begun("r", "v1")]);
}

#[test]
fn node_that_starts_again_is_told_of_all_streams() {
    let mut harness = with_engines(&["v1"]);
    let all: Vec<BegunStream> = (0..60)
        .map(|index| begun(&index.to_string(), "v1"))
        .collect();
    harness.datagram(9, streams(&all), 10);
    harness.effects(20);
    harness.datagram(9, Gossip::default(), 30);
    assert_eq!(sent_streams(harness.effects(30)), [], "it is the same one");
    harness.datagram(11, Gossip::default(), 40);
    let told = sent_streams(harness.effects(40));
    let mut requests: Vec<u64> = told.iter().map(|stream| stream.request).collect();
    let mut expected: Vec<u64> = all.iter().map(|stream| stream.request).collect();
    requests.sort_unstable();
    expected.sort_unstable();
    assert_eq!(requests, expected);
    assert!(told.iter().all(|stream| stream.age_ms == 30));
}

fn recorded(builds: &[&str]) -> BuildHistory {
    let listed = |build: &&str| ListedBuild {
        service: "engines".to_owned(),
        build: (*build).to_owned(),
        age_ms: 0,
    };
    BuildHistory {
        builds: builds.iter().map(listed).collect(),
        memory_ms: MEMORY_MS,
        ..BuildHistory::default()
    }
}

/// Records among the effects of a tick every 500 ms.
fn records_between(harness: &mut Harness, from: u64, to: u64) -> Vec<BuildHistory> {
    let ticks = (from..to).step_by(500);
    let effects = ticks.flat_map(|now| harness.effects(now));
    let records = effects.filter_map(|effect| match effect {
        Effect::RecordBuilds(history) => Some(history),
        _ => None,
    });
    records.collect()
}

#[test]
fn unknown_stream_continues_after_all_nodes_ended_if_one_build_was_recorded() {
    for (builds, expected) in [
        (&["v1"][..], None),
        (&["v1", "v2"][..], Some(Refusal::UnknownBuild)),
    ] {
        let mut harness = with_engines(&["v1"]);
        let event = Event::BuildsRead(recorded(builds));
        harness.control.handle(event, 100);
        let refusal = resume(&mut harness, "r", 200).err();
        assert_eq!(refusal, expected, "{builds:?}");
    }
}

#[test]
fn builds_are_recorded_when_they_change() {
    let mut harness = with_engines(&["v1"]);
    assert_eq!(records_between(&mut harness, 500, 2_000), []);
    let first = records_between(&mut harness, 2_000, 4_000);
    assert_eq!(
        first,
        [recorded(&["v1"]), recorded(&["v1"])],
        "not stored yet"
    );
    harness.control.handle(Event::BuildsRecorded(true), 4_000);
    assert_eq!(records_between(&mut harness, 4_000, 6_000), []);

    harness.engine_of_build("e9", "v2", 6_000);
    let second = records_between(&mut harness, 6_000, 6_900);
    assert_eq!(second, [recorded(&["v1", "v2"])]);
    harness.control.handle(Event::BuildsRecorded(true), 6_900);
    harness.entry("e9", None, 7_000);
    assert_eq!(
        records_between(&mut harness, 7_000, 7_000 + MEMORY_MS),
        [],
        "a stream that it began may still be resumed"
    );
    let third = records_between(&mut harness, 7_000 + MEMORY_MS, 8_000 + MEMORY_MS);
    assert_eq!(third, [recorded(&["v1"])]);
}

/// Guards against streams of two software versions: a node that had not read the record yet
/// replaced it by the versions that served by then, and all nodes ended.
#[test]
fn builds_are_not_recorded_before_the_record_is_read() {
    let mut harness = Harness::with_engines(0, 0);
    harness.engines_of_builds(&["v2"], 1);
    assert_eq!(records_between(&mut harness, 500, 4_000), []);
    let event = Event::BuildsRead(recorded(&["v1"]));
    harness.control.handle(event, 4_000);
    harness.control.handle(Event::BuildsRecovered, 4_000);
    let records = records_between(&mut harness, 4_000, 4_500);
    assert_eq!(records, [recorded(&["v1", "v2"])]);
}

#[test]
fn builds_are_recorded_by_one_node() {
    let mut harness = with_engines(&["v1"]);
    for now in (0..4_000).step_by(500) {
        node_of_lower_rank(&mut harness, 3, true, now);
        assert_eq!(records_between(&mut harness, now, now + 1), []);
    }
}

/// Delivers the state of a node of lower rank than this one, whose incarnation is 7.
fn node_of_lower_rank(harness: &mut Harness, node: u8, store_reachable: bool, now: u64) {
    let from = SocketAddr::from(([10, 0, 1, node], 7_000));
    let sender = NodeState {
        incarnation: node.into(),
        callers: format!("10.0.1.{node}:80"),
        zone: "zone-a".to_owned(),
        ready: true,
        store_reachable,
        ..NodeState::default()
    };
    let gossip = Gossip {
        sender: Some(sender),
        ..Gossip::default()
    };
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, now);
}

/// Guards against streams of two software versions: the nodes of the first ranks are cut off
/// from the store, no node records anything, and all of them end.
#[test]
fn versions_and_streams_are_recorded_while_the_first_ranks_do_not_reach_the_store() {
    for (store_reachable, is_recorded) in [(true, false), (false, true)] {
        let mut harness = with_engines(&["v1", "v2"]);
        let event = Event::StreamBegun(begun("own", "v1"));
        harness.control.handle(event, 10);
        let mut effects = Vec::new();
        for now in (0..4_000).step_by(500) {
            for node in [3, 4] {
                node_of_lower_rank(&mut harness, node, store_reachable, now);
            }
            effects.extend(harness.effects(now));
        }
        let versions = effects
            .iter()
            .any(|effect| matches!(effect, Effect::RecordBuilds(_)));
        assert_eq!(versions, is_recorded);
        assert_eq!(recorded_streams(&effects).is_some(), is_recorded);
    }
}

/// Delivers a datagram of one of many nodes; each has its own address.
fn datagram_of(harness: &mut Harness, node: u8, zone: &str, mut gossip: Gossip, now: u64) {
    let from = SocketAddr::from(([10, 0, 1, node], 7_000));
    gossip.sender = Some(NodeState {
        incarnation: u64::from(node) + 100,
        callers: format!("10.0.1.{node}:80"),
        zone: zone.to_owned(),
        ready: true,
        name: format!("node-{node}"),
        gossip: from.to_string(),
        ..NodeState::default()
    });
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, now);
}

/// In a fleet of 20 other nodes this one is the hub of its zone, zone-a.
#[test]
fn hub_passes_on_the_streams_of_its_zone_and_of_other_hubs() {
    let mut harness = with_engines(&["v1"]);
    for node in 0..20 {
        let zone = if node < 10 { "zone-a" } else { "zone-b" };
        datagram_of(&mut harness, node, zone, Gossip::default(), 10);
    }
    harness.effects(300);
    let own_zone = streams(&[begun("of zone-a", "v1")]);
    datagram_of(&mut harness, 3, "zone-a", own_zone, 310);
    let relayed = Gossip {
        relayed: true,
        ..streams(&[begun("of zone-b", "v1")])
    };
    datagram_of(&mut harness, 12, "zone-b", relayed, 310);
    let mut passed_on = sent_streams(harness.effects(600));
    passed_on.sort_by_key(|stream| stream.request);
    let mut expected = [begun("of zone-a", "v1"), begun("of zone-b", "v1")];
    expected.sort_by_key(|stream| stream.request);
    assert_eq!(passed_on, expected);
}

/// Streams that a node records in the store.
fn recorded_streams(effects: &[Effect]) -> Option<Vec<BegunStream>> {
    effects.iter().find_map(|effect| match effect {
        Effect::RecordStreams(list) => Some(list.streams.clone()),
        _ => None,
    })
}

#[test]
fn streams_are_recorded_while_several_versions_serve() {
    let mut harness = with_engines(&["v1"]);
    harness.entries_read(9_900);
    for (builds, is_recorded, now) in [(&["v1"][..], false, 10_100), (&["v1", "v2"], true, 11_100)]
    {
        harness.engines_of_builds(builds, now - 100);
        let event = Event::StreamBegun(begun("own", "v1"));
        harness.control.handle(event, now - 100);
        harness.datagram(9, streams(&[begun("other", "v1")]), now - 90);
        let recorded = recorded_streams(&harness.effects(now));
        assert_eq!(recorded.is_some(), is_recorded, "{builds:?}");
        if let Some(recorded) = recorded {
            let requests: Vec<u64> = recorded.iter().map(|stream| stream.request).collect();
            assert_eq!(requests, [request_key("own"), request_key("other")]);
        }
    }
    harness
        .control
        .handle(Event::StreamsRecorded(false), 11_110);
    let again = recorded_streams(&harness.effects(11_300)).expect("another attempt");
    assert_eq!(again.len(), 2);
    harness.control.handle(Event::StreamsRecorded(true), 11_310);
    assert_eq!(recorded_streams(&harness.effects(11_500)), None);
    let event = Event::StreamBegun(begun("new", "v2"));
    harness.control.handle(event, 11_510);
    let new = recorded_streams(&harness.effects(11_700)).expect("the new stream");
    assert_eq!(new[0].request, request_key("new"));
}

#[test]
fn recorded_streams_continue_at_their_version_after_all_nodes_ended() {
    let mut harness = with_engines(&["v1", "v2"]);
    let history = BuildHistory::default();
    harness.control.handle(Event::BuildsRead(history), 10);
    let recorded = BegunStreamList {
        streams: vec![begun("a", "v1"), begun("b", "v2")],
    };
    harness.control.handle(Event::StreamsRead(recorded), 20);
    assert_eq!(build_of(resume(&mut harness, "a", 30)), "v1");
    assert_eq!(build_of(resume(&mut harness, "b", 30)), "v2");
    let refusal = resume(&mut harness, "not recorded", 30).err();
    assert_eq!(refusal, Some(Refusal::UnknownBuild));
}
