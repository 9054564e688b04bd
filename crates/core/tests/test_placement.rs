//! Orders of the placement, executed by simulated engines whose reported state lags.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_core::manifest::Model;
use flamingolock_core::placement::{Change, EngineStatus, MAX_LOADS, Placement, Role};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FENCING: Offset = Offset(42);
const STEP: u64 = 100;

fn models(weights: &str) -> BTreeMap<ModelName, Model> {
    ["m0", "m1"]
        .into_iter()
        .map(|name| {
            let model = Model {
                weights: weights.into(),
                adapters: vec!["a1".into(), "a2".into()],
                recompute_price: 0.0,
            };
            (name.into(), model)
        })
        .collect()
}

fn status(model: u64) -> EngineStatus {
    EngineStatus {
        model: format!("m{model}").into(),
        incarnation: Incarnation(1),
        weights: "w1".into(),
        adapters: BTreeSet::new(),
        role: Role::Serve,
        requests: 0,
        leaving: false,
        read_at: Millis(0),
    }
}

/// A simulated engine: its state, the state last reported, and the order in progress.
#[derive(Clone, Debug)]
struct Engine {
    actual: EngineStatus,
    reported: EngineStatus,
    current: Option<(Change, u64)>,
}

impl Engine {
    fn new(model: u64, requests: u32) -> Self {
        let actual = EngineStatus {
            requests,
            ..status(model)
        };
        Self {
            reported: actual.clone(),
            actual,
            current: None,
        }
    }

    /// Advances by one step; true if an order completes.
    fn advance(&mut self) -> bool {
        if self.actual.role == Role::Drain {
            self.actual.requests = self.actual.requests.saturating_sub(1);
        }
        let Some((change, left)) = &mut self.current else {
            return false;
        };
        *left = left.saturating_sub(1);
        if *left > 0 {
            return false;
        }
        match change.clone() {
            Change::LoadWeights(version) => {
                self.actual.weights = version;
                self.actual.adapters.clear();
            }
            Change::LoadAdapter(name) => {
                self.actual.adapters.insert(name);
            }
            Change::SetRole(role) => self.actual.role = role,
        }
        self.current = None;
        true
    }

    fn is_loading(&self) -> bool {
        matches!(self.current, Some((Change::LoadWeights(_), _)))
    }
}

