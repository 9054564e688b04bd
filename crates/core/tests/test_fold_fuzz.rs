//! Random histories of the control stream, compared with a simple oracle.
//!
//! `FLAMINGOLOCK_CASES` sets the number of cases and `FLAMINGOLOCK_SEED` the seed.

mod common;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use common::{based, booking, node, put_kind, put_service, put_workspace};
use flamingolock_core::checkpoint::{AssemblyProgress, CheckpointAssembler, encode, rebuild};
use flamingolock_core::fold::{Applied, CHANGE_WINDOW, ControlFold, MAX_SKEW, put_entry};
use flamingolock_core::lease::LeaseVerdict;
use flamingolock_core::manifest::Manifest;
use flamingolock_core::manifest_check::check_manifest;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    CheckpointPart, Entry, EntryChange, EntryKey, LeaseGrant, LeaseRelease, LeaseRenew, LogEntry,
    ManifestChange, Record, RecordId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 10_000;
const SEED: u64 = 4;
const READERS: usize = 3;
const LOG_JITTER: u64 = 900;

/// One step. List positions are taken modulo the length of the list.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator proposes a change based on the state of a reader.
    Propose {
        reader: usize,
        first: u8,
        second: u8,
    },
    /// A node requests, renews or releases a lease.
    Lease {
        holder: u64,
        what: u8,
    },
    /// A pending append takes effect. If `again` is set, its writer repeats it later.
    Land {
        at: usize,
        again: bool,
    },
    Tail {
        reader: usize,
        count: usize,
    },
    Restart {
        reader: usize,
    },
    Copy {
        from: usize,
        to: usize,
    },
    Checkpoint {
        reader: usize,
        bytes: usize,
    },
    Trim,
    Advance {
        millis: u64,
    },
}

fn steps() -> BoxedStrategy<Step> {
    let reader = || 0..READERS;
    prop_oneof![
        10 => (reader(), any::<u8>(), any::<u8>())
            .prop_map(|(reader, first, second)| Step::Propose { reader, first, second }),
        3 => (0..2_u64, 0..3_u8).prop_map(|(holder, what)| Step::Lease { holder, what }),
        18 => (0..8_usize, prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Land { at, again }),
        10 => (reader(), 1..8_usize).prop_map(|(reader, count)| Step::Tail { reader, count }),
        2 => reader().prop_map(|reader| Step::Restart { reader }),
        1 => (reader(), reader()).prop_map(|(from, to)| Step::Copy { from, to }),
        1 => (reader(), 300..3000_usize)
            .prop_map(|(reader, bytes)| Step::Checkpoint { reader, bytes }),
        2 => Just(Step::Trim),
        3 => prop_oneof![6 => 1..2_000_u64, 1 => 60_000..800_000_u64]
            .prop_map(|millis| Step::Advance { millis }),
    ]
    .boxed()
}

/// Straightforward implementation of the rules: whole copies, no index, and nothing is
/// forgotten.
#[derive(Clone, Default)]
struct Oracle {
    manifest: Manifest,
    revisions: BTreeMap<EntryKey, Offset>,
    seen: BTreeSet<RecordId>,
    grants: BTreeMap<RecordId, Millis>,
    clock: Millis,
    lease: Option<(Offset, Millis)>,
}

impl Oracle {
    fn apply(&mut self, entry: &LogEntry) {
        self.clock = self.clock.max(entry.time);
        match &entry.record {
            Record::ManifestChange(change) => self.change(entry, change),
            Record::LeaseGrant(grant) => {
                // A grant that is repeated after its id was forgotten takes effect a
                // second time. It only delays others by one lease duration, since its
                // writer no longer knows it.
                let horizon = self.clock.since(CHANGE_WINDOW + MAX_SKEW);
                let seen = self.grants.get(&entry.id);
                let first = seen.is_none_or(|at| *at < horizon);
                if first {
                    self.grants.insert(entry.id.clone(), self.clock);
                }
                if first && self.lease.is_none_or(|(_, until)| until <= self.clock) {
                    self.lease = Some((entry.offset, self.clock + grant.duration));
                }
            }
            Record::LeaseRenew(renew) => {
                let (clock, fencing) = (self.clock, renew.fencing);
                if let Some((_, until)) = self.held(fencing) {
                    *until = (clock + renew.duration).max(*until);
                }
            }
            Record::LeaseRelease(release) if self.held(release.fencing).is_some() => {
                self.lease = None;
            }
            _ => {}
        }
    }

