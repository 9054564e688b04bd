//! Injected outages and delays of the parts of a platform.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A part of the platform that can fail independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The log service.
    Log,
    /// The instance list.
    Instances,
    /// The weight store.
    Weights,
    /// The store of exported KV cache blocks.
    Kv,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 4] = [Part::Log, Part::Instances, Part::Weights, Part::Kv];

    /// The parts selected by the value of the `part` parameter.
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

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Every call gets a 503 response.
    Refuse,
    /// Calls get no response; their connections are closed when the outage ends.
    Hang,
}

impl OutageMode {
    /// Parses the value of the `mode` parameter.
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
    /// Respond that the service is unavailable.
    Refuse,
    /// Wait until this time, then close the connection without a response.
    Hang(Instant),
}

/// The configured outages and delays.
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

    /// Decides how to handle a call that arrives at `now`.
    pub(crate) fn admit(&self, part: Part, now: Instant) -> Admission {
        let outage = self.outages.get(&part).filter(|(_, until)| now < *until);
        match outage {
            Some((OutageMode::Refuse, _)) => Admission::Refuse,
            Some((OutageMode::Hang, until)) => Admission::Hang(*until),
            None => Admission::Serve,
        }
    }

    /// Delay of calls to a part.
    pub(crate) fn delay(&self, part: Part) -> Duration {
        self.delays.get(&part).copied().unwrap_or_default()
    }
}
