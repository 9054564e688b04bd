//! Conversions between the inputs and outputs of homes and the messages that carry them
//! between entry nodes and home nodes.

use flamingolock_core::digest::EngineDigest;
use flamingolock_core::home_message::{Output, PermitRequest, ProbeAnswer, Prompt, RefusalReason};
use flamingolock_core::levels::Level;
use flamingolock_core::permit::{EntryRef, LivePermit, PermitId, PrefillStats};
use flamingolock_core::prelude::*;
use flamingolock_wire::message::{self as wire, Payload};

/// Value of `expected_ms` that marks an engine which accepts no requests.
const UNAVAILABLE_MS: u32 = u32::MAX;

/// Number of a request at its entry node, sent in place of the longer request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u32);

impl RequestNumber {
    /// Returns the id of the request at home nodes.
    pub fn request_id(self, entry: &InstanceId) -> RequestId {
        RequestId::from(format!("{entry}/{}", self.0))
    }

    /// Parses the number from an id made by [`RequestNumber::request_id`].
    pub fn from_request_id(request: &RequestId) -> Option<Self> {
        let (_, number) = request.as_str().rsplit_once('/')?;
        number.parse().ok().map(RequestNumber)
    }
}

fn lengths(prompt: &Prompt) -> Vec<u32> {
    prompt.levels.iter().map(|level| level.blocks).collect()
}

fn hashes(prompt: &Prompt) -> Vec<u64> {
    prompt.levels.iter().map(|level| level.hash.0).collect()
}

fn prompt(lengths: &[u32], hashes: &[u64], tokens: u32) -> Prompt {
    let levels = lengths
        .iter()
        .zip(hashes)
        .map(|(&blocks, &hash)| Level {
            blocks,
            hash: BlockHash(hash),
        })
        .collect();
    Prompt { levels, tokens }
}

/// Bits of a probe's number that hold the index of the probe within its request.
const PROBE_INDEX_BITS: u32 = 2;

/// Largest number of a request; numbers wrap around after it.
pub const MAX_REQUEST_NUMBER: u32 = u32::MAX >> PROBE_INDEX_BITS;

/// Returns the number of the probe at `index` of a request.
pub fn probe_id(request_number: RequestNumber, index: usize) -> u32 {
    (request_number.0 << PROBE_INDEX_BITS) | (index as u32 & ((1 << PROBE_INDEX_BITS) - 1))
}

/// Splits a number made by [`probe_id`] into the request and the index of the probe.
pub fn read_probe_id(id: u32) -> (RequestNumber, usize) {
    (
        RequestNumber(id >> PROBE_INDEX_BITS),
        (id & ((1 << PROBE_INDEX_BITS) - 1)) as usize,
    )
}

/// Returns the message that probes `engine`, as the probe at `index` of the request.
pub fn probe(
    request_number: RequestNumber,
    index: usize,
    engine: &EngineId,
    ask: &PermitRequest,
) -> wire::Probe {
    wire::Probe {
        id: probe_id(request_number, index),
        engine: engine.to_string(),
        workspace: ask.workspace.to_string(),
        priority: u32::from(ask.priority),
        tokens: ask.prompt.tokens,
        blocks: hashes(&ask.prompt),
        lengths: lengths(&ask.prompt),
        cost: ask.answer_tokens,
    }
}

/// Reads a probe from its message. `weight` is the workspace's weight in the manifest.
pub fn probe_ask(from: &EntryRef, probe: &wire::Probe, weight: f64) -> PermitRequest {
    PermitRequest {
        entry: from.clone(),
        id: read_probe_id(probe.id).0.request_id(&from.instance),
        workspace: WorkspaceId::from(probe.workspace.as_str()),
        weight,
        priority: u8::try_from(probe.priority).unwrap_or(u8::MAX),
        prompt: prompt(&probe.lengths, &probe.blocks, probe.tokens),
        answer_tokens: probe.cost,
        within: Millis(u64::from(u32::MAX)),
    }
}

