//! Attempts at endpoints until a request has its answer or is given up.

use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::Instant;

use crate::answer::{self, AnswerBody, Reason};
use crate::attempt::{Exchange, Means, Outcome, Whole, attempt};
use crate::catalog::Repeat;
use crate::control::{Grant, Placement, PlacementRequest, Refusal, RunEnd};
use crate::endpoint::EndpointKey;
use crate::relay;

/// Longest wait for a place while engines load weights.
const HOLD: Duration = Duration::from_millis(450);

/// Endpoints that one request may be offered to, those included that refused it.
const OFFERS: usize = 4;

/// When to come back after a refusal.
const AGAIN: Duration = Duration::from_millis(400);

/// Times the route's target after which a silent engine is given up, where the
/// request may be repeated.
const SILENCE_TARGETS: f64 = 3.5;

/// Least time that is worth another attempt.
const WORTHWHILE: Duration = Duration::from_millis(60);

/// What attempts have come to so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Endpoints that had the request.
    pub tried: Vec<EndpointKey>,
    /// True when the request reached one of them.
    pub reached: bool,
    /// Those of them that may have run it.
    pub ran: u32,
    /// Answer of an endpoint that failed, if none does better.
    fallback: Option<Whole>,
}

impl Progress {
    /// True when another endpoint may be tried.
    pub fn may_retry(&self, exchange: &Exchange) -> bool {
        let allowed = self.ran == 0
            || (exchange.route.repeatable() && self.ran < exchange.route.max_attempts);
        let left = exchange.expires.saturating_duration_since(Instant::now());
        allowed && self.tried.len() < OFFERS && left > WORTHWHILE
    }

    /// Asks for a place at an endpoint that was not tried yet.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub async fn place(&self, exchange: &Exchange, means: &Means) -> Placement {
        let workspace = exchange.workspace.as_ref();
        let ask = PlacementRequest {
            id: exchange.request.clone(),
            service: exchange.service.clone(),
            model: exchange.head.model.clone(),
            isolated_workspace: workspace
                .filter(|workspace| workspace.isolated)
                .map(|workspace| workspace.name.clone()),
            parts: exchange.head.parts.clone(),
            prompt_tokens: exchange.head.prompt_tokens,
            output_tokens: exchange.head.output_tokens,
            tried: self.tried.clone(),
            is_retry: self.reached,
            max_wait: HOLD.min(exchange.expires.saturating_duration_since(Instant::now())),
        };
        means.handle.place(ask).await
    }
}

/// Serves a request.
pub async fn forward(exchange: Exchange, means: Means) -> Response<AnswerBody> {
    let mut progress = Progress::default();
    loop {
        let grant = match progress.place(&exchange, &means).await {
            Ok(grant) => grant,
            Err(refusal) => {
                return give_up(&exchange, &means, &mut progress, refusal_cause(refusal));
            }
        };
        progress.tried.push(grant.endpoint.key());
        match attempt(&exchange, &means, grant.clone(), None, silence(&exchange)).await {
            Outcome::Whole(whole) => return whole_answer(&exchange, &means, whole, &grant),
            Outcome::Stream(opened) => return relay::start(exchange, means, progress, *opened),
            Outcome::Error(whole) => {
                progress.reached = true;
                progress.ran += 1;
                progress.fallback = Some(whole);
                if exchange.route.repeat != Repeat::Safe || !progress.may_retry(&exchange) {
                    return give_up(&exchange, &means, &mut progress, "endpoint failed");
                }
            }
            Outcome::NotRun(end) => {
                progress.reached |= end != RunEnd::NeverConnected;
                if matches!(end, RunEnd::WrongWeights(_) | RunEnd::Reloading) {
                    // The same engine may take it a moment later.
                    progress.tried.pop();
                    progress.tried.push(0);
                }
                if !progress.may_retry(&exchange) {
                    return give_up(&exchange, &means, &mut progress, "endpoints refused");
                }
            }
            Outcome::Lost(_) => {
                progress.reached = true;
                progress.ran += 1;
                if !progress.may_retry(&exchange) {
                    return give_up(&exchange, &means, &mut progress, "endpoint lost it");
                }
            }
            Outcome::Expired => {
                progress.ran += 1;
                return timed_out(&exchange, &progress);
            }
        }
    }
}

fn silence(exchange: &Exchange) -> Option<Duration> {
    let repeatable = exchange.route.repeatable();
    repeatable.then(|| {
        exchange
            .route
            .target
            .mul_f64(SILENCE_TARGETS)
            .max(Duration::from_millis(900))
    })
}

fn refusal_cause(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NoEndpoint => "no endpoint",
        Refusal::AllReloading => "all engines load weights",
        Refusal::Budget => "budget of second tries used up",
    }
}

fn whole_answer(
    exchange: &Exchange,
    means: &Means,
    whole: Whole,
    grant: &Grant,
) -> Response<AnswerBody> {
    log::info!(request = &*exchange.request, route = exchange.route.name.as_str(),
        endpoint = &*grant.endpoint.id, status = whole.status.as_u16(), took_ms = took(exchange); "request answered");
    from_endpoint(means, whole)
}

fn from_endpoint(means: &Means, whole: Whole) -> Response<AnswerBody> {
    let mut response = Response::new(answer::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = (means.dialect.caller_headers)(&whole.headers);
    response
}

/// Milliseconds since the request arrived.
pub fn took(exchange: &Exchange) -> u64 {
    exchange.started.elapsed().as_millis() as u64
}

/// The final answer to a request that is not tried any more.
fn give_up(
    exchange: &Exchange,
    means: &Means,
    progress: &mut Progress,
    cause: &str,
) -> Response<AnswerBody> {
    if let Some(whole) = progress.fallback.take() {
        // These statuses would say that the request has not run.
        let promise = matches!(whole.status.as_u16(), 408 | 421 | 429 | 503);
        log::info!(request = &*exchange.request, route = exchange.route.name.as_str(),
            status = whole.status.as_u16(), took_ms = took(exchange), tries = progress.tried.len(), cause;
            "request answered with the endpoint's failure");
        if !promise {
            return from_endpoint(means, whole);
        }
        return answer::own(Reason::Failed, None);
    }
    let (reason, again) = if progress.ran == 0 {
        (Reason::NotRun, Some(AGAIN))
    } else {
        (Reason::Failed, None)
    };
    log_given_up(exchange, progress, reason, cause);
    answer::own(reason, again)
}

fn timed_out(exchange: &Exchange, progress: &Progress) -> Response<AnswerBody> {
    log_given_up(exchange, progress, Reason::TimedOut, "time is over");
    answer::own(Reason::TimedOut, None)
}

fn log_given_up(exchange: &Exchange, progress: &Progress, reason: Reason, cause: &str) {
    log::info!(request = &*exchange.request, route = exchange.route.name.as_str(), reason = reason.word(), cause,
        status = status(reason), tries = progress.tried.len(), ran = progress.ran, took_ms = took(exchange);
        "request given up");
}

fn status(reason: Reason) -> u16 {
    let status: StatusCode = reason.status();
    status.as_u16()
}
