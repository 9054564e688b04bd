//! Rounds of selecting an engine for a request, until it is granted or refused.

use super::{HeldPermit, NO_ENGINE_RETRY_AFTER, PROBES_PER_ROUND, Router};
use crate::control::admission::{MAX_ROUNDS, Stage, WaitingRequest};
use crate::control::context::Context;
use crate::control::messages::{self, RequestNumber};
use crate::control::permit::{Admission, Permit, Refusal, RouteRequest};
use crate::settings::Mechanism;
use flamingolock_core::choice::{self, Choice};
use flamingolock_core::home_message::{Input, ProbeAnswer, RefusalReason};
use flamingolock_core::permit::PermitId;
use flamingolock_core::prefix_tree::HeatLevel;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use flamingolock_core::reserve::Reserve;
use flamingolock_core::shortlist::{self, Candidate};
use flamingolock_wire::message::{self as wire, Payload};
use serde_json::json;
use std::collections::BTreeMap;

impl Router {
    pub(super) fn candidates(
        &mut self,
        route_request: &RouteRequest,
        heat: &[HeatLevel],
        price: f64,
        now: Millis,
    ) -> Vec<Candidate> {
        let mut levels = heat.to_vec();
        if !self.routing.uses(Mechanism::Replicas) {
            for level in &mut levels {
                level.replicas = level.replicas.min(1);
            }
        }
        let tokens = route_request
            .prompt
            .len()
            .div_ceil(flamingolock_core::prefix::BYTES_PER_TOKEN) as u32;
        let seed = rendezvous::key(route_request.request.as_str()) ^ now.0;
        let fleet = self.engines.fleet(&route_request.model, now);
        let wanted = PROBES_PER_ROUND + route_request.avoid.len();
        let found = shortlist::shortlist(fleet, tokens, &levels, price, wanted, seed, now);
        let mut found = shortlist::without_failed(found, &route_request.avoid);
        found.truncate(PROBES_PER_ROUND);
        found
    }

    /// Probes the candidates of a round. Chooses an engine at once if probes are disabled
    /// or there are no candidates.
    pub(super) fn begin_round(&mut self, ctx: &mut Context<'_>, request_number: RequestNumber) {
        if !self.routing.uses(Mechanism::Probes) {
            self.choose_engine(ctx, request_number);
            return;
        }
        let Some(mut waiting) = self.waiting.remove(&request_number) else {
            return;
        };
        let engines: Vec<EngineId> = waiting
            .candidates
            .iter()
            .map(|candidate| candidate.engine.clone())
            .collect();
        let mut remote: BTreeMap<InstanceId, Vec<wire::Probe>> = BTreeMap::new();
        waiting.probed.clone_from(&engines);
        for (index, engine) in engines.iter().enumerate() {
            let weights = self.weights_of(engine);
            let ask = waiting.permit_request(&self.local_entry, &weights, ctx.now);
            let home = self.homes.home_of(engine);
            if home == self.local_entry.instance {
                let outputs = self.homes.step(engine, Input::Probe(ask), ctx.now);
                self.dispatch(ctx, outputs);
            } else {
                remote.entry(home).or_default().push(messages::probe(
                    request_number,
                    index,
                    engine,
                    &ask,
                ));
            }
        }
        self.waiting.insert(request_number, waiting);
        for (home, probes) in remote {
            ctx.send(&home, Payload::ProbeBatch(wire::ProbeBatch { probes }));
        }
        if engines.is_empty() {
            self.choose_engine(ctx, request_number);
        }
    }

    pub(super) fn weights_of(&self, engine: &EngineId) -> WeightsVersion {
        let status = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        status
            .map(|status| status.weights.clone())
            .unwrap_or_default()
    }

    pub(super) fn choose_engine(&mut self, ctx: &mut Context<'_>, request_number: RequestNumber) {
        let Some(waiting) = self.waiting.get_mut(&request_number) else {
            return;
        };
        let answers = &waiting.answers;
        let answer = |engine: &EngineId| answers.get(engine).copied();
        let Some(choice) = choice::choose(&waiting.candidates, answer, waiting.price) else {
            self.refuse(ctx, request_number, "no_engine", NO_ENGINE_RETRY_AFTER);
            return;
        };
        let Choice {
            engine, candidates, ..
        } = choice;
        waiting.scored = candidates;
        waiting.rounds += 1;
        if self.routing.uses(Mechanism::Permits) {
            self.request_permit(ctx, request_number, &engine);
        } else {
            self.grant(
                ctx,
                request_number,
                &engine,
                PermitId(0),
                false,
                "without permits",
            );
        }
    }