/// Returns the message that answers the probe with number `id`.
pub fn probe_answer(id: u32, answer: ProbeAnswer) -> wire::ProbeAnswer {
    let expected_ms = if answer.available {
        answer.expected_ms
    } else {
        UNAVAILABLE_MS
    };
    wire::ProbeAnswer {
        id,
        wait_ms: answer.wait_ms,
        missing_tokens: answer.missing_tokens,
        expected_ms,
        incarnation: 0,
    }
}

/// Reads a probe's answer from its message.
pub fn read_probe_answer(answer: &wire::ProbeAnswer) -> ProbeAnswer {
    ProbeAnswer {
        available: answer.expected_ms != UNAVAILABLE_MS,
        wait_ms: answer.wait_ms,
        missing_tokens: answer.missing_tokens,
        expected_ms: answer.expected_ms,
    }
}

/// Returns the message that requests a permit.
pub fn permit_ask(
    request_number: RequestNumber,
    engine: &EngineId,
    incarnation: Incarnation,
    ask: &PermitRequest,
) -> Payload {
    Payload::PermitRequest(wire::PermitRequest {
        request: request_number.0.to_string(),
        engine: engine.to_string(),
        engine_incarnation: incarnation.0,
        workspace: ask.workspace.to_string(),
        weight: ask.weight,
        priority: u32::from(ask.priority),
        prompt_tokens: ask.prompt.tokens,
        blocks: hashes(&ask.prompt),
        answer_tokens: ask.answer_tokens,
        deadline_ms: ask.within.0,
        lengths: lengths(&ask.prompt),
    })
}

/// Reads a permit request from its message; `None` if its number cannot be parsed.
pub fn read_permit_ask(from: &EntryRef, ask: &wire::PermitRequest) -> Option<PermitRequest> {
    let request_number = RequestNumber(ask.request.parse().ok()?);
    Some(PermitRequest {
        entry: from.clone(),
        id: request_number.request_id(&from.instance),
        workspace: WorkspaceId::from(ask.workspace.as_str()),
        weight: ask.weight,
        priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
        prompt: prompt(&ask.lengths, &ask.blocks, ask.prompt_tokens),
        answer_tokens: ask.answer_tokens,
        within: Millis(ask.deadline_ms),
    })
}

/// Returns the message for a home's grant or refusal, and the node to send it to; `None`
/// for the answer to a probe or if the request id cannot be parsed.
pub fn home_output_message(engine: &EngineId, output: &Output) -> Option<(InstanceId, Payload)> {
    match output {
        // The answers to a batch of probes are sent together, by probe number.
        Output::Probe { .. } => None,
        Output::Grant(grant) => {
            let message = wire::PermitGrant {
                request: RequestNumber::from_request_id(&grant.request)?
                    .0
                    .to_string(),
                permit: grant.permit.0,
                cached_tokens: grant.cached_tokens,
                engine_incarnation: grant.incarnation.0,
                engine: engine.to_string(),
            };
            Some((grant.entry.instance.clone(), Payload::PermitGrant(message)))
        }
        Output::Refuse(refusal) => {
            let message = wire::PermitRefuse {
                request: RequestNumber::from_request_id(&refusal.request)?
                    .0
                    .to_string(),
                reason: refuse_reason(refusal.reason) as i32,
                retry_after_ms: refusal.retry_after.0,
                engine: engine.to_string(),
            };
            Some((
                refusal.entry.instance.clone(),
                Payload::PermitRefuse(message),
            ))
        }
    }
}

fn refuse_reason(reason: RefusalReason) -> wire::RefusalReason {
    match reason {
        RefusalReason::Deadline => wire::RefusalReason::Deadline,
        RefusalReason::Full => wire::RefusalReason::QueueFull,
        RefusalReason::Leaving | RefusalReason::Gone => wire::RefusalReason::EngineGone,
        RefusalReason::Duplicate | RefusalReason::OldEntry => wire::RefusalReason::Unspecified,
    }
}

