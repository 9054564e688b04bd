//! First tokens of runs: what they tell of engines, cached parts and waits.

use flamingolock_wire::gossip::Run;

use super::Control;
use crate::clock::Millis;
use crate::control::fleet::{EndpointState, Wait};
use crate::endpoint::EndpointKey;

impl Control {
    pub(super) fn first_token(&mut self, endpoint: EndpointKey, number: u64, now: Millis) {
        let Some(state) = self.fleet.get_mut(&endpoint) else {
            return;
        };
        state.reachability.answered(now);
        if let Some(first) = state.first_token((self.incarnation, number), now) {
            self.parts
                .mark_cached(endpoint, &first.parts, first.is_stored, now);
            self.engine_serves(endpoint, first.loaded_ms, now);
            if let Some(wait) = &first.wait {
                self.record_wait(endpoint, wait);
            }
            self.queue_run_update(
                Run {
                    number,
                    endpoint,
                    step: 1,
                    ..Run::default()
                },
                now,
            );
        }
    }

    /// Handles the first token of a request that was sent `loaded_ms` after the engine began
    /// to load weights, if it is the first one since.
    pub(super) fn engine_serves(
        &mut self,
        endpoint: EndpointKey,
        loaded_ms: Option<Millis>,
        now: Millis,
    ) {
        let Some(took) = loaded_ms else {
            return;
        };
        if self.lease.held_by_me() {
            self.rollout.load_done(&mut self.fleet, endpoint, took, now);
        } else if let Some(state) = self.fleet.get_mut(&endpoint) {
            state.load_done(now);
        }
    }

    /// Compares the expected wait of a run of this node with the actual one.
    fn record_wait(&mut self, endpoint: EndpointKey, wait: &Wait) {
        let Some(state) = self.fleet.get(&endpoint) else {
            return;
        };
        let engine = &state.endpoint;
        let (priority, expected_ms, actual_ms) = (wait.priority, wait.expected_ms, wait.actual_ms);
        log::info!(request = &*wait.request, endpoint = &*engine.id, service = &*engine.service, priority,
            expected_ms = expected_ms as i64, actual_ms, ahead = wait.ahead, slowdown = state.slowdown();
            "first token of a request");
        let actual_ms = actual_ms as f64;
        let service = &engine.service;
        let error = self
            .wait_errors
            .record(service, priority, expected_ms, actual_ms);
        self.metrics
            .record_wait(service, priority, (expected_ms, actual_ms), &error);
    }

    /// Factor by which an engine's prefill is slower than the assumed rate, as learned from
    /// first tokens.
    pub fn slowdown_of(&self, endpoint: EndpointKey) -> Option<f64> {
        self.fleet.get(&endpoint).map(EndpointState::slowdown)
    }

    /// Records the version of a model's weights that an engine stated.
    pub(super) fn weights_stated(
        &mut self,
        engine: EndpointKey,
        model: Option<String>,
        version: Option<u64>,
    ) {
        if let (Some(state), Some(version), Some(model)) =
            (self.fleet.get_mut(&engine), version, model)
            && state.update_weights(&model, version)
        {
            self.parts.remove_engine(engine);
        }
    }
}