    pub(super) fn request_permit(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: &EngineId,
    ) {
        let home = self.homes.home_of(engine);
        let weights = self.weights_of(engine);
        let status = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        let incarnation = status.map(|status| status.incarnation).unwrap_or_default();
        let local = home == self.local_entry.instance;
        let home_timeout_at = (!local).then(|| ctx.now + Millis(self.timing.home_ms));
        let Some(waiting) = self.waiting.get_mut(&request_number) else {
            return;
        };
        let ask = waiting.permit_request(&self.local_entry, &weights, ctx.now);
        waiting.stage = Stage::AwaitingPermit {
            engine: engine.clone(),
            home: home.clone(),
            home_timeout_at,
        };
        if local {
            if self.homes.get(engine).is_none() {
                self.grant_from_reserve(ctx, request_number, engine);
                return;
            }
            let outputs = self.homes.step(engine, Input::PermitRequest(ask), ctx.now);
            self.dispatch(ctx, outputs);
        } else {
            ctx.send(
                &home,
                messages::permit_ask(request_number, engine, incarnation, &ask),
            );
        }
    }

    /// Grants a permit from this node's reserve when the home is unresponsive, is not on
    /// the node that was asked or has not been created yet. The size of the reserve bounds
    /// the load that this adds to the engine.
    pub(super) fn grant_from_reserve(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: &EngineId,
    ) {
        self.cancel_permit_request(ctx, request_number);
        let Some(status) = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.clone())
        else {
            self.next_round(
                ctx,
                request_number,
                engine,
                "no_engine",
                NO_ENGINE_RETRY_AFTER,
            );
            return;
        };
        let size = Reserve::permits_per_node(status.slots, self.homes.nodes().len() as u32);
        let request = request_number.request_id(&self.local_entry.instance);
        match self
            .reserve
            .take(engine, status.incarnation, size, &request)
        {
            Some(live) => {
                self.grant(
                    ctx,
                    request_number,
                    engine,
                    live.permit,
                    true,
                    "home silent, reserve",
                );
            }
            None => self.next_round(ctx, request_number, engine, "reserve_full", Millis(200)),
        }
    }

    /// Requests a permit for the next best engine, or refuses after [`MAX_ROUNDS`].
    pub(super) fn next_round(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        failed: &EngineId,
        code: &'static str,
        retry_after: Millis,
    ) {
        let Some(waiting) = self.waiting.get_mut(&request_number) else {
            return;
        };
        waiting.scored.retain(|scored| scored.engine != *failed);
        waiting
            .candidates
            .retain(|candidate| candidate.engine != *failed);
        waiting.rounds += 1;
        if waiting.rounds >= MAX_ROUNDS {
            self.refuse(ctx, request_number, code, retry_after);
            return;
        }
        match waiting.scored.first().map(|scored| scored.engine.clone()) {
            Some(engine) => self.request_permit(ctx, request_number, &engine),
            None => self.restart_selection(ctx, request_number),
        }
    }

    /// Starts again with a new shortlist, since the known state of the engines has changed
    /// in the meantime.
    pub(super) fn restart_selection(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
    ) {
        let Some(mut waiting) = self.waiting.remove(&request_number) else {
            return;
        };
        let heat = waiting.heat.clone();
        waiting.candidates = self.candidates(&waiting.route_request, &heat, waiting.price, ctx.now);
        waiting.answers.clear();
        waiting.stage = Stage::Probing {
            until: ctx.now + Millis(self.timing.probe_ms),
        };
        self.waiting.insert(request_number, waiting);
        self.begin_round(ctx, request_number);
    }

    /// Withdraws the outstanding permit request, if any, from the home it was sent to.
    pub(super) fn cancel_permit_request(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
    ) {
        let Some(Stage::AwaitingPermit { engine, home, .. }) = self
            .waiting
            .get(&request_number)
            .map(|waiting| waiting.stage.clone())
        else {
            return;
        };
        if home == self.local_entry.instance {
            let request = request_number.request_id(&self.local_entry.instance);
            let input = Input::Cancel {
                entry: self.local_entry.clone(),
                request,
            };
            let outputs = self.homes.step(&engine, input, ctx.now);
            self.dispatch(ctx, outputs);
            return;
        }
        let cancel = wire::PermitCancel {
            request: request_number.0.to_string(),
            engine: engine.to_string(),
        };
        ctx.send(&home, Payload::PermitCancel(cancel));
    }

    pub(super) fn handle_probe_answer(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: EngineId,
        answer: ProbeAnswer,
    ) {
        let Some(waiting) = self.waiting.get_mut(&request_number) else {
            return;
        };
        waiting.answers.insert(engine, answer);
        let probing = matches!(waiting.stage, Stage::Probing { .. });
        if probing && waiting.is_answered() {
            self.choose_engine(ctx, request_number);
        }
    }

    pub(super) fn handle_queued(&mut self, request_number: RequestNumber, from: &InstanceId) {
        let Some(waiting) = self.waiting.get_mut(&request_number) else {
            return;
        };
        if let Stage::AwaitingPermit {
            home,
            home_timeout_at,
            ..
        } = &mut waiting.stage
            && home == from
        {
            *home_timeout_at = None;
        }
    }

    pub(super) fn handle_grant(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: &EngineId,
        permit: PermitId,
        incarnation: Incarnation,
    ) {
        let expected = self.awaits_permit_on(request_number, engine);
        let known = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        let current = known.is_none_or(|status| status.incarnation <= incarnation);
        if !expected || !current {
            self.release_at_home(ctx, engine, permit, false);
            if expected {
                self.next_round(ctx, request_number, engine, "engine_restarted", Millis(200));
            }
            return;
        }
        self.grant(
            ctx,
            request_number,
            engine,
            permit,
            false,
            "granted by home",
        );
    }

    pub(super) fn handle_refusal(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: &EngineId,
        reason: RefusalReason,
        retry_after: Millis,
    ) {
        let asked = self.awaits_permit_on(request_number, engine);
        if !asked {
            return;
        }
        match reason {
            RefusalReason::Deadline => self.refuse(ctx, request_number, "deadline", retry_after),
            RefusalReason::Full => {
                self.next_round(ctx, request_number, engine, "overloaded", retry_after);
            }
            RefusalReason::Leaving
            | RefusalReason::Gone
            | RefusalReason::Duplicate
            | RefusalReason::OldEntry => {
                self.next_round(
                    ctx,
                    request_number,
                    engine,
                    "no_engine",
                    NO_ENGINE_RETRY_AFTER,
                );
            }
        }
    }

    /// Returns true if the request waits for a permit on `engine`.
    pub(super) fn awaits_permit_on(
        &self,
        request_number: RequestNumber,
        engine: &EngineId,
    ) -> bool {
        self.waiting.get(&request_number).is_some_and(
            |waiting| matches!(&waiting.stage, Stage::AwaitingPermit { engine: asked, .. } if asked == engine),
        )
    }

    /// Returns a permit to the traffic thread and records the decision.
    pub(super) fn grant(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        engine: &EngineId,
        permit: PermitId,
        reserved: bool,
        reason: &str,
    ) {
        let Some(waiting) = self.remove_waiting(request_number) else {
            self.release_at_home(ctx, engine, permit, false);
            return;
        };
        waiting.prompts.dispatched(&mut self.prefix_tree, engine);
        let candidates = json!(waiting.scored);
        let request = &waiting.route_request.request;
        ctx.decisions.record(
            ctx.now,
            request,
            "route",
            engine.as_str(),
            reason,
            candidates,
        );
        let Some(granted) = self.build_permit(&waiting.route_request, engine, permit) else {
            self.release_at_home(ctx, engine, permit, false);
            let refusal = Refusal {
                code: "no_engine",
                retry_after: NO_ENGINE_RETRY_AFTER,
            };
            let _ = waiting.reply.send(Admission::Refused(refusal));
            return;
        };
        let held = HeldPermit {
            request_number,
            incarnation: granted.incarnation,
            reserved,
        };
        if permit != PermitId(0) {
            self.held_permits.insert((engine.clone(), permit), held);
        }
        // An undelivered permit is dropped, which releases it.
        let _ = waiting.reply.send(Admission::Granted(granted));
    }

    pub(super) fn build_permit(
        &mut self,
        route_request: &RouteRequest,
        name: &EngineId,
        permit: PermitId,
    ) -> Option<Permit> {
        let engine = self.engines.get_mut(name)?;
        let status = engine.status.as_ref()?;
        engine.inflight += 1;
        Some(Permit {
            engine: name.clone(),
            address: engine.address,
            incarnation: status.incarnation,
            weights: status.weights.clone(),
            seed: PrefixSeed::new(
                &route_request.workspace,
                &route_request.model,
                &status.weights,
                None,
            ),
            permit,
            events: self.events.clone(),
            failed: false,
        })
    }

    pub(super) fn refuse(
        &mut self,
        ctx: &mut Context<'_>,
        request_number: RequestNumber,
        code: &'static str,
        retry_after: Millis,
    ) {
        let Some(waiting) = self.remove_waiting(request_number) else {
            return;
        };
        let candidates = json!(waiting.scored);
        ctx.decisions.record(
            ctx.now,
            &waiting.route_request.request,
            "refuse",
            "",
            code,
            candidates,
        );
        let _ = waiting
            .reply
            .send(Admission::Refused(Refusal { code, retry_after }));
    }

    pub(super) fn remove_waiting(
        &mut self,
        request_number: RequestNumber,
    ) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&request_number)?;
        self.request_numbers.remove(&waiting.route_request.request);
        Some(waiting)
    }
}
