//! Log records and snapshots exchanged between nodes: one node that reads the log is
//! enough, offsets never go back or skip, and no peer is overloaded.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_core::log_sync::{
    Input, LogSync, MAX_BACKOFF, Output, REQUEST_TIMEOUT, SERVE_BYTES_PER_S, SNAPSHOT_INTERVAL,
};
use flamingolock_core::prelude::*;
use flamingolock_core::tail::{BATCH_BYTES, Batch, LogTail, Record, TAIL_BYTES, TAIL_RECORDS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn record(offset: u64) -> Record {
    sized_record(offset, 10)
}

fn sized_record(offset: u64, bytes: usize) -> Record {
    Record {
        offset: Offset(offset),
        time: Millis(offset),
        id: format!("id-{offset}").into(),
        body: "x".repeat(bytes).into(),
    }
}

fn records(range: std::ops::Range<u64>) -> Vec<Record> {
    range.map(record).collect()
}

fn peer(index: usize) -> InstanceId {
    format!("peer-{index}").into()
}

/// Ticks until the node asks a peer.
fn asked(sync: &mut LogSync, now: &mut Millis, limit: Millis) -> Option<(InstanceId, Offset)> {
    let end = *now + limit;
    while *now < end {
        *now = *now + Millis(10);
        for output in sync.step(Input::Tick, *now) {
            if let Output::RequestRecords(peer, from) = output {
                return Some((peer, from));
            }
        }
    }
    None
}

#[test]
fn records_are_taken_in_order_and_without_gaps() {
    let mut sync = LogSync::new(Offset(5), 1);
    let apply = |range| vec![Output::Apply(records(range))];
    assert_eq!(
        sync.step(Input::LogRecords(records(3..8)), Millis(1)),
        apply(5..8)
    );
    assert_eq!(
        sync.step(Input::LogRecords(records(9..12)), Millis(2)),
        vec![]
    );
    let mut holed = records(8..10);
    holed.extend(records(11..13));
    assert_eq!(sync.step(Input::LogRecords(holed), Millis(3)), apply(8..10));
    assert_eq!(sync.next(), Offset(10));
}

#[test]
fn a_lower_snapshot_changes_nothing() {
    let mut sync = LogSync::new(Offset(5), 1);
    for offset in [0, 4, 5] {
        let input = Input::PeerSnapshot(peer(1), Offset(offset), vec![1]);
        assert_eq!(sync.step(input, Millis(1)), vec![]);
        sync.step(Input::AdvancedTo(Offset(offset)), Millis(1));
        assert_eq!(sync.next(), Offset(5));
    }
    let input = Input::PeerSnapshot(peer(1), Offset(9), vec![1]);
    let installed = vec![Output::Install(Offset(9), vec![1])];
    assert_eq!(sync.step(input, Millis(1)), installed);
    assert_eq!(sync.next(), Offset(9));
}

#[test]
fn the_log_comes_first() {
    let mut sync = LogSync::new(Offset(0), 1);
    sync.step(Input::PeerOffset(peer(1), Offset(4)), Millis(0));
    let mut now = Millis(0);
    assert_eq!(asked(&mut sync, &mut now, Millis(200)), None);
    sync.step(Input::LogRecords(records(0..4)), now);
    assert_eq!(asked(&mut sync, &mut now, Millis(5000)), None);
    sync.step(Input::PeerOffset(peer(1), Offset(5)), now);
    let wanted = Some((peer(1), Offset(4)));
    assert_eq!(asked(&mut sync, &mut now, Millis(500)), wanted);
}

#[test]
fn one_request_at_a_time_and_failures_back_off_to_another_peer() {
    let mut sync = LogSync::new(Offset(0), 1);
    let mut now = Millis(0);
    for index in 1..3 {
        sync.step(Input::PeerOffset(peer(index), Offset(4)), now);
    }
    let (first, _) = asked(&mut sync, &mut now, Millis(500)).unwrap();
    assert_eq!(
        asked(&mut sync, &mut now, REQUEST_TIMEOUT - Millis(20)),
        None
    );
    let (second, _) = asked(&mut sync, &mut now, Millis(1000)).unwrap();
    assert_ne!(first, second);
    sync.step(Input::PeerBusy(second.clone(), Millis(900)), now);
    assert_eq!(asked(&mut sync, &mut now, Millis(890)), None);
    let (third, _) = asked(&mut sync, &mut now, Millis(1000)).unwrap();
    assert_ne!(second, third);

    // A long row of failures settles at the longest wait.
    let mut asks = 0;
    let end = now + Millis(60_000);
    while now < end {
        asks += usize::from(asked(&mut sync, &mut now, Millis(100)).is_some());
    }
    let fastest = 60_000 / (MAX_BACKOFF.0 + REQUEST_TIMEOUT.0);
    assert!(asks as u64 <= fastest + 4, "{asks} requests in a minute");
}

#[test]
fn a_node_serves_within_its_budget() {
    let mut sync = LogSync::new(Offset(0), 1);
    let body = BATCH_BYTES / 4;
    let all = (0..12).map(|offset| sized_record(offset, body)).collect();
    sync.step(Input::LogRecords(all), Millis(5000));
    let mut bytes = 0;
    let mut busy = 0;
    for asker in 0..50 {
        let wanted = Input::RecordsWanted(peer(asker), Offset(0), 500);
        match sync.step(wanted, Millis(5500)).pop() {
            Some(Output::SendRecords(_, records)) => {
                let batch: usize = records.iter().map(Record::bytes).sum();
                assert!(batch <= BATCH_BYTES);
                bytes += batch;
            }
            Some(Output::SendBusy(_, wait)) => {
                assert!(wait > Millis(0));
                busy += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(busy > 0);
    assert!(bytes <= SERVE_BYTES_PER_S + BATCH_BYTES, "{bytes} bytes");
    let wanted = Input::RecordsWanted(peer(1), Offset(0), 500);
    let outputs = sync.step(wanted, Millis(6500));
    assert!(matches!(outputs[..], [Output::SendRecords(..)]));
}

#[test]
fn snapshots_are_spaced() {
    let mut sync = LogSync::new(Offset(100), 1);
    let wanted = || Input::RecordsWanted(peer(1), Offset(3), 500);
    let sent = vec![Output::SendSnapshot(peer(1))];
    assert_eq!(sync.step(wanted(), Millis(5000)), sent);
    let outputs = sync.step(Input::SnapshotWanted(peer(2)), Millis(5001));
    assert!(matches!(outputs[..], [Output::SendBusy(..)]));
    assert_eq!(sync.step(wanted(), Millis(5000) + SNAPSHOT_INTERVAL), sent);
}

#[test]
fn the_tail_is_bounded() {
    let mut tail = LogTail::new(Offset(0));
    tail.append(records(0..TAIL_RECORDS as u64 + 5));
    assert_eq!(tail.batch(Offset(4), 1), Batch::TooOld);
    assert_eq!(tail.batch(Offset(5), 2), Batch::Records(records(5..7)));
    assert_eq!(tail.batch(tail.next(), 1), Batch::NotYet);

    let mut tail = LogTail::new(Offset(0));
    let large = (0..10)
        .map(|offset| sized_record(offset, TAIL_BYTES / 4))
        .collect();
    tail.append(large);
    assert_eq!(tail.batch(Offset(6), 1), Batch::TooOld);
    // A record above the batch limit still travels, alone.
    let Batch::Records(alone) = tail.batch(Offset(7), 5) else {
        panic!("the last records are held");
    };
    assert_eq!(alone.len(), 1);
}

/// Nodes with links between some of them; node 0 alone reads the log.
struct Net {
    nodes: Vec<LogSync>,
    cuts: BTreeSet<(usize, usize)>,
    now: Millis,
    log: u64,
    step: usize,
    /// Whether a node tells its neighbours of a later offset at once.
    announce: bool,
    inbox: BTreeMap<usize, Vec<Input>>,
    folded: Vec<u64>,
}

impl Net {
    fn new(count: usize) -> Self {
        Self {
            nodes: (0..count)
                .map(|index| LogSync::new(Offset(0), index as u64))
                .collect(),
            cuts: BTreeSet::new(),
            now: Millis(10_000),
            log: 0,
            step: 0,
            announce: false,
            inbox: BTreeMap::new(),
            folded: vec![0; count],
        }
    }

    fn index(name: &InstanceId) -> usize {
        name.as_str()[5..].parse().unwrap()
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step += 1;
            self.now = self.now + Millis(50);
            let inbox = std::mem::take(&mut self.inbox);
            for (to, inputs) in inbox {
                for input in inputs {
                    self.input(to, input);
                }
            }
            let held = self.nodes[0].next().0;
            self.input(0, Input::LogRecords(records(held..self.log)));
            for index in 0..self.nodes.len() {
                self.input(index, Input::Tick);
                if self.step % 20 == index % 20 {
                    self.beat(index);
                }
            }
        }
    }

    /// Tells the two neighbours on the ring the own offset.
    fn beat(&mut self, from: usize) {
        let count = self.nodes.len();
        let offset = self.nodes[from].next();
        for to in [(from + 1) % count, (from + count - 1) % count] {
            self.post(from, to, Input::PeerOffset(peer(from), offset));
        }
    }

    fn post(&mut self, from: usize, to: usize, input: Input) {
        if !self.cuts.contains(&(from.min(to), from.max(to))) {
            self.inbox.entry(to).or_default().push(input);
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        let before = self.nodes[index].next();
        for output in self.nodes[index].step(input, self.now) {
            self.act(index, output);
        }
        let after = self.nodes[index].next();
        assert!(after >= before, "node {index} stepped back");
        assert_eq!(
            self.folded[index], after.0,
            "the fold agrees with the offset"
        );
        if self.announce && after > before {
            self.beat(index);
        }
    }

    fn act(&mut self, index: usize, output: Output) {
        let me = peer(index);
        match output {
            Output::Apply(records) => {
                for record in records {
                    assert_eq!(record.offset.0, self.folded[index], "no gap, no repeat");
                    self.folded[index] += 1;
                }
            }
            Output::Install(offset, bytes) => {
                let held = u64::from_le_bytes(bytes.try_into().unwrap());
                assert_eq!(held, offset.0);
                self.folded[index] = held;
            }
            Output::RequestRecords(to, from) => {
                let wanted = Input::RecordsWanted(me, from, 50);
                self.post(index, Self::index(&to), wanted);
            }
            Output::SendRecords(to, records) => {
                self.post(index, Self::index(&to), Input::PeerRecords(me, records));
            }
            Output::SendSnapshot(to) => {
                let next = self.nodes[index].next();
                let bytes = self.folded[index].to_le_bytes().to_vec();
                let snapshot = Input::PeerSnapshot(me, next, bytes);
                self.post(index, Self::index(&to), snapshot);
            }
            Output::SendBusy(to, wait) => {
                self.post(index, Self::index(&to), Input::PeerBusy(me, wait));
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Append(u64),
    Cut(usize, usize),
    Mend,
    Restart(usize),
    Run(usize),
}

const NODES: usize = 6;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (1u64..200).prop_map(Fault::Append),
        3 => (0..NODES, 0..NODES).prop_map(|(a, b)| Fault::Cut(a.min(b), a.max(b))),
        1 => Just(Fault::Mend),
        1 => (0..NODES).prop_map(Fault::Restart),
        4 => (1usize..80).prop_map(Fault::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn everybody_gets_everything_from_one_reader(faults in prop::collection::vec(fault(), 1..30)) {
        let mut net = Net::new(NODES);
        for fault in faults {
            match fault {
                Fault::Append(count) => net.log += count,
                Fault::Cut(a, b) => {
                    net.cuts.insert((a, b));
                }
                Fault::Mend => net.cuts.clear(),
                Fault::Restart(index) => {
                    net.nodes[index] = LogSync::new(Offset(0), 77);
                    net.folded[index] = 0;
                }
                Fault::Run(steps) => net.run(steps),
            }
        }
        net.cuts.clear();
        net.run(800);
        for node in &net.nodes {
            prop_assert_eq!(node.next(), Offset(net.log));
        }
    }
}

/// Time until one record of the log is at nine nodes, of which one reads the log and
/// each hears of its two neighbours on the ring only.
fn time_to_nine(announce: bool) -> usize {
    let mut net = Net::new(9);
    net.announce = announce;
    net.run(40);
    net.log += 1;
    let start = net.step;
    while net.nodes.iter().any(|node| node.next() < Offset(1)) {
        net.run(1);
        assert!(net.step < 1000, "the record never arrives");
    }
    (net.step - start) * 50
}

#[test]
fn a_record_reaches_nine_nodes_from_one_reader_within_five_seconds() {
    let (beats, announced) = (time_to_nine(false), time_to_nine(true));
    println!("record at nine nodes: {beats} ms by heartbeats, {announced} ms announced");
    assert!(beats <= 5000, "{beats} ms");
    assert!(announced <= 2500, "{announced} ms");
}
