//! Runs the steps of one at-most-once call.
//!
//! The task continues after its caller disconnects: the answer to a call that was
//! sent must be recorded, so that a retry gets it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::call_key::{body_digest, parse_key, service_call_id};
use flamingolock_core::call_message::{CallInput, Submission, SubmissionId};
use flamingolock_core::call_outcome::{CallAnswer, Outcome, SendFailure};
use flamingolock_core::prelude::*;
use flamingolock_core::record::CallId;
use flamingolock_core::rendezvous;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::api::{ApiError, CallOutcome};
use crate::control::calls::{CallEvent, CallRequest, CallStep, ForwardedCall};
use crate::control::{Event, now};
use crate::endpoint_client::EndpointClient;
use crate::filters::TrafficContext;
use crate::filters::classify::classify_call;
use crate::filters::service_call::CALL_ID_HEADER;

/// Largest accepted response body of a service.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Response timeout of a call that was sent. It may exceed the deadline of every
/// caller, because the answer is kept for retries.
const RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// Destination and deadline of a call.
#[derive(Clone, Debug)]
pub struct CallTarget {
    /// Service that runs the call.
    pub service: ServiceName,
    /// Path for looking up the result of an earlier call, if the service has one.
    pub lookup: Option<String>,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
}

/// Submits a call and waits for its outcome.
///
/// # Errors
///
/// Returns an error if the idempotency key is rejected or the node is stopping.
pub async fn run(
    traffic: &TrafficContext,
    request: CallRequest,
    target: CallTarget,
    forwarded: bool,
) -> Result<(CallId, Outcome), ApiError> {
    let key = parse_key(&traffic.keys, &request.workspace, &request.key).map_err(|error| {
        ApiError::invalid("bad_idempotency_key", error.to_string())
            .with_outcome(CallOutcome::NotRun)
    })?;
    let call = key.id.clone();
    let submit = Submission {
        id: SubmissionId(0),
        key,
        digest: body_digest(&request.body),
        deadline: target.deadline,
        lookup: target.lookup.is_some(),
        forwarded,
    };
    let (steps, inbox) = mpsc::unbounded_channel();
    let (reply, outcome) = oneshot::channel();
    let task = CallTask {
        traffic: traffic.clone(),
        request: request.clone(),
        target,
    };
    let event = CallEvent::Submit {
        submit: Box::new(submit),
        request: Box::new(request),
        steps,
    };
    let stopped = || {
        ApiError::unavailable("stopping", "the node is stopping", 1000)
            .with_outcome(CallOutcome::NotRun)
    };
    traffic
        .events
        .send(Event::Call(event))
        .map_err(|_| stopped())?;
    tokio::spawn(run_steps(Arc::new(task), inbox, reply));
    match outcome.await {
        Ok(outcome) => Ok((call, outcome)),
        Err(_) => Err(ApiError {
            outcome: Some(CallOutcome::Unknown),
            ..ApiError::unavailable("stopping", "the node is stopping", 1000)
        }),
    }
}

/// Runs the calls that peers forward to this node.
pub async fn serve_forwarded(
    traffic: TrafficContext,
    mut calls: mpsc::UnboundedReceiver<ForwardedCall>,
) {
    while let Some(call) = calls.recv().await {
        let traffic = traffic.clone();
        tokio::spawn(async move {
            let outcome = run_forwarded(&traffic, call.request, call.within).await;
            let event = CallEvent::Forwarded {
                to: call.from,
                call: call.call,
                outcome,
            };
            let _ = traffic.events.send(Event::Call(event));
        });
    }
}

async fn run_forwarded(traffic: &TrafficContext, request: CallRequest, within: Millis) -> Outcome {
    let view = traffic.view.load_full();
    let unknown = Outcome::Unknown(flamingolock_core::call_outcome::UnknownReason::OwnerSilent);
    let kind = request.path.split('/').next().unwrap_or_default();
    let Ok((_, service)) = classify_call(&view, &http::HeaderMap::new(), kind) else {
        return unknown;
    };
    let lookup = view
        .manifest
        .services
        .get(&service)
        .and_then(|s| s.lookup_path.clone());
    let target = CallTarget {
        service,
        lookup,
        deadline: now() + within,
    };
    match run(traffic, request, target, true).await {
        Ok((_, outcome)) => outcome,
        Err(_) => unknown,
    }
}

struct CallTask {
    traffic: TrafficContext,
    request: CallRequest,
    target: CallTarget,
}

async fn run_steps(
    task: Arc<CallTask>,
    mut steps: mpsc::UnboundedReceiver<CallStep>,
    reply: oneshot::Sender<Outcome>,
) {
    while let Some(step) = steps.recv().await {
        match step {
            CallStep::Send {
                call,
                digest,
                attempt,
                send_by,
            } => {
                let task = Arc::clone(&task);
                // The request outlives this attempt: its answer is kept for retries.
                tokio::spawn(async move {
                    task.send(call, &digest, attempt, send_by).await;
                });
            }
            CallStep::Lookup { call, digest } => {
                let task = Arc::clone(&task);
                tokio::spawn(async move { task.look_up(call, digest).await });
            }
            CallStep::Answer(outcome) => {
                let _ = reply.send(outcome);
                return;
            }
        }
    }
}

/// Reason why an exchange with a service yielded no answer.
enum ExchangeError {
    NeverSent(String),
    Unknown(String),
}