/// Reads the reason of a refusal from its message.
pub fn read_reason(reason: i32) -> RefusalReason {
    match wire::RefusalReason::try_from(reason) {
        Ok(wire::RefusalReason::Deadline) => RefusalReason::Deadline,
        Ok(wire::RefusalReason::QueueFull | wire::RefusalReason::WorkspaceLimit) => {
            RefusalReason::Full
        }
        Ok(wire::RefusalReason::Unspecified) => RefusalReason::Duplicate,
        Ok(
            wire::RefusalReason::NotHome
            | wire::RefusalReason::EngineRestarted
            | wire::RefusalReason::EngineGone,
        )
        | Err(_) => RefusalReason::Gone,
    }
}

/// Returns the message that reports the permits in use on `engine`.
pub fn permits_live(engine: &EngineId, permits: &[(RequestNumber, LivePermit)]) -> Payload {
    let permits = permits
        .iter()
        .map(|(request_number, live)| wire::LivePermit {
            request: request_number.0.to_string(),
            permit: live.permit.0,
            engine_incarnation: live.incarnation.0,
            ..wire::LivePermit::default()
        })
        .collect();
    Payload::LivePermits(wire::LivePermits {
        engine: engine.to_string(),
        permits,
    })
}

/// Reads the permits from a report; those whose number cannot be parsed are left out.
pub fn read_permits_live(from: &EntryRef, report: &wire::LivePermits) -> Vec<LivePermit> {
    report
        .permits
        .iter()
        .filter_map(|live| {
            Some(LivePermit {
                permit: PermitId(live.permit),
                request: RequestNumber(live.request.parse().ok()?).request_id(&from.instance),
                incarnation: Incarnation(live.engine_incarnation),
            })
        })
        .collect()
}

/// Returns the message that reports a first token.
pub fn permit_first(engine: &EngineId, permit: PermitId, observed: PrefillStats) -> Payload {
    Payload::PermitFirstToken(wire::PermitFirstToken {
        permit: permit.0,
        engine: engine.to_string(),
        prompt_tokens: observed.prompt_tokens,
        cached_tokens: observed.cached_tokens,
        first_token_ms: u32::try_from(observed.first_token.0).unwrap_or(u32::MAX),
    })
}

/// Reads the observations at a first token from their message.
pub fn read_observed(first: &wire::PermitFirstToken) -> PrefillStats {
    PrefillStats {
        prompt_tokens: first.prompt_tokens,
        cached_tokens: first.cached_tokens,
        first_token: Millis(u64::from(first.first_token_ms)),
    }
}

/// Returns the message that carries load digests.
pub fn digests(digests: &[EngineDigest]) -> Payload {
    let engines = digests
        .iter()
        .map(|digest| wire::EngineLoad {
            engine: digest.engine.to_string(),
            incarnation: digest.incarnation.0,
            wait_ms: digest.wait_ms,
            prefill_tokens_per_s: digest.prefill_rate as u32,
            serving: digest.serving,
            free: digest.free_slots,
            ..wire::EngineLoad::default()
        })
        .collect();
    Payload::EngineDigest(wire::EngineDigest { engines })
}

/// Reads the digests from a message that arrived at `now`.
pub fn read_digests(message: &wire::EngineDigest, now: Millis) -> Vec<EngineDigest> {
    message
        .engines
        .iter()
        .map(|load| EngineDigest {
            engine: EngineId::from(load.engine.as_str()),
            incarnation: Incarnation(load.incarnation),
            serving: load.serving,
            wait_ms: load.wait_ms,
            prefill_rate: load.prefill_tokens_per_s as f32,
            free_slots: load.free,
            made_at: now,
        })
        .collect()
}