    fn held(&mut self, fencing: Offset) -> Option<&mut (Offset, Millis)> {
        let clock = self.clock;
        let lease = self.lease.as_mut();
        lease.filter(|(grant, until)| *grant == fencing && *until > clock)
    }

    fn change(&mut self, entry: &LogEntry, change: &ManifestChange) {
        let late = entry.time.max(self.clock) > change.made_at + CHANGE_WINDOW;
        let early = change.made_at > entry.time + MAX_SKEW;
        let fits = |item: &EntryChange| {
            let there = self.revisions.get(&item.entry.key());
            there.copied() == item.base
        };
        let fits = change.entries.iter().all(fits);
        if !self.seen.insert(entry.id.clone()) || late || early || !fits {
            return;
        }
        let keys: BTreeSet<EntryKey> = change.entries.iter().map(|c| c.entry.key()).collect();
        let absent = |c: &EntryChange| c.entry.is_removal() && c.base.is_none();
        if keys.len() < change.entries.len() || change.entries.iter().any(absent) {
            return;
        }
        let mut manifest = self.manifest.clone();
        for item in &change.entries {
            put_entry(&mut manifest, &item.entry);
        }
        if check_manifest(&manifest).is_err() {
            return;
        }
        self.manifest = manifest;
        for item in &change.entries {
            let key = item.entry.key();
            if item.entry.is_removal() {
                self.revisions.remove(&key);
            } else {
                self.revisions.insert(key, entry.offset);
            }
        }
    }
}

struct Reader {
    fold: ControlFold,
    /// Set while a reader whose offset is trimmed looks for a checkpoint.
    search: Option<(CheckpointAssembler, Offset)>,
}

struct Stream {
    now: u64,
    names: u64,
    waiting: Vec<(RecordId, Record)>,
    log: Vec<LogEntry>,
    start: usize,
    /// The expected fold and the oracle before each offset.
    truth: Vec<(ControlFold, Oracle)>,
    parts: BTreeMap<String, BTreeSet<u32>>,
    covered: Offset,
    readers: Vec<Reader>,
    seen: BTreeMap<String, u64>,
}

impl Stream {
    fn new() -> Self {
        let empty = || Reader {
            fold: ControlFold::default(),
            search: None,
        };
        Self {
            now: 1_000_000,
            names: 0,
            waiting: Vec::new(),
            log: Vec::new(),
            start: 0,
            truth: vec![(ControlFold::default(), Oracle::default())],
            parts: BTreeMap::new(),
            covered: Offset(0),
            readers: (0..READERS).map(|_| empty()).collect(),
            seen: BTreeMap::new(),
        }
    }

