//! What a hub has told of the nodes whose states it passes on, so that it tells a whole state
//! only now and then, and their incarnation in between.

use std::collections::BTreeMap;

use flamingolock_wire::gossip::NodeState;

use crate::clock::Millis;

/// Interval at which the recipients are told that a node is alive, in ms.
const ALIVE_INTERVAL_MS: Millis = 250;

/// Interval at which they are told its whole state, in ms: some may have missed it, or have just
/// started.
const STATE_INTERVAL_MS: Millis = 1_000;

/// Minimum interval between two states of a node that changes all the time, in ms.
const MIN_INTERVAL_MS: Millis = 50;

/// What to tell of a node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// Its whole state.
    State,
    /// That it is alive.
    Alive,
    /// Nothing.
    Nothing,
}

#[derive(Debug)]
struct Told {
    state: NodeState,
    state_at: Millis,
    alive_at: Millis,
}

/// The states that were told, by incarnation.
#[derive(Debug, Default)]
pub struct ToldStates(BTreeMap<u64, Told>);

impl ToldStates {
    /// Returns what to tell of a node that is alive, and takes it for told.
    pub fn tell(&mut self, state: &NodeState, now: Millis) -> Telling {
        let Some(told) = self.0.get_mut(&state.incarnation) else {
            let told = Told {
                state: state.clone(),
                state_at: now,
                alive_at: now,
            };
            self.0.insert(state.incarnation, told);
            return Telling::State;
        };
        let interval = if told.state == *state {
            STATE_INTERVAL_MS
        } else {
            MIN_INTERVAL_MS
        };
        if now >= told.state_at + interval {
            told.state.clone_from(state);
            (told.state_at, told.alive_at) = (now, now);
            Telling::State
        } else if now >= told.alive_at + ALIVE_INTERVAL_MS {
            told.alive_at = now;
            Telling::Alive
        } else {
            Telling::Nothing
        }
    }

    /// Forgets the nodes of which nothing was told for so long that it has to be told anew.
    pub fn forget_old(&mut self, now: Millis) {
        self.0
            .retain(|_, told| now < told.alive_at + STATE_INTERVAL_MS);
    }
}
