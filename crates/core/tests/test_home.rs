//! The home of an engine under arbitrary inputs, against plain bookkeeping.

use std::collections::{BTreeMap, VecDeque};

use flamingolock_core::home::{Home, HomeOptions};
use flamingolock_core::home_message::{
    Ask, EngineLoad, Grant, Input, Output, Prompt, RefusalReason,
};
use flamingolock_core::levels::Level;
use flamingolock_core::permit::{EntryRef, LivePermit, PermitId, PrefillStats};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 4;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn load(incarnation: u64) -> EngineLoad {
    EngineLoad {
        incarnation: Incarnation(incarnation),
        weights: "w1".into(),
        slots: SLOTS,
        capacity_blocks: 1000,
        prefill_rate: 16_000.0,
        draining: false,
    }
}

fn home(now: Millis) -> Home {
    let options = HomeOptions {
        rebuild_wait: Millis(0),
        ..HomeOptions::default()
    };
    Home::new("e1".into(), &load(1), options, now.0, now)
}

fn entry(number: u64, incarnation: u64) -> EntryRef {
    EntryRef {
        instance: format!("i{number}").into(),
        incarnation: Incarnation(incarnation),
    }
}

/// A prompt of 1600 tokens that takes 100 ms at the claimed rate; prompts of one
/// family share all but the last `own` blocks.
fn prompt(family: u64, own: u64, number: u64) -> Prompt {
    let shared = 100 - own;
    let mut levels = vec![Level {
        blocks: shared as u32,
        hash: BlockHash(family),
    }];
    if own > 0 {
        levels.push(Level {
            blocks: 100,
            hash: BlockHash(1_000_000 + number),
        });
    }
    Prompt {
        levels,
        tokens: 1600,
    }
}

fn ask(number: u64, family: u64) -> Ask {
    Ask {
        entry: entry(0, 1),
        request: format!("r{number}").into(),
        workspace: "w".into(),
        weight: 1.0,
        priority: 0,
        prompt: prompt(family, 10, number),
        answer_tokens: 0,
        within: Millis(10_000),
    }
}

fn grants(out: &[Output]) -> Vec<&Grant> {
    out.iter()
        .filter_map(|output| match output {
            Output::Grant(grant) => Some(grant),
            _ => None,
        })
        .collect()
}

fn reasons(out: &[Output]) -> Vec<RefusalReason> {
    out.iter()
        .filter_map(|output| match output {
            Output::Refuse(refusal) => Some(refusal.reason),
            _ => None,
        })
        .collect()
}

fn observed(cached_tokens: u32, first_token: u64) -> PrefillStats {
    PrefillStats {
        prompt_tokens: 1600,
        cached_tokens,
        first_token: Millis(first_token),
    }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Ask(u64, u64, u64),
    Again(usize),
    Probe(u64),
    FirstToken(usize),
    Release(usize),
    Cancel(usize),
    CancelGranted(usize),
    Restart,
    OldNews,
    Gone,
    Leaving,
    EntryGone(u64),
    EntryRestart(u64),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..3u64, 0..4u64, 1..3000u64).prop_map(|(e, f, w)| Op::Ask(e, f, w)),
        1 => any::<usize>().prop_map(Op::Again),
        3 => (0..4u64).prop_map(Op::Probe),
        8 => any::<usize>().prop_map(Op::FirstToken),
        8 => any::<usize>().prop_map(Op::Release),
        2 => any::<usize>().prop_map(Op::Cancel),
        1 => any::<usize>().prop_map(Op::CancelGranted),
        4 => Just(Op::Restart),
        1 => Just(Op::OldNews),
        1 => prop_oneof![Just(Op::Gone), Just(Op::Leaving)],
        1 => (0..3u64).prop_map(Op::EntryGone),
        1 => (0..3u64).prop_map(Op::EntryRestart),
        8 => (0..120u64).prop_map(Op::Wait),
    ]
}

/// What the inputs and outputs so far amount to.
struct World {
    home: Home,
    now: Millis,
    /// Requests without an answer, with their entry and deadline.
    pending: BTreeMap<RequestId, (Ask, Millis)>,
    granted: BTreeMap<PermitId, Grant>,
    incarnation: u64,
    entries: [u64; 3],
    asked: u64,
}