/// Runs the placement for a fixed number of steps and checks each of them. An entry of
/// `losses` that is zero drops the confirmation of an order.
fn run(engines: &mut BTreeMap<EngineId, Engine>, losses: &[u8]) -> Result<(), TestCaseError> {
    let wanted = models("w2");
    let mut placement = Placement::new();
    let mut losses = losses.iter();
    for step in 1..3000u64 {
        let now = Millis(step * STEP);
        for (name, engine) in engines.iter_mut() {
            if engine.advance() && losses.next().copied().unwrap_or(1) > 0 {
                placement.confirm(name, now);
            }
            if step % 3 == 0 {
                engine.reported = EngineStatus {
                    read_at: now,
                    ..engine.actual.clone()
                };
            }
        }
        let reported = engines
            .iter()
            .map(|(name, e)| (name.clone(), e.reported.clone()))
            .collect();
        for order in placement.next_orders(&wanted, &reported, FENCING, now) {
            prop_assert_eq!(order.fencing, FENCING);
            let engine = engines.get_mut(&order.engine).unwrap();
            if matches!(order.change, Change::LoadWeights(_)) {
                prop_assert_eq!(engine.actual.role, Role::Drain);
                prop_assert_eq!(engine.actual.requests, 0);
            }
            engine.current = Some((order.change, 4));
        }
        prop_assert!(
            engines
                .values()
                .filter(|engine| engine.is_loading())
                .count()
                <= MAX_LOADS
        );
        for model in ["m0", "m1"] {
            let of_model = || {
                engines
                    .values()
                    .filter(|e| e.actual.model.as_str() == model)
            };
            let serves = of_model().any(|engine| engine.actual.role == Role::Serve);
            prop_assert!(
                serves || of_model().next().is_none(),
                "no engine serves {model}"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// All engines reach the specified state although confirmations are lost, with at
    /// most two loads at once and with each model served at all times.
    #[test]
    fn converges_while_every_model_is_served(
        first in vec(0..20u32, 2..6),
        second in vec(0..20u32, 2..6),
        losses in vec(0..3u8, 0..20),
    ) {
        let mut engines: BTreeMap<EngineId, Engine> = BTreeMap::new();
        for (number, &requests) in first.iter().enumerate() {
            engines.insert(format!("a{number}").into(), Engine::new(0, requests));
        }
        for (number, &requests) in second.iter().enumerate() {
            engines.insert(format!("b{number}").into(), Engine::new(1, requests));
        }
        run(&mut engines, &losses)?;
        for (name, engine) in engines {
            prop_assert_eq!(engine.actual.weights.as_str(), "w2", "{}", name);
            prop_assert_eq!(engine.actual.adapters.len(), 2);
            prop_assert_eq!(engine.actual.role, Role::Serve);
        }
    }
}

fn orders(
    placement: &mut Placement,
    engines: &BTreeMap<EngineId, EngineStatus>,
    now: u64,
) -> Vec<(String, Change)> {
    placement
        .next_orders(&models("w2"), engines, FENCING, Millis(now))
        .into_iter()
        .map(|order| (order.engine.to_string(), order.change))
        .collect()
}

#[test]
fn last_serving_engine_keeps_serving() {
    let mut engines = BTreeMap::from([("e1".into(), status(0))]);
    assert!(orders(&mut Placement::new(), &engines, 0).is_empty());
    let leaving = EngineStatus {
        leaving: true,
        ..status(0)
    };
    engines.insert("e2".into(), leaving);
    assert!(orders(&mut Placement::new(), &engines, 0).is_empty());
    engines.insert("e3".into(), status(0));
    assert_eq!(orders(&mut Placement::new(), &engines, 0).len(), 1);
}

#[test]
fn confirmed_drain_counts_before_it_is_reported() {
    let mut engines: BTreeMap<EngineId, EngineStatus> =
        ["e1", "e2"].map(|name| (name.into(), status(0))).into();
    let mut placement = Placement::new();
    let drain = Change::SetRole(Role::Drain);
    assert_eq!(orders(&mut placement, &engines, 0), [("e1".into(), drain)]);
    placement.confirm(&"e1".into(), Millis(10));
    for status in engines.values_mut() {
        status.read_at = Millis(300);
    }
    assert!(orders(&mut placement, &engines, 300).is_empty());
}

#[test]
fn loads_that_may_still_run_are_counted() {
    let drained = EngineStatus {
        role: Role::Drain,
        ..status(0)
    };
    let mut engines: BTreeMap<EngineId, EngineStatus> = ["e1", "e2", "e3"]
        .map(|name| (name.into(), drained.clone()))
        .into();
    let mut placement = Placement::new();
    assert_eq!(orders(&mut placement, &engines, 0).len(), 2);
    let silent = engines.remove(&EngineId::from("e1"));
    assert!(orders(&mut placement, &engines, 100).is_empty());
    let restarted = EngineStatus {
        incarnation: Incarnation(2),
        ..silent.unwrap()
    };
    engines.insert("e1".into(), restarted);
    assert_eq!(orders(&mut placement, &engines, 200).len(), 1);
}

#[test]
fn refused_order_is_sent_again() {
    let engines: BTreeMap<EngineId, EngineStatus> =
        ["e1", "e2"].map(|name| (name.into(), status(0))).into();
    let mut placement = Placement::new();
    let first = orders(&mut placement, &engines, 0);
    assert!(orders(&mut placement, &engines, 1).is_empty());
    placement.refuse(&"e1".into());
    assert_eq!(orders(&mut placement, &engines, 2), first);
}
