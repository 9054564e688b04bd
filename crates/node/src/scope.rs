//! Resources and outcome of a request in progress.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Instant;

use flamingolock_core::prelude::*;
use tokio::sync::OwnedSemaphorePermit;

use crate::api::{ApiError, CallOutcome, ErrorKind};
use crate::metrics::{Metrics, NO_KIND, RequestOutcome};

/// Error code of a request whose caller closed the connection.
pub const CALLER_LEFT: &str = "caller_left";

/// A request in progress; cheap to clone. Dropping the last clone counts the request
/// and releases its slot and the memory of its body.
#[derive(Clone, Debug)]
pub struct RequestScope(Arc<Inner>);

struct Inner {
    metrics: Arc<Metrics>,
    started: Instant,
    kind: OnceLock<KindName>,
    outcome: Mutex<RequestOutcome>,
    permits: Mutex<Vec<OwnedSemaphorePermit>>,
}

impl std::fmt::Debug for Inner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RequestScope")
            .field("kind", &self.kind)
            .field("end", &self.outcome)
            .finish_non_exhaustive()
    }
}

impl RequestScope {
    /// Creates the scope of a request that arrives now.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self(Arc::new(Inner {
            metrics,
            started: Instant::now(),
            kind: OnceLock::new(),
            // A handler that is dropped without an outcome has lost its caller.
            outcome: Mutex::new(RequestOutcome::CallerLeft),
            permits: Mutex::default(),
        }))
    }

    /// Sets the request kind, once it is known to exist.
    pub fn set_kind(&self, kind: &KindName) {
        let _ = self.0.kind.set(kind.clone());
    }

    /// Holds `permit` until the request ends.
    pub fn hold(&self, permit: OwnedSemaphorePermit) {
        let mut permits = self
            .0
            .permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let same = permits
            .iter_mut()
            .find(|kept| Arc::ptr_eq(kept.semaphore(), permit.semaphore()));
        match same {
            // A body that arrives in small chunks must not grow the list.
            Some(kept) => kept.merge(permit),
            None => permits.push(permit),
        }
    }

    /// Records that the response is complete.
    pub fn answered(&self) {
        self.set_outcome(RequestOutcome::Answered);
    }

    /// Records the error that ends the request.
    pub fn failed(&self, error: &ApiError) {
        let outcome = match (error.outcome, error.kind) {
            _ if error.code == CALLER_LEFT => RequestOutcome::CallerLeft,
            (Some(CallOutcome::NotRun), _) => RequestOutcome::NotRun,
            (Some(CallOutcome::Unknown), _) => RequestOutcome::Unknown,
            (_, ErrorKind::Upstream) => RequestOutcome::Failed,
            _ => RequestOutcome::Refused,
        };
        self.set_outcome(outcome);
        if outcome != RequestOutcome::CallerLeft {
            self.0.metrics.count_error(error.code);
        }
    }

    /// Records the arrival of the first token.
    pub fn first_token(&self) {
        let elapsed = self.0.started.elapsed();
        self.0.metrics.observe_first_token(self.0.kind(), elapsed);
    }

    fn set_outcome(&self, outcome: RequestOutcome) {
        *self
            .0
            .outcome
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = outcome;
    }
}

impl Inner {
    fn kind(&self) -> &str {
        self.kind.get().map_or(NO_KIND, KindName::as_str)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let outcome = *self.outcome.lock().unwrap_or_else(PoisonError::into_inner);
        self.metrics.count_request(self.kind(), outcome);
    }
}
