//! The engines whose home this node is.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_core::digest::EngineDigest;
use flamingolock_core::home::{Home, HomeOptions};
use flamingolock_core::home_message::{EngineLoad, Input, Output};
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;

/// Homes by engine, and the nodes among which homes are shared out.
#[derive(Debug)]
pub struct Homes {
    local_entry: EntryRef,
    options: HomeOptions,
    nodes: BTreeSet<InstanceId>,
    local: BTreeMap<EngineId, Home>,
    created: u64,
}

/// What a home wants said, and for which engine.
pub type Outputs = Vec<(EngineId, Output)>;

impl Homes {
    /// A node that shares homes with nobody yet.
    pub fn new(local_entry: EntryRef, options: HomeOptions) -> Self {
        let nodes = BTreeSet::from([local_entry.instance.clone()]);
        Self {
            local_entry,
            options,
            nodes,
            local: BTreeMap::new(),
            created: 0,
        }
    }

    /// Nodes among which homes are shared out.
    pub fn nodes(&self) -> &BTreeSet<InstanceId> {
        &self.nodes
    }

    /// The node that is home of `engine`.
    pub fn home_of(&self, engine: &EngineId) -> InstanceId {
        let key = rendezvous::key(engine.as_str());
        let names = self.nodes.iter().map(InstanceId::as_str);
        let best = rendezvous::top(key, names, 1);
        best.first().map_or_else(
            || self.local_entry.instance.clone(),
            |name| InstanceId::from(*name),
        )
    }

    /// True when this node is home of `engine`.
    pub fn is_local(&self, engine: &EngineId) -> bool {
        self.home_of(engine) == self.local_entry.instance
    }

    /// The home that this node keeps for `engine`.
    pub fn get(&self, engine: &EngineId) -> Option<&Home> {
        self.local.get(engine)
    }

    /// Shares homes among other nodes. Homes that move away refuse what waits, so
    /// that its entries ask the new home.
    pub fn set_nodes(&mut self, nodes: BTreeSet<InstanceId>, now: Millis) -> Outputs {
        if nodes.is_empty() {
            return Outputs::new();
        }
        self.nodes = nodes;
        let moved: Vec<EngineId> = self
            .local
            .keys()
            .filter(|engine| !self.is_local(engine))
            .cloned()
            .collect();
        let mut outputs = Outputs::new();
        for engine in moved {
            outputs.extend(self.close(&engine, now));
        }
        outputs
    }

    /// Ends the home of an engine that is lost or has another home.
    pub fn close(&mut self, engine: &EngineId, now: Millis) -> Outputs {
        let Some(mut home) = self.local.remove(engine) else {
            return Outputs::new();
        };
        with_engine(engine, home.step(Input::EngineGone, now))
    }

    /// Takes in the load of an engine; begins its home when it is this node's.
    pub fn update_load(&mut self, engine: &EngineId, load: EngineLoad, now: Millis) -> Outputs {
        if !self.is_local(engine) {
            return Outputs::new();
        }
        if self.local.contains_key(engine) {
            return self.step(engine, Input::Load(load), now);
        }
        self.created += 1;
        // The incarnation keeps permits of different lives of this node apart.
        let text = format!(
            "{}#{}#{}",
            self.local_entry.instance, self.local_entry.incarnation, self.created
        );
        let seed = rendezvous::key(&text);
        let home = Home::new(engine.clone(), &load, self.options, seed, now);
        self.local.insert(engine.clone(), home);
        Outputs::new()
    }

    /// Gives an input to a home; nothing happens when this node has no such home.
    pub fn step(&mut self, engine: &EngineId, input: Input, now: Millis) -> Outputs {
        match self.local.get_mut(engine) {
            Some(home) => with_engine(engine, home.step(input, now)),
            None => Outputs::new(),
        }
    }

    /// Takes back what a lost life of a node holds at any home.
    pub fn entry_gone(&mut self, entry: &EntryRef, now: Millis) -> Outputs {
        let mut outputs = Outputs::new();
        for (engine, home) in &mut self.local {
            outputs.extend(with_engine(
                engine,
                home.step(Input::EntryGone(entry.clone()), now),
            ));
        }
        outputs
    }

    /// Lets time pass at the homes that wait for it.
    pub fn tick(&mut self, now: Millis) -> Outputs {
        let mut outputs = Outputs::new();
        for (engine, home) in &mut self.local {
            outputs.extend(with_engine(engine, home.step(Input::Tick, now)));
        }
        outputs
    }

    /// When [`Homes::tick`] is due if nothing else happens.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        self.local
            .values()
            .filter_map(|home| home.next_tick(now))
            .min()
    }

    /// Digests of all homes.
    pub fn digests(&self, now: Millis) -> Vec<EngineDigest> {
        self.local.values().map(|home| home.digest(now)).collect()
    }
}

fn with_engine(engine: &EngineId, outputs: Vec<Output>) -> Outputs {
    outputs
        .into_iter()
        .map(|output| (engine.clone(), output))
        .collect()
}