impl World {
    fn new() -> Self {
        Self {
            home: home(Millis(0)),
            now: Millis(0),
            pending: BTreeMap::new(),
            granted: BTreeMap::new(),
            incarnation: 1,
            entries: [1; 3],
            asked: 0,
        }
    }

    fn step(&mut self, input: Input) -> Result<(), TestCaseError> {
        let out = self.home.step(input, self.now);
        for output in out {
            match output {
                Output::Grant(grant) => self.take_grant(grant)?,
                Output::Refuse(refusal) => {
                    let asked = self.pending.remove(&refusal.request);
                    prop_assert!(asked.is_some(), "refused twice: {refusal:?}");
                }
                Output::Probe { .. } => {}
            }
        }
        let state = self.home.state();
        prop_assert_eq!(state.incarnation(), Incarnation(self.incarnation));
        prop_assert_eq!(state.slots(), SLOTS);
        prop_assert!(self.granted.len() <= SLOTS as usize);
        prop_assert_eq!(self.home.state().permits().len(), self.granted.len());
        prop_assert_eq!(self.home.waiting(), self.pending.len());
        Ok(())
    }

    fn take_grant(&mut self, grant: Grant) -> Result<(), TestCaseError> {
        prop_assert_eq!(grant.incarnation, Incarnation(self.incarnation));
        if self
            .granted
            .get(&grant.permit)
            .is_some_and(|old| old.request == grant.request)
        {
            return Ok(());
        }
        let (_, deadline) = self.pending.remove(&grant.request).ok_or_else(|| {
            TestCaseError::fail(format!("granted without being asked: {grant:?}"))
        })?;
        // A shared prefill in progress may end a little after the deadline.
        prop_assert!(
            self.now <= deadline + Millis(25),
            "{grant:?} at {}",
            self.now
        );
        prop_assert!(self.granted.insert(grant.permit, grant).is_none());
        Ok(())
    }

    fn nth_grant(&self, at: usize) -> Option<Grant> {
        let count = self.granted.len().max(1);
        self.granted.values().nth(at % count).cloned()
    }

    fn drop_entry(&mut self, number: u64, incarnation: u64) {
        let lost = entry(number, incarnation);
        self.pending.retain(|_, (ask, _)| ask.entry != lost);
        self.granted.retain(|_, grant| grant.entry != lost);
    }

    fn apply(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Ask(number, family, within) => {
                self.asked += 1;
                let mut new = ask(self.asked, family);
                new.entry = entry(number, self.entries[number as usize]);
                new.workspace = format!("w{family}").into();
                new.within = Millis(within);
                let deadline = self.now + new.within;
                self.pending
                    .insert(new.request.clone(), (new.clone(), deadline));
                self.step(Input::Ask(new))
            }
            Op::Again(at) => {
                let count = self.pending.len().max(1);
                let known = self.pending.values().nth(at % count).cloned();
                known.map_or(Ok(()), |(ask, _)| self.step(Input::Ask(ask)))
            }
            Op::Probe(family) => self.step(Input::Probe(ask(999_999, family))),
            Op::FirstToken(at) => {
                let Some(grant) = self.nth_grant(at) else {
                    return Ok(());
                };
                let observed = observed(grant.cached_tokens, 100);
                self.step(Input::FirstToken {
                    permit: grant.permit,
                    observed,
                })
            }
            Op::Release(at) => {
                let Some(grant) = self.nth_grant(at) else {
                    return Ok(());
                };
                self.granted.remove(&grant.permit);
                let observed = (at % 3 > 0).then(|| observed(0, 100));
                self.step(Input::Release {
                    permit: grant.permit,
                    observed,
                })?;
                self.step(Input::Release {
                    permit: grant.permit,
                    observed,
                })
            }
            Op::Cancel(at) => {
                let count = self.pending.len().max(1);
                let Some((ask, _)) = self.pending.values().nth(at % count).cloned() else {
                    return Ok(());
                };
                let stranger = entry(9, 1);
                let request = ask.request.clone();
                self.step(Input::Cancel {
                    entry: stranger,
                    request: request.clone(),
                })?;
                if self.pending.remove(&request).is_none() {
                    return Ok(());
                }
                self.step(Input::Cancel {
                    entry: ask.entry,
                    request,
                })
            }
            Op::CancelGranted(at) => {
                let Some(grant) = self.nth_grant(at) else {
                    return Ok(());
                };
                self.granted.remove(&grant.permit);
                self.step(Input::Cancel {
                    entry: grant.entry,
                    request: grant.request,
                })
            }
            Op::Wait(span) => {
                self.now = self.now + Millis(span);
                self.step(Input::Tick)
            }
            fault => self.fail(fault),
        }
    }

    /// Loss and return of the engine or of an entry node.
    fn fail(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Restart => {
                self.incarnation += 1;
                self.granted.clear();
                self.step(Input::Load(load(self.incarnation)))
            }
            Op::OldNews => {
                let old = EngineLoad {
                    slots: 100,
                    draining: true,
                    ..load(self.incarnation - 1)
                };
                self.step(Input::Load(old))?;
                let earlier = entry(0, self.entries[0] - 1);
                self.step(Input::EntryGone(earlier))
            }
            Op::Gone => {
                self.granted.clear();
                self.step(Input::EngineGone)
            }
            Op::Leaving => self.step(Input::EngineLeaving),
            Op::EntryGone(number) => {
                let incarnation = self.entries[number as usize];
                self.drop_entry(number, incarnation);
                self.step(Input::EntryGone(entry(number, incarnation)))
            }
            Op::EntryRestart(number) => {
                let incarnation = self.entries[number as usize];
                self.entries[number as usize] += 1;
                self.drop_entry(number, incarnation);
                self.apply(Op::Ask(number, 0, 1000))
            }
            _ => Ok(()),
        }
    }
}

