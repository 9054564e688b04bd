//! Graceful shutdown of a node.
//!
//! A node that is told to stop first withdraws from the list of entries, but still serves
//! callers that use an earlier copy of the list. It then refuses new requests while open
//! streams continue, and exits when the last stream has ended or a time limit is reached.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainLimits {
    /// How long new requests are still served: the lifetime of entries plus the time until
    /// all peers know that the node is leaving.
    pub serve_for: Millis,
    /// How long requests in flight may continue after that.
    pub finish_within: Millis,
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The shutdown has not begun.
    Running,
    /// The node has left the list of entries but serves new requests.
    Unlisted {
        /// Time from which new requests are refused.
        until: Millis,
    },
    /// New requests are refused; those in flight continue.
    Finishing {
        /// Time at which requests still in flight are ended.
        until: Millis,
    },
    /// The shutdown is complete.
    Done,
}

/// An input event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process was told to stop.
    Signal,
    /// The number of requests in flight changed to this value.
    InflightChanged(usize),
    /// Time has passed.
    Tick,
}

/// An action for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Leave the list of entries and notify the peers.
    Unlist,
    /// Refuse new requests.
    RefuseNew,
    /// End the requests in flight with an explicit error.
    EndInflight(usize),
    /// Exit the process.
    Exit,
}

/// State of the shutdown of one node.
#[derive(Clone, Debug)]
pub struct Drain {
    limits: DrainLimits,
    phase: Phase,
    inflight: usize,
}

impl Drain {
    /// Creates the state of a running node.
    pub fn new(limits: DrainLimits) -> Self {
        Self {
            limits,
            phase: Phase::Running,
            inflight: 0,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new requests are served.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Unlisted { .. })
    }

    /// Handles one input and returns the resulting actions.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Signal if self.phase == Phase::Running => {
                let until = now + self.limits.serve_for;
                self.phase = Phase::Unlisted { until };
                outputs.push(Output::Unlist);
            }
            Input::Signal | Input::Tick => {}
            Input::InflightChanged(count) => self.inflight = count,
        }
        self.advance(now, &mut outputs);
        outputs
    }

    fn advance(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        if let Phase::Unlisted { until } = self.phase
            && now >= until
        {
            let until = now + self.limits.finish_within;
            self.phase = Phase::Finishing { until };
            outputs.push(Output::RefuseNew);
        }
        if let Phase::Finishing { until } = self.phase {
            if self.inflight > 0 && now < until {
                return;
            }
            if self.inflight > 0 {
                outputs.push(Output::EndInflight(self.inflight));
            }
            self.phase = Phase::Done;
            outputs.push(Output::Exit);
        }
    }
}
