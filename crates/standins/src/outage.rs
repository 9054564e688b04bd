//! Outages and slowness of the parts of a platform.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A part of the platform that can fail on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The log service.
    Log,
    /// The instance list.
    Instances,
    /// The weight store.
    Weights,
    /// The store of kept KV cache.
    Kv,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 4] = [Part::Log, Part::Instances, Part::Weights, Part::Kv];

    /// The parts that a name stands for.
    pub(crate) fn from_name(name: &str) -> Option<&'static [Part]> {
        Some(match name {
            "log" => &[Part::Log],
            "instances" => &[Part::Instances],
            "weights" => &[Part::Weights],
            "kv" => &[Part::Kv],
            "all" => &Part::ALL,
            _ => return None,
        })
    }
}

/// What callers see of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Every call is answered with 503.
    Refuse,
    /// Calls get no answer; their connections close at the end of the outage.
    Hang,
}

impl OutageMode {
    /// The mode of this name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        match name {
            "refuse" => Some(Self::Refuse),
            "hang" => Some(Self::Hang),
            _ => None,
        }
    }
}

/// What to do with a call to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Serve it.
    Serve,
    /// Answer that the service is unavailable.
    Refuse,
    /// Answer nothing until this time, then close the connection.
    Hang(Instant),
}

/// The outages and delays that are in force.
#[derive(Default)]
pub(crate) struct Outages {
    outages: BTreeMap<Part, (OutageMode, Instant)>,
    delays: BTreeMap<Part, Duration>,
}

impl Outages {
    pub(crate) fn begin(&mut self, part: Part, mode: OutageMode, until: Instant) {
        self.outages.insert(part, (mode, until));
    }

    pub(crate) fn set_delay(&mut self, part: Part, delay: Duration) {
        self.delays.insert(part, delay);
    }

    /// What happens to a call that arrives at `now`.
    pub(crate) fn admit(&self, part: Part, now: Instant) -> Admission {
        let outage = self.outages.get(&part).filter(|(_, until)| now < *until);
        match outage {
            Some((OutageMode::Refuse, _)) => Admission::Refuse,
            Some((OutageMode::Hang, until)) => Admission::Hang(*until),
            None => Admission::Serve,
        }
    }

    /// Time that a call to a part takes.
    pub(crate) fn delay(&self, part: Part) -> Duration {
        self.delays.get(&part).copied().unwrap_or_default()
    }
}
