//! Heat of a prefix: exponentially decaying sum of the engine time of its requests.

use crate::prelude::*;

/// Options for heat and replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeatOptions {
    /// Time in which heat decays to half.
    pub half_life: Millis,
    /// Load of one replica, as a fraction of one engine, at which another replica is added.
    pub grow_load: f64,
    /// Maximum number of replicas of one prefix.
    pub max_replicas: u32,
}

impl Default for HeatOptions {
    fn default() -> Self {
        Self {
            half_life: Millis(3000),
            grow_load: 0.5,
            max_replicas: 8,
        }
    }
}

/// Exponentially decaying load of one prefix, with its number of replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heat {
    /// Decayed sum of engine time, in milliseconds.
    sum_ms: f64,
    updated: Millis,
    replicas: u32,
}

impl Heat {
    /// Creates the heat of a prefix that was never used.
    pub fn new(now: Millis) -> Self {
        Self {
            sum_ms: 0.0,
            updated: now,
            replicas: 1,
        }
    }

    /// Adds a request that takes `cost_ms` of engine time, and adjusts the replicas.
    pub fn add(&mut self, cost_ms: f64, options: &HeatOptions, now: Millis) {
        self.sum_ms = self.decayed(options, now) + cost_ms.max(0.0);
        self.updated = self.updated.max(now);
        self.replicas = self.replicas(options, now);
    }

    /// Returns the load in engines: 1 keeps one engine busy.
    pub fn load(&self, options: &HeatOptions, now: Millis) -> f64 {
        // With a steady load of one, the sum converges to the half-life divided by ln 2.
        let full = options.half_life.0.max(1) as f64 / std::f64::consts::LN_2;
        self.decayed(options, now) / full
    }

    /// Returns the target number of replicas. A replica is added when the load of each
    /// exceeds the threshold, and removed when the load of each remaining one would still
    /// be below half of the threshold. This hysteresis keeps a load near the threshold
    /// from moving cached prefixes back and forth.
    pub fn replicas(&self, options: &HeatOptions, now: Millis) -> u32 {
        let needed = self.load(options, now) / options.grow_load.max(f64::MIN_POSITIVE);
        let most = f64::from(options.max_replicas.max(1));
        let grown = needed.ceil().clamp(1.0, most) as u32;
        let kept = (2.0 * needed + 1.0).floor().clamp(1.0, most) as u32;
        self.replicas.clamp(grown, kept.max(grown))
    }

    fn decayed(&self, options: &HeatOptions, now: Millis) -> f64 {
        let span = now.since(self.updated).0 as f64;
        let half_lives = span / options.half_life.0.max(1) as f64;
        self.sum_ms * (-half_lives).exp2()
    }
}
