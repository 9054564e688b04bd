//! Graceful shutdown of a node.
//!
//! A node that is told to stop leaves the entries first and still serves those that
//! come with an older answer, then refuses new requests while streams run to their
//! end, and exits when the last has ended or a limit has passed.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainLimits {
    /// How long callers may still come: the lifetime of entries and what it takes
    /// until all peers have heard.
    pub serve_for: Millis,
    /// How long requests in flight may go on after that.
    pub finish_within: Millis,
}

/// Where a shutdown stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not begun.
    Running,
    /// Out of the entries, still serving.
    Unlisted {
        /// When new requests are refused.
        until: Millis,
    },
    /// Refuses new requests.
    Finishing {
        /// When requests in flight are ended.
        until: Millis,
    },
    /// Over.
    Done,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process was told to stop.
    Signal,
    /// The number of requests in flight is now this.
    InflightChanged(usize),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Leave the entries and tell the peers.
    Unlist,
    /// Refuse new requests.
    RefuseNew,
    /// End the requests in flight with an explicit error.
    EndInflight(usize),
    /// Exit the process.
    Exit,
}

/// Shutdown of one node.
#[derive(Clone, Debug)]
pub struct Drain {
    limits: DrainLimits,
    phase: Phase,
    inflight: usize,
}

impl Drain {
    /// A node that runs.
    pub fn new(limits: DrainLimits) -> Self {
        Self {
            limits,
            phase: Phase::Running,
            inflight: 0,
        }
    }

    /// Where the shutdown stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new requests are served.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Unlisted { .. })
    }

    /// Takes one input and says what to do next.
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
