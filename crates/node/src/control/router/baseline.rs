//! Baseline routing policies, for comparison.

use super::{NO_ENGINE_RETRY_AFTER, Router};
use crate::control::context::Context;
use crate::control::permit::{Admission, AdmissionSender, Refusal, RouteRequest};
use crate::settings::Policy;
use flamingolock_core::permit::PermitId;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use serde_json::json;

impl Router {
    /// Routes a request by a baseline policy, without probes or permits from homes.
    pub(super) fn admit_baseline(
        &mut self,
        ctx: &mut Context<'_>,
        route_request: &RouteRequest,
        reply: AdmissionSender,
    ) {
        let fleet = self.engines.fleet(&route_request.model, ctx.now);
        let names: Vec<EngineId> = (0..fleet.len())
            .filter_map(|position| fleet.get(position))
            .map(|engine| engine.engine.clone())
            .filter(|engine| !route_request.avoid.contains(engine))
            .collect();
        let chosen = self.choose_baseline(route_request, &names);
        let granted =
            chosen.and_then(|engine| self.build_permit(route_request, &engine, PermitId(0)));
        let Some(permit) = granted else {
            let refusal = Refusal {
                code: "no_engine",
                retry_after: NO_ENGINE_RETRY_AFTER,
            };
            let _ = reply.send(Admission::Refused(refusal));
            return;
        };
        let chosen = permit.engine.as_str();
        ctx.decisions.record(
            ctx.now,
            &route_request.request,
            "route",
            chosen,
            "policy for comparison",
            json!(names),
        );
        let _ = reply.send(Admission::Granted(permit));
    }

    pub(super) fn choose_baseline(
        &mut self,
        route_request: &RouteRequest,
        names: &[EngineId],
    ) -> Option<EngineId> {
        if names.is_empty() {
            return None;
        }
        match self.routing.policy {
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                names.get(self.round_robin_count % names.len()).cloned()
            }
            Policy::LeastLoaded => names
                .iter()
                .min_by_key(|name| self.engines.get(name).map_or(0, |engine| engine.inflight))
                .cloned(),
            Policy::PrefixHash | Policy::Flamingolock => {
                let seed = PrefixSeed::new(
                    &route_request.workspace,
                    &route_request.model,
                    &WeightsVersion::default(),
                    None,
                );
                let chain = PrefixChain::new(seed, &route_request.prompt);
                // The first level that differs between requests of one workspace.
                let index = (chain.blocks.len() / 2).checked_sub(1)?;
                let key = chain.blocks[index].0;
                let best = rendezvous::top(key, names.iter().map(EngineId::as_str), 1);
                best.first().map(|name| EngineId::from(*name))
            }
        }
    }
}
