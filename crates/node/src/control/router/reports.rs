//! Load digests of homes, and reports of the permits in use to homes.

use super::Router;
use crate::control::admission::Stage;
use crate::control::context::Context;
use crate::control::engines::EngineStatus;
use crate::control::messages::{self, RequestNumber};
use flamingolock_core::home_message::Input;
use flamingolock_core::permit::LivePermit;
use flamingolock_core::prelude::*;
use std::collections::BTreeSet;

impl Router {
    /// Creates the new home of an engine if it is on this node and the engine's status is
    /// known, and reports the permits that this node holds on the engine to the new home.
    pub(super) fn set_up_new_home(&mut self, ctx: &mut Context<'_>, engine: &EngineId) {
        if self.homes.is_local(engine) {
            let load = self
                .engines
                .get(engine)
                .and_then(|engine| engine.status.as_ref());
            if let Some(load) = load.map(EngineStatus::load) {
                let outputs = self.homes.update_load(engine, load, ctx.now);
                self.dispatch(ctx, outputs);
            }
        }
        self.report_permits(ctx, engine);
    }

    /// Repeats at the new homes the permit requests that the old homes of these engines
    /// have not answered.
    pub(super) fn reissue_permit_requests(&mut self, ctx: &mut Context<'_>, moved: &[EngineId]) {
        let again: Vec<(RequestNumber, EngineId)> = self
            .waiting
            .values()
            .filter_map(|waiting| match &waiting.stage {
                Stage::AwaitingPermit { engine, .. } if moved.contains(engine) => {
                    Some((waiting.request_number, engine.clone()))
                }
                _ => None,
            })
            .collect();
        for (request_number, engine) in again {
            self.request_permit(ctx, request_number, &engine);
        }
    }

    pub(super) fn broadcast_digests(&mut self, ctx: &mut Context<'_>) {
        let digests = self.homes.digests(ctx.now);
        if digests.is_empty() {
            return;
        }
        let payload = messages::digests(&digests);
        for node in self.homes.nodes() {
            if *node != self.local_entry.instance {
                ctx.send(node, payload.clone());
            }
        }
        for digest in digests {
            self.engines.record_digest(digest);
        }
    }

    /// Reports the permits in use to their homes, so that these notice releases that were
    /// lost. An engine is reported once more after its last permit has been released.
    pub(super) fn report_all_permits(&mut self, ctx: &mut Context<'_>) {
        let mut engines: BTreeSet<EngineId> = self
            .held_permits
            .keys()
            .map(|(engine, _)| engine.clone())
            .collect();
        let last = std::mem::replace(&mut self.reported_engines, engines.clone());
        engines.extend(last);
        for engine in &engines {
            self.report_permits(ctx, engine);
        }
    }

    pub(super) fn report_permits(&mut self, ctx: &mut Context<'_>, engine: &EngineId) {
        let live: Vec<(RequestNumber, LivePermit)> = self
            .held_permits
            .iter()
            .filter(|((name, _), _)| name == engine)
            .map(|((_, permit), held)| {
                let request = held.request_number.request_id(&self.local_entry.instance);
                let live = LivePermit {
                    permit: *permit,
                    request,
                    incarnation: held.incarnation,
                };
                (held.request_number, live)
            })
            .collect();
        let home = self.homes.home_of(engine);
        if home != self.local_entry.instance {
            ctx.send(&home, messages::permits_live(engine, &live));
            return;
        }
        let permits = live.into_iter().map(|(_, live)| live).collect();
        let input = Input::Rebuild {
            entry: self.local_entry.clone(),
            permits,
        };
        let outputs = self.homes.step(engine, input, ctx.now);
        self.dispatch(ctx, outputs);
    }
}
