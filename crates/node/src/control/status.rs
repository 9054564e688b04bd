//! Publishes the state of the engines for operators (`GET /status`).

use std::sync::Arc;

use flamingolock_core::prelude::*;

use super::{ControlLoop, now};
use crate::control::engines::Engine;
use crate::status::EngineView;

/// Minimum interval between two publications.
const STATUS_MS: Millis = Millis(1_000);

impl ControlLoop {
    /// Publishes the state of all engines, at most once per `STATUS_MS`.
    pub(super) fn publish_status(&mut self) {
        let now = now();
        if now.since(self.last_status_at) < STATUS_MS {
            return;
        }
        self.last_status_at = now;
        let engines = self
            .controllers
            .router
            .engines
            .iter()
            .map(|(name, engine)| engine_view(name, engine, self.controllers.router.home_of(name)))
            .collect();
        let engines = Arc::new(engines);
        self.step(|_, ctx| ctx.publish(|view| view.engines = engines));
    }
}

fn engine_view(name: &EngineId, engine: &Engine, home: InstanceId) -> EngineView {
    let status = engine.status.clone();
    let answering = status.is_some();
    let status = status.unwrap_or_default();
    EngineView {
        name: name.clone(),
        address: engine.address,
        zone: engine.zone.clone(),
        answering,
        leaving: engine.leaving,
        incarnation: status.incarnation,
        model: status.model,
        weights: status.weights,
        adapters: status.adapters,
        role: status.role,
        running: status.running,
        waiting: status.waiting,
        slots: status.slots,
        inflight: engine.inflight,
        home,
    }
}