proptest! {
    #![proptest_config(config(3))]

    /// Permits never exceed the slots, every request for a permit is answered
    /// exactly once and in time, and nothing of an earlier incarnation survives.
    #[test]
    fn answers_every_request_exactly_once(ops in vec(op(), 0..150)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op)?;
        }
        while let Some(at) = world.home.next_tick(world.now) {
            prop_assert!(at > world.now);
            world.now = at;
            world.step(Input::Tick)?;
        }
        prop_assert!(world.pending.is_empty(), "never answered: {:?}", world.pending.keys());
    }
}

#[test]
fn small_workspace_passes_the_flood() {
    let mut home = home(Millis(0));
    for number in 0..50 {
        let mut flood = ask(number, number);
        flood.workspace = "large".into();
        home.step(Input::Ask(flood), Millis(0));
    }
    let mut small = ask(99, 99);
    small.workspace = "small".into();
    let estimate = home.estimate(&small, Millis(0));
    assert!(estimate.wait_ms <= 101.0, "{estimate:?}");
    home.step(Input::Ask(small), Millis(0));
    let out = home.step(Input::Tick, Millis(81));
    assert_eq!(grants(&out)[0].request.as_str(), "r99");
}

#[test]
fn probes_leave_claims_that_other_probes_see() {
    let mut home = home(Millis(0));
    let mut wait = |number, now| {
        let out = home.step(Input::Probe(ask(number, number)), Millis(now));
        let [Output::Probe { answer, .. }] = out.as_slice() else {
            panic!("{out:?}");
        };
        answer.wait_ms
    };
    assert_eq!(wait(1, 0), 0);
    assert_eq!(wait(1, 0), 0);
    assert_eq!(wait(2, 1), 100);
    assert_eq!(wait(3, 10), 0);
    home.step(Input::Ask(ask(3, 3)), Millis(10));
    let next = home.estimate(&ask(4, 4), Millis(10));
    assert_eq!(
        next.wait_ms as u32, 100,
        "a granted request claims nothing besides"
    );
}

#[test]
fn cancelled_request_delays_nobody() {
    let mut home = home(Millis(0));
    for number in 0..4 {
        home.step(Input::Ask(ask(number, number)), Millis(0));
    }
    assert_eq!(home.estimate(&ask(9, 9), Millis(0)).wait_ms as u32, 400);
    for request in ["r1", "r3"] {
        let cancel = Input::Cancel {
            entry: entry(0, 1),
            request: request.into(),
        };
        home.step(cancel, Millis(0));
    }
    assert_eq!(home.estimate(&ask(9, 9), Millis(0)).wait_ms as u32, 200);
}

