//! Assignment of engines to home nodes, and the homes on this node.
//!
//! The home of an engine is the node that queues requests for the engine and grants the
//! permits to send them. Rendezvous hashing of the engine's name assigns it to one of
//! the live nodes.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_core::digest::EngineDigest;
use flamingolock_core::home::{Home, HomeOptions};
use flamingolock_core::home_message::{EngineLoad, Input, Output};
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;

/// Homes on this node by engine, and the nodes to which homes are assigned.
#[derive(Debug)]
pub struct Homes {
    local_entry: EntryRef,
    options: HomeOptions,
    nodes: BTreeSet<InstanceId>,
    local: BTreeMap<EngineId, Home>,
    created: u64,
}

/// Outputs of homes, each with the engine of the home.
pub type Outputs = Vec<(EngineId, Output)>;

impl Homes {
    /// Creates the homes of a node that knows no other node yet.
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

    /// Returns the nodes to which homes are assigned.
    pub fn nodes(&self) -> &BTreeSet<InstanceId> {
        &self.nodes
    }

    /// Returns the home node of `engine`.
    pub fn home_of(&self, engine: &EngineId) -> InstanceId {
        let key = rendezvous::key(engine.as_str());
        let names = self.nodes.iter().map(InstanceId::as_str);
        let best = rendezvous::top(key, names, 1);
        best.first().map_or_else(
            || self.local_entry.instance.clone(),
            |name| InstanceId::from(*name),
        )
    }

    /// Returns true if this node is the home of `engine`.
    pub fn is_local(&self, engine: &EngineId) -> bool {
        self.home_of(engine) == self.local_entry.instance
    }

    /// Returns the home of `engine` if it is on this node and has been created.
    pub fn get(&self, engine: &EngineId) -> Option<&Home> {
        self.local.get(engine)
    }

    /// Assigns homes to another set of nodes. Homes that move away refuse their waiting
    /// requests, so that the entry nodes of these ask the new home.
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

    /// Removes the home of an engine that is lost or assigned to another node.
    pub fn close(&mut self, engine: &EngineId, now: Millis) -> Outputs {
        let Some(mut home) = self.local.remove(engine) else {
            return Outputs::new();
        };
        with_engine(engine, home.step(Input::EngineGone, now))
    }

    /// Updates the load of an engine whose home is this node, and creates the home if it
    /// does not exist yet.
    pub fn update_load(&mut self, engine: &EngineId, load: EngineLoad, now: Millis) -> Outputs {
        if !self.is_local(engine) {
            return Outputs::new();
        }
        if self.local.contains_key(engine) {
            return self.step(engine, Input::Load(load), now);
        }
        self.created += 1;
        // The incarnation keeps permit ids of different incarnations of this node apart.
        let text = format!(
            "{}#{}#{}",
            self.local_entry.instance, self.local_entry.incarnation, self.created
        );
        let seed = rendezvous::key(&text);
        let home = Home::new(engine.clone(), &load, self.options, seed, now);
        self.local.insert(engine.clone(), home);
        Outputs::new()
    }

    /// Passes an input to the home of `engine`; does nothing if it is not on this node.
    pub fn step(&mut self, engine: &EngineId, input: Input, now: Millis) -> Outputs {
        match self.local.get_mut(engine) {
            Some(home) => with_engine(engine, home.step(input, now)),
            None => Outputs::new(),
        }
    }

    /// Releases the permits and drops the waiting requests of an entry node at all homes,
    /// up to the incarnation that is lost.
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

    /// Runs the timers of all homes.
    pub fn tick(&mut self, now: Millis) -> Outputs {
        let mut outputs = Outputs::new();
        for (engine, home) in &mut self.local {
            outputs.extend(with_engine(engine, home.step(Input::Tick, now)));
        }
        outputs
    }

    /// Returns the next time that [`Homes::tick`] has to run if no input comes before.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        self.local
            .values()
            .filter_map(|home| home.next_tick(now))
            .min()
    }

    /// Returns the load digests of all homes on this node.
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
