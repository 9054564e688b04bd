//! Messages from the routers of other nodes.

use super::{HomeReply, Router};
use crate::control::context::Context;
use crate::control::messages::{self, RequestNumber};
use flamingolock_core::home_message::{Input, Output};
use flamingolock_core::permit::{EntryRef, PermitId};
use flamingolock_core::prelude::*;
use flamingolock_wire::message::{self as wire, Payload};

impl Router {
    /// Handles a message about probes, permits or digests from another node.
    pub fn handle_peer_message(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        payload: &Payload,
    ) {
        match payload {
            Payload::ProbeBatch(batch) => self.answer_probes(ctx, from, batch),
            Payload::PermitRequest(ask) => self.handle_permit_ask(ctx, from, ask),
            Payload::PermitCancel(cancel) => {
                if let Ok(number) = cancel.request.parse() {
                    let request = RequestNumber(number).request_id(&from.instance);
                    let input = Input::Cancel {
                        entry: from.clone(),
                        request,
                    };
                    self.step_home(ctx, &cancel.engine, input);
                }
            }
            Payload::PermitRelease(release) => {
                let permit = PermitId(release.permit);
                let input = Input::Release {
                    permit,
                    observed: None,
                };
                self.step_home(ctx, &release.engine, input);
            }
            Payload::PermitFirstToken(first) => {
                let permit = PermitId(first.permit);
                let observed = messages::read_observed(first);
                self.step_home(ctx, &first.engine, Input::FirstToken { permit, observed });
            }
            Payload::LivePermits(report) => {
                let permits = messages::read_permits_live(from, report);
                let input = Input::Rebuild {
                    entry: from.clone(),
                    permits,
                };
                self.step_home(ctx, &report.engine, input);
            }
            Payload::EngineDigest(message) => {
                for digest in messages::read_digests(message, ctx.now) {
                    self.engines.record_digest(digest);
                }
            }
            _ => self.handle_home_reply(ctx, from, payload),
        }
        self.process_home_replies(ctx);
    }

    pub(super) fn answer_probes(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        batch: &wire::ProbeBatch,
    ) {
        let view = ctx.view.load();
        let mut answers = Vec::with_capacity(batch.probes.len());
        for probe in &batch.probes {
            let workspace = view.manifest.workspaces.get(probe.workspace.as_str());
            let weight = workspace.map_or(1.0, |workspace| workspace.weight);
            let ask = messages::probe_ask(from, probe, weight);
            let engine = EngineId::from(probe.engine.as_str());
            for (engine, output) in self.homes.step(&engine, Input::Probe(ask), ctx.now) {
                match output {
                    Output::Probe { answer, .. } => {
                        answers.push(messages::probe_answer(probe.id, answer));
                    }
                    other => self.dispatch(ctx, vec![(engine, other)]),
                }
            }
        }
        if !answers.is_empty() {
            let answers = wire::ProbeAnswers { answers };
            ctx.send(&from.instance, Payload::ProbeAnswers(answers));
        }
    }

    pub(super) fn step_home(&mut self, ctx: &mut Context<'_>, engine: &str, input: Input) {
        let outputs = self.homes.step(&EngineId::from(engine), input, ctx.now);
        self.dispatch(ctx, outputs);
    }

    pub(super) fn handle_permit_ask(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        message: &wire::PermitRequest,
    ) {
        let Some(ask) = messages::read_permit_ask(from, message) else {
            return;
        };
        let engine = EngineId::from(message.engine.as_str());
        if self.homes.get(&engine).is_none() {
            let refusal = wire::PermitRefuse {
                request: message.request.clone(),
                reason: wire::RefusalReason::NotHome as i32,
                retry_after_ms: 0,
                engine: message.engine.clone(),
            };
            ctx.send(&from.instance, Payload::PermitRefuse(refusal));
            return;
        }
        let queued = wire::PermitQueued {
            request: message.request.clone(),
        };
        ctx.send(&from.instance, Payload::PermitQueued(queued));
        let outputs = self.homes.step(&engine, Input::PermitRequest(ask), ctx.now);
        self.dispatch(ctx, outputs);
    }

    pub(super) fn handle_home_reply(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        payload: &Payload,
    ) {
        match payload {
            Payload::ProbeAnswers(answers) => {
                for answer in &answers.answers {
                    let (request_number, index) = messages::read_probe_id(answer.id);
                    let waiting = self.waiting.get(&request_number);
                    let Some(engine) = waiting.and_then(|waiting| waiting.probed.get(index)) else {
                        continue;
                    };
                    self.home_replies.push_back(HomeReply::ProbeAnswer {
                        request_number,
                        engine: engine.clone(),
                        answer: messages::read_probe_answer(answer),
                    });
                }
            }
            Payload::PermitQueued(queued) => {
                if let Ok(number) = queued.request.parse() {
                    let from = from.instance.clone();
                    self.home_replies.push_back(HomeReply::Queued {
                        request_number: RequestNumber(number),
                        from,
                    });
                }
            }
            Payload::PermitGrant(grant) => {
                let engine = EngineId::from(grant.engine.as_str());
                let permit = PermitId(grant.permit);
                match grant.request.parse() {
                    Ok(number) => self.home_replies.push_back(HomeReply::Grant {
                        request_number: RequestNumber(number),
                        engine,
                        permit,
                        incarnation: Incarnation(grant.engine_incarnation),
                    }),
                    Err(_) => self.release_at_home(ctx, &engine, permit, false),
                }
            }
            Payload::PermitRefuse(refusal) => {
                let Ok(number) = refusal.request.parse() else {
                    return;
                };
                let request_number = RequestNumber(number);
                let engine = EngineId::from(refusal.engine.as_str());
                // The other node assigns homes by an older or newer list of nodes.
                if refusal.reason() == wire::RefusalReason::NotHome {
                    self.home_replies.push_back(HomeReply::NotHome {
                        request_number,
                        engine,
                    });
                    return;
                }
                self.home_replies.push_back(HomeReply::Refuse {
                    request_number,
                    engine,
                    reason: messages::read_reason(refusal.reason),
                    retry_after: Millis(refusal.retry_after_ms),
                });
            }
            _ => {}
        }
    }
}
