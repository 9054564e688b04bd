//! Memory of engines as a limit of placement, where the settings ask for it.

use rand::Rng;

use super::{Control, QueuedRequest};
use crate::catalog::ServiceKind;
use crate::clock::Millis;
use crate::control::fleet::EndpointState;
use crate::control::{PlacementRequest, Refusal};

/// Time until an engine releases memory if none of its run times is known, in ms.
const DEFAULT_RUN_MS: f64 = 1_000.0;

/// Tokens that a request takes in the memory of an engine. Parts that the engine may already
/// hold count fully, as it is not certain that it still does.
fn tokens_of(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + u64::from(request.output_tokens)
}

/// The shorter of a time and the time after which another engine releases memory, in ms.
pub(super) fn shorter(known_ms: Option<Millis>, mean_run_ms: Option<f64>) -> Millis {
    let other = mean_run_ms.unwrap_or(DEFAULT_RUN_MS).max(1.0) as Millis;
    known_ms.map_or(other, |known| known.min(other))
}

/// Refusal of a request for which no engine has memory. Callers are spread over as long again
/// as the first release takes.
pub(super) fn memory_refusal(release_ms: Option<Millis>, now: Millis) -> Refusal {
    let first = release_ms.unwrap_or(1);
    let until = now + rand::rng().random_range(first..=2 * first);
    Refusal::NoMemory { until }
}

/// Time until which a refused request waits: for memory, at most for its target.
pub(super) fn wait_end(refusal: Refusal, queued: &QueuedRequest) -> Millis {
    if !matches!(refusal, Refusal::NoMemory { .. }) {
        return queued.deadline;
    }
    let target_ms = queued.request.target.as_millis() as Millis;
    queued.deadline.min(queued.asked_at + target_ms)
}

impl Control {
    /// Refuses a request that exceeds the memory of all engines of its service.
    pub(super) fn check_engine_size(&self, request: &PlacementRequest) -> Result<(), Refusal> {
        if !self.settings.bounds_engine_memory {
            return Ok(());
        }
        let service = self.service(&request.service);
        let Some(ServiceKind::Engines(traits)) = service.map(|service| service.kind) else {
            return Ok(());
        };
        let tokens = tokens_of(request);
        if traits.memory_tokens == 0 || tokens <= traits.memory_tokens {
            return Ok(());
        }
        log::info!(request = &*request.id, service = &*request.service, tokens,
            capacity = traits.memory_tokens; "request exceeds the memory of all engines");
        Err(Refusal::ExceedsMemory)
    }

    /// True if an endpoint has memory for a request beside all runs that this node knows.
    pub(super) fn has_engine_memory(
        &self,
        state: &EndpointState,
        kind: &ServiceKind,
        request: &PlacementRequest,
    ) -> bool {
        if !self.settings.bounds_engine_memory {
            return true;
        }
        let ServiceKind::Engines(traits) = kind else {
            return true;
        };
        let (known, tokens) = (state.max_memory_tokens(), tokens_of(request));
        let has_room = traits.memory_tokens == 0 || known + tokens <= traits.memory_tokens;
        if !has_room {
            log::debug!(request = &*request.id, endpoint = &*state.endpoint.id, tokens, known,
                capacity = traits.memory_tokens; "engine has no memory for request");
        }
        has_room
    }
}