#[test]
fn waits_for_a_prefill_of_the_same_prefix() {
    let mut home = home(Millis(0));
    let first = home.step(Input::Ask(ask(1, 5)), Millis(0));
    let permit = grants(&first)[0].permit;
    let joint = home.estimate(&ask(2, 5), Millis(10));
    assert_eq!((joint.wait_ms as u32, joint.missing_tokens), (90, 160));
    let other = home.estimate(&ask(3, 6), Millis(10));
    assert_eq!((other.wait_ms as u32, other.missing_tokens), (90, 1600));
    home.step(Input::Ask(ask(2, 5)), Millis(85));
    let out = home.step(Input::Tick, Millis(90));
    assert!(grants(&out).is_empty(), "the prefix is not computed yet");
    let observed = observed(0, 95);
    let out = home.step(Input::FirstToken { permit, observed }, Millis(95));
    assert_eq!(grants(&out)[0].cached_tokens, 1440);
}

#[test]
fn shared_prefill_can_be_switched_off() {
    let options = HomeOptions {
        shared_prefill: false,
        rebuild_wait: Millis(0),
        ..HomeOptions::default()
    };
    let mut home = Home::new("e1".into(), &load(1), options, 1, Millis(0));
    home.step(Input::Ask(ask(1, 5)), Millis(0));
    assert_eq!(home.estimate(&ask(2, 5), Millis(10)).missing_tokens, 1600);
    let out = home.step(Input::Ask(ask(2, 5)), Millis(85));
    assert_eq!(grants(&out).len(), 1);
}

#[test]
fn cancelled_prefill_leaves_nothing_in_the_model() {
    let mut home = home(Millis(0));
    home.step(Input::Ask(ask(1, 5)), Millis(0));
    let cancel = Input::Cancel {
        entry: entry(0, 1),
        request: "r1".into(),
    };
    home.step(cancel, Millis(10));
    assert_eq!(home.estimate(&ask(2, 5), Millis(11)).missing_tokens, 1600);
}

#[test]
fn prefix_is_shared_again_after_a_cancelled_prefill() {
    let mut home = home(Millis(0));
    home.step(Input::Ask(ask(1, 5)), Millis(0));
    let cancel = Input::Cancel {
        entry: entry(0, 1),
        request: "r1".into(),
    };
    home.step(cancel, Millis(10));
    home.step(Input::Ask(ask(2, 5)), Millis(10));
    assert_eq!(home.estimate(&ask(3, 5), Millis(10)).missing_tokens, 160);
}

#[test]
fn prefill_that_ends_early_moves_the_next_one_up() {
    let mut home = home(Millis(0));
    let out = home.step(Input::Ask(ask(1, 1)), Millis(0));
    let permit = grants(&out)[0].permit;
    let out = home.step(Input::Ask(ask(2, 2)), Millis(80));
    assert_eq!(grants(&out).len(), 1);
    let wait = |home: &Home| home.estimate(&ask(3, 3), Millis(85)).wait_ms as u32;
    assert_eq!(wait(&home), 115);
    let observed = observed(0, 85);
    home.step(Input::FirstToken { permit, observed }, Millis(85));
    assert_eq!(wait(&home), 100);
}

#[test]
fn workspace_pays_once_for_a_prefix_that_its_requests_share() {
    let mut home = home(Millis(0));
    let mut order = Vec::new();
    home.step(Input::Ask(ask(0, 100)), Millis(0));
    for number in 1..=4 {
        for (workspace, family) in [("a", 5), ("b", 5 + number)] {
            let mut new = ask(number * 10 + family, family);
            new.workspace = workspace.into();
            new.request = format!("{workspace}{number}").into();
            home.step(Input::Ask(new), Millis(0));
        }
    }
    let (first, _) = home.state().permits().of_request(&"r0".into()).unwrap();
    let mut running = VecDeque::from([first]);
    let mut now = Millis(0);
    while let Some(permit) = running.pop_front() {
        now = now + Millis(50);
        let observed = Some(observed(0, 50));
        let out = home.step(Input::Release { permit, observed }, now);
        for grant in grants(&out) {
            order.push(grant.request.to_string());
            running.push_back(grant.permit);
        }
    }
    assert_eq!(order, ["a1", "b1", "a2", "b2", "a3", "a4", "b3", "b4"]);
}