    fn enqueue(&mut self, record: Record) {
        self.names += 1;
        self.waiting
            .push((RecordId(format!("r{}", self.names)), record));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Propose {
                reader,
                first,
                second,
            } => self.propose(reader, first, second),
            Step::Lease { holder, what } => self.lease(holder, what),
            Step::Land { at, again } => self.land(at, again),
            Step::Tail { reader, count } => (0..count).for_each(|_| self.read(reader)),
            Step::Restart { reader } => self.restart(reader),
            Step::Copy { from, to } => self.copy(from, to),
            Step::Checkpoint { reader, bytes } => self.checkpoint(reader, bytes),
            Step::Trim => self.start = self.start.max(self.covered.0 as usize),
            Step::Advance { millis } => self.now += millis,
        }
        if matches!(step, Step::Tail { .. } | Step::Copy { .. }) {
            self.check();
        }
    }

    fn propose(&mut self, reader: usize, first: u8, second: u8) {
        let fold = &self.readers[reader].fold;
        let base = |entry: Entry| {
            let revision = fold.revision(&entry.key());
            let base = revision.map(|revision| revision.offset.0);
            based(entry, base)
        };
        let mut entries = vec![base(entry(first))];
        if second < 128 {
            entries.push(base(entry(second)));
        }
        let author = format!("operator{reader}");
        let made_at = Millis(self.now);
        self.enqueue(Record::ManifestChange(ManifestChange {
            author,
            made_at,
            entries,
        }));
    }

    fn lease(&mut self, holder: u64, what: u8) {
        let name = "placement".to_owned();
        let duration = Millis(1000);
        let lease = self.readers[0].fold.leases().get("placement");
        let fencing = lease.map_or(Offset(0), |lease| lease.fencing);
        let holder = node("n", holder);
        self.enqueue(match what {
            0 => Record::LeaseGrant(LeaseGrant {
                name,
                holder,
                duration,
            }),
            1 => Record::LeaseRenew(LeaseRenew {
                name,
                fencing,
                duration,
            }),
            _ => Record::LeaseRelease(LeaseRelease { name, fencing }),
        });
    }

    fn land(&mut self, at: usize, again: bool) {
        if self.waiting.is_empty() {
            return;
        }
        let at = at % self.waiting.len();
        let (id, record) = self.waiting.remove(at);
        if again {
            self.waiting.push((id.clone(), record.clone()));
        }
        let offset = Offset(self.log.len() as u64);
        // Log time sometimes steps back.
        let entry = LogEntry {
            offset,
            time: Millis(self.now - offset.0 * 37 % LOG_JITTER),
            id,
            record,
        };
        if let Record::Checkpoint(part) = &entry.record {
            self.note_part(part);
        }
        let (mut fold, mut oracle) = self.truth[self.log.len()].clone();
        let applied = fold.apply(&entry);
        oracle.apply(&entry);
        let changed = matches!(applied, Applied::Changed(_));
        self.note(&format!("{applied:?}"));
        let before = &self.truth[self.log.len()].1;
        assert_eq!(changed, before.revisions != oracle.revisions, "{applied:?}");
        if let Applied::Lease(LeaseVerdict::Granted(fencing)) = applied {
            assert_eq!(oracle.lease.map(|(grant, _)| grant), Some(fencing));
        }
        self.truth.push((fold, oracle));
        self.log.push(entry);
    }

    /// Counts an event by the name of its variant, without the fields.
    fn note(&mut self, what: &str) {
        let end = what.find(['(', ' ']).unwrap_or(what.len());
        *self.seen.entry(what[..end].to_owned()).or_default() += 1;
    }

    fn note_part(&mut self, part: &CheckpointPart) {
        let parts = self.parts.entry(part.set.clone()).or_default();
        parts.insert(part.part);
        if parts.len() == part.of as usize {
            self.covered = self.covered.max(part.covers);
        }
    }

    fn read(&mut self, reader: usize) {
        let reader = &mut self.readers[reader];
        if let Some((assembler, next)) = &mut reader.search {
            let start = Offset(self.start as u64);
            *next = (*next).max(start);
            let Some(entry) = self.log.get(next.0 as usize) else {
                return;
            };
            *next = next.next();
            if let AssemblyProgress::Complete(fold) = assembler.add(entry, start) {
                assert!(reader.fold.adopt(*fold), "a trimmed reader is behind");
                reader.search = None;
                self.note("Restored");
            }
            return;
        }
        let next = reader.fold.next().0 as usize;
        if next < self.start {
            reader.search = Some((CheckpointAssembler::default(), Offset(self.start as u64)));
        } else if let Some(entry) = self.log.get(next) {
            reader.fold.apply(entry);
        }
    }

    fn restart(&mut self, reader: usize) {
        self.readers[reader] = Reader {
            fold: ControlFold::default(),
            search: None,
        };
    }

    fn copy(&mut self, from: usize, to: usize) {
        let parts = encode(&self.readers[from].fold, "copy", 500);
        let copy = rebuild(&parts).expect("the parts of a fold are complete");
        let next = copy.next();
        let reader = &mut self.readers[to];
        let before = reader.fold.next();
        assert_eq!(reader.fold.adopt(copy), next > before);
        if next > before {
            reader.search = None;
        }
    }

    fn checkpoint(&mut self, reader: usize, bytes: usize) {
        self.names += 1;
        let set = format!("set{}", self.names);
        for part in encode(&self.readers[reader].fold, &set, bytes) {
            self.enqueue(Record::Checkpoint(part));
        }
    }

    /// Checks that the state of every reader matches the log up to its offset.
    fn check(&self) {
        for reader in &self.readers {
            let (fold, oracle) = &self.truth[reader.fold.next().0 as usize];
            assert_eq!(&reader.fold, fold);
            assert_eq!(reader.fold.manifest(), &oracle.manifest);
            assert_eq!(check_manifest(&oracle.manifest).as_ref(), Ok(fold.index()));
            for (key, offset) in &oracle.revisions {
                assert_eq!(fold.revision(key).map(|r| r.offset), Some(*offset));
            }
            let lease = fold.leases().get("placement");
            let lease = lease.filter(|lease| lease.in_force(fold.clock()));
            let truth = oracle.lease.filter(|(_, until)| *until > oracle.clock);
            assert_eq!(lease.map(|lease| (lease.fencing, lease.until)), truth);
        }
    }
}