impl CallTask {
    async fn send(&self, call: CallId, digest: &str, attempt: u32, send_by: Millis) {
        let id = service_call_id(&call, digest);
        let sent = self.exchange(&id, attempt, send_by).await;
        let (reason, chosen) = match &sent {
            Ok((answer, address)) => (format!("status {}", answer.status), address.clone()),
            Err(ExchangeError::NeverSent(reason)) => {
                (format!("never sent: {reason}"), String::new())
            }
            Err(ExchangeError::Unknown(reason)) => (format!("unknown: {reason}"), String::new()),
        };
        self.traffic.decisions.record(
            now(),
            &RequestId::from(id),
            "call",
            &chosen,
            &reason,
            serde_json::Value::Null,
        );
        let input = match sent {
            Ok((answer, _)) => CallInput::Answered {
                call,
                answer: Arc::new(answer),
            },
            Err(ExchangeError::NeverSent(_)) => CallInput::SendFailed {
                call,
                attempt,
                failure: SendFailure::NeverSent,
            },
            Err(ExchangeError::Unknown(_)) => CallInput::SendFailed {
                call,
                attempt,
                failure: SendFailure::Unknown,
            },
        };
        let _ = self
            .traffic
            .events
            .send(Event::Call(CallEvent::CoordinatorInput(Box::new(input))));
    }

    /// Sends the call on a new connection and reads the answer.
    async fn exchange(
        &self,
        id: &str,
        attempt: u32,
        send_by: Millis,
    ) -> Result<(CallAnswer, String), ExchangeError> {
        let address = self.choose_address(id, attempt).ok_or_else(|| {
            ExchangeError::NeverSent(format!("no instance of {} is live", self.target.service))
        })?;
        let connect = Duration::from_millis(self.traffic.settings.timing.connect_ms);
        let not_sent = |error: &dyn std::fmt::Display| ExchangeError::NeverSent(error.to_string());
        let stream = timeout(connect, TcpStream::connect(&address))
            .await
            .map_err(|error| not_sent(&error))?
            .map_err(|error| not_sent(&error))?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream))
                .await
                .map_err(|error| not_sent(&error))?;
        let connection = tokio::spawn(connection);
        let request = Request::builder()
            .method(self.request.method.as_str())
            .uri(format!("/{}", self.request.path))
            .header(header::HOST, &address)
            .header(header::CONTENT_TYPE, "application/json")
            .header(CALL_ID_HEADER, id)
            .body(Full::new(self.request.body.clone()))
            .map_err(|error| not_sent(&error))?;
        // A process that was paused after the decision must not send the call any more.
        if now() > send_by {
            return Err(ExchangeError::NeverSent("too late to send".to_owned()));
        }
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|error| ExchangeError::Unknown(error.to_string()))?;
            read_response(id, &address, response).await
        };
        let answer = timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), exchange)
            .await
            .map_err(|_| ExchangeError::Unknown("no answer in time".to_owned()))?;
        connection.abort();
        Ok((answer?, address))
    }

    /// Chooses the instance for an attempt. Attempts cycle through the live instances,
    /// starting at one that depends on the call.
    fn choose_address(&self, id: &str, attempt: u32) -> Option<String> {
        let view = self.traffic.view.load();
        let instances = view.service_instances(&self.target.service);
        let names = instances.iter().map(|listed| listed.name.as_str());
        let ranked = rendezvous::top(rendezvous::key(id), names, instances.len());
        let rank = attempt as usize % ranked.len().max(1);
        let name = ranked.get(rank)?;
        view.instances
            .get(*name)
            .map(|listed| listed.address.to_string())
    }

    async fn look_up(&self, call: CallId, digest: String) {
        let id = service_call_id(&call, &digest);
        let mut found = None;
        if let Some(path) = &self.target.lookup {
            let path = path.replace("{id}", &id);
            found = self.look_up_on_instances(&id, &path).await;
        }
        let input = CallInput::LookedUp {
            call,
            digest,
            found: found.map(Arc::new),
        };
        let _ = self
            .traffic
            .events
            .send(Event::Call(CallEvent::CoordinatorInput(Box::new(input))));
    }

    /// Asks every live instance in turn, since any of them may have run the call.
    async fn look_up_on_instances(&self, id: &str, path: &str) -> Option<CallAnswer> {
        let addresses: Vec<String> = {
            let view = self.traffic.view.load();
            let instances = view.service_instances(&self.target.service);
            instances
                .iter()
                .map(|listed| listed.address.to_string())
                .collect()
        };
        let wait = self.traffic.settings.timing.connect_ms;
        for address in addresses {
            let found: Result<LookupResponse, _> =
                self.traffic.http.get_json(&address, path, wait).await;
            if let Ok(found) = found
                && found.call_id == id
            {
                return Some(CallAnswer {
                    status: 200,
                    content_type: "application/json".to_owned(),
                    body: found.answer.get().as_bytes().to_vec(),
                });
            }
        }
        None
    }
}

#[derive(serde::Deserialize)]
struct LookupResponse {
    call_id: String,
    answer: Box<serde_json::value::RawValue>,
}

async fn read_response(
    id: &str,
    address: &str,
    response: http::Response<hyper::body::Incoming>,
) -> Result<CallAnswer, ExchangeError> {
    let echoed_id = response
        .headers()
        .get(CALL_ID_HEADER)
        .map(|value| value.as_bytes().to_vec());
    if echoed_id.as_deref() != Some(id.as_bytes()) {
        return Err(ExchangeError::Unknown(
            "the answer belongs to another call".to_owned(),
        ));
    }
    let status = response.status();
    if status.is_server_error() && status != StatusCode::NOT_IMPLEMENTED {
        return Err(ExchangeError::Unknown(format!(
            "the service answered {status}"
        )));
    }
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_owned();
    let body = EndpointClient::read(address, response, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT_MS)
        .await
        .map_err(|error| ExchangeError::Unknown(error.to_string()))?;
    Ok(CallAnswer {
        status: status.as_u16(),
        content_type,
        body: body.to_vec(),
    })
}