#[test]
fn refuses_early_what_cannot_be_in_time() {
    let mut home = home(Millis(0));
    for number in 0..5 {
        home.step(Input::Ask(ask(number, number)), Millis(0));
    }
    let mut late = ask(9, 9);
    late.within = Millis(300);
    let out = home.step(Input::Ask(late), Millis(0));
    let [Output::Refuse(refusal)] = out.as_slice() else {
        panic!("{out:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(refusal.retry_after >= Millis(200), "{refusal:?}");
}

#[test]
fn idle_engine_takes_what_seems_too_late() {
    let mut home = home(Millis(0));
    let mut late = ask(1, 1);
    late.within = Millis(50);
    let out = home.step(Input::Ask(late), Millis(0));
    assert_eq!(grants(&out).len(), 1);
}

#[test]
fn new_home_counts_the_permits_that_entries_report() {
    let options = HomeOptions::default();
    let mut home = Home::new("e1".into(), &load(2), options, 1, Millis(0));
    let live = |permit, incarnation| LivePermit {
        permit: PermitId(permit),
        request: format!("old{permit}").into(),
        incarnation: Incarnation(incarnation),
    };
    let out = home.step(Input::Ask(ask(1, 1)), Millis(0));
    assert!(
        out.is_empty(),
        "nothing is granted before entries could report"
    );
    let rebuild = Input::Rebuild {
        entry: entry(1, 1),
        permits: vec![live(1, 2), live(2, 2), live(3, 2), live(4, 2), live(5, 1)],
    };
    home.step(rebuild, Millis(5));
    assert_eq!(home.state().permits().len(), 4);
    assert!(home.step(Input::Tick, Millis(20)).is_empty());
    let release = Input::Release {
        permit: PermitId(3),
        observed: None,
    };
    let out = home.step(release, Millis(25));
    assert_eq!(grants(&out).len(), 1);
}

#[test]
fn leaving_engine_refuses_what_waits() {
    let mut home = home(Millis(0));
    home.step(Input::Ask(ask(1, 1)), Millis(0));
    home.step(Input::Ask(ask(2, 2)), Millis(0));
    let out = home.step(Input::EngineLeaving, Millis(1));
    assert_eq!(reasons(&out), [RefusalReason::Leaving]);
    assert_eq!(home.state().permits().len(), 1);
    let out = home.step(Input::Ask(ask(3, 3)), Millis(2));
    assert_eq!(reasons(&out), [RefusalReason::Leaving]);
}

#[test]
fn request_of_an_earlier_entry_incarnation_is_refused() {
    let mut home = home(Millis(0));
    let newer = Ask {
        entry: entry(0, 2),
        ..ask(1, 1)
    };
    home.step(Input::Ask(newer), Millis(0));
    let out = home.step(Input::Ask(ask(2, 2)), Millis(1));
    assert_eq!(reasons(&out), [RefusalReason::OldEntry]);
}

#[test]
fn learns_the_prefill_rate() {
    let mut home = home(Millis(0));
    let mut now = Millis(0);
    for number in 0..60 {
        let out = home.step(Input::Ask(ask(number, number)), now);
        let permit = grants(&out)[0].permit;
        now = now + Millis(200);
        let observed = Some(observed(0, 200));
        home.step(Input::Release { permit, observed }, now);
    }
    let rate = home.state().rate().per_second();
    assert!((7900.0..8200.0).contains(&rate), "{rate} tokens a second");
}

#[test]
fn rate_does_not_count_the_wait_behind_another_prefill() {
    let mut home = home(Millis(0));
    for number in 0..40 {
        let mut next = ask(number, number);
        next.within = Millis(60_000);
        home.step(Input::Ask(next), Millis(0));
    }
    let mut running: VecDeque<PermitId> = VecDeque::new();
    let (first, _) = home.state().permits().of_request(&"r0".into()).unwrap();
    running.push_back(first);
    for end in (100..=3000).step_by(100) {
        let out = home.step(Input::Tick, Millis(end - 20));
        running.extend(grants(&out).iter().map(|grant| grant.permit));
        let permit = running.pop_front().unwrap();
        let observed = Some(observed(0, 120));
        home.step(Input::Release { permit, observed }, Millis(end));
    }
    let rate = home.state().rate().per_second();
    assert!(
        (15_500.0..16_500.0).contains(&rate),
        "{rate} tokens a second"
    );
}