/// One of a small set of entries that refer to each other and share key hashes.
fn entry(code: u8) -> Entry {
    let remove = code.is_multiple_of(4);
    let which = code / 4 % 3;
    let variant = u64::from(code / 12 % 6);
    let mut entry = match code / 72 {
        0 | 1 => put_workspace(&format!("w{which}"), 1.0 + variant as f64, &[variant]),
        2 => put_service(&format!("s{which}")),
        _ => put_kind(&format!("k{which}"), booking(&format!("s{}", variant % 3))),
    };
    match &mut entry {
        Entry::Workspace { value, .. } if remove => *value = None,
        Entry::Service { value, .. } if remove => *value = None,
        Entry::Kind { value, .. } if remove => *value = None,
        _ => {}
    }
    entry
}

thread_local! {
    static STEPS: RefCell<Option<BoxedStrategy<Step>>> = const { RefCell::new(None) };
    static SEEN: RefCell<BTreeMap<String, u64>> = const { RefCell::new(BTreeMap::new()) };
}

struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        STEPS.with_borrow_mut(|built| built.get_or_insert_with(steps).clone())
    }

    fn apply((): (), _: &Step) {}
}

struct StreamTest;

impl StateMachineTest for StreamTest {
    type SystemUnderTest = Stream;
    type Reference = AnyOrder;

    fn init_test((): &()) -> Stream {
        Stream::new()
    }

    fn apply(mut stream: Stream, (): &(), step: Step) -> Stream {
        stream.step(step);
        stream
    }

    fn teardown(mut stream: Stream, (): ()) {
        // All readers must end with the same state.
        for reader in 0..READERS {
            for _ in 0..3 * stream.log.len() + 3 {
                stream.read(reader);
            }
        }
        stream.check();
        let end = Offset(stream.log.len() as u64);
        for reader in &stream.readers {
            assert!(reader.fold.next() == end || reader.search.is_some());
        }
        SEEN.with_borrow_mut(|total| {
            for (what, count) in stream.seen {
                *total.entry(what).or_default() += count;
            }
        });
    }
}

#[test]
fn all_readers_agree_and_exactly_one_change_wins() {
    let number = |name, default| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let config = Config {
        cases: number("FLAMINGOLOCK_CASES", u64::from(CASES)) as u32,
        rng_seed: RngSeed::Fixed(number("FLAMINGOLOCK_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let outcome = runner.run(
        &AnyOrder::sequential_strategy(20..120),
        |((), steps, seen)| {
            StreamTest::test_sequential(config.clone(), (), steps, seen);
            Ok(())
        },
    );
    if let Err(err) = outcome {
        panic!("{err}");
    }
    let seen = SEEN.with_borrow(BTreeMap::clone);
    println!("{seen:#?}");
    for what in [
        "Changed",
        "Checkpoint",
        "Duplicate",
        "Invalid",
        "Lease",
        "Refused",
        "Restored",
        "Untimely",
    ] {
        assert!(seen.contains_key(what), "the search never saw {what}");
    }
}
