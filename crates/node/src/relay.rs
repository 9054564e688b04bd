//! Relays completions from engines to callers, complete and in order.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use flamingolock_core::answer_stream::{Recovery, StreamCursor, StreamInput, StreamStep};
use flamingolock_core::permit::PrefillStats;
use flamingolock_core::prelude::*;
use flamingolock_core::stream_position::StreamPosition;
use futures_util::stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::api::{ApiError, ApiResponse, ErrorKind, Usage};
use crate::completion_request::SamplingParams;
use crate::control::permit::{
    AbandonGuard, Admission, InflightGuard, Permit, Refusal, RouteRequest,
};
use crate::control::{self, Event};
use crate::endpoint_client::{
    Connection, EndpointClient, EndpointError, MAX_RESPONSE_BYTES, post_json,
};
use crate::filters::TrafficContext;
use crate::metrics::StreamEvent;
use crate::scope::{CALLER_LEFT, RequestScope};
use crate::sse::{self, SseReader};

/// Header with the incarnation of the responding engine.
pub const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// Number of events buffered for a slow caller before reading from the engine pauses.
const CALLER_BUFFER_EVENTS: usize = 64;

/// Engines that are tried before the first token.
const MAX_ENGINE_ATTEMPTS: usize = 3;

/// Format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionFormat {
    /// Text completion.
    Text,
    /// Chat completion.
    Chat,
}

/// A completion request to relay.
#[derive(Debug)]
pub struct Job {
    /// Routing request for the control thread.
    pub route_request: RouteRequest,
    /// Format of the response.
    pub format: CompletionFormat,
    /// Sampling parameters for the engine.
    pub sampling: SamplingParams,
    /// Whether the stream ends with an event that has the token usage.
    pub include_usage: bool,
    /// Arrival time of the request.
    pub started: Millis,
    /// Guard that counts the request against the limits of its workspace.
    pub inflight_guard: InflightGuard,
    /// Position to resume from, if the caller lost its stream.
    pub resume: Option<Resume>,
    /// Scope that counts the request when it ends.
    pub scope: RequestScope,
}

/// Position from which a caller resumes its stream.
#[derive(Clone, Debug)]
pub struct Resume {
    /// Position of the last event that the caller received.
    pub position: StreamPosition,
    /// Text that the caller received, if it sent it.
    pub answer: Option<String>,
}

/// Request body for an engine.
#[derive(Serialize)]
struct EngineRequest<'a> {
    model: &'a ModelName,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u8,
    cache_salt: String,
    request_id: &'a str,
    start_index: u32,
    answer_so_far: &'a str,
    #[serde(flatten)]
    sampling: &'a SamplingParams,
}

/// An event of an engine's stream: a piece of text or the end.
#[derive(Debug, Deserialize)]
struct EngineEvent {
    id: String,
    #[serde(default)]
    index: u32,
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish: Option<String>,
    #[serde(default)]
    count: u32,
    #[serde(default)]
    usage: Usage,
}

/// A completion stream in progress on an engine.
struct EngineStream {
    binding: EngineBinding,
    cursor: StreamCursor,
    reader: SseReader,
    sent_at: Millis,
}

/// How a stream is bound to its engine.
enum EngineBinding {
    /// This node holds a permit for it.
    Permitted(Permit),
    /// Another node began the stream, and its permit ended with that node.
    Adopted {
        engine: EngineId,
        address: SocketAddr,
    },
}

impl EngineBinding {
    fn engine(&self) -> &EngineId {
        match self {
            EngineBinding::Permitted(permit) => &permit.engine,
            EngineBinding::Adopted { engine, .. } => engine,
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            EngineBinding::Permitted(permit) => permit.address,
            EngineBinding::Adopted { address, .. } => *address,
        }
    }
}

/// End of a complete response.
struct Finish {
    reason: String,
    usage: Usage,
}

/// Destination of the events.
enum Sink {
    Caller(mpsc::Sender<Bytes>),
    Memory,
}

/// Result of reading from the engine.
enum RelayStep {
    Piece(String, Usage),
    Skipped,
    Done(Finish),
    Broken(&'static str),
    /// The node aborts the streams in progress.
    Aborted,
}

/// Streams the response to a job.
///
/// # Errors
///
/// Returns an error if no engine starts the completion. Later errors are sent as
/// events of the stream.
pub async fn stream(traffic: &TrafficContext, job: Job) -> Result<ApiResponse, ApiError> {
    let mut relay = Relay::new(traffic.clone(), job);
    let running = relay.start().await?;
    let (sender, receiver) = mpsc::channel(CALLER_BUFFER_EVENTS);
    tokio::spawn(async move { relay.run_stream(running, sender).await });
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), receiver))
    });
    let body = StreamBody::new(frames)
        .map_err(|never| match never {})
        .boxed();
    let mut answer = Response::new(body);
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(answer)
}

/// Collects the response to a job into one JSON body.
///
/// # Errors
///
/// Returns an error if no engine completes the response.
pub async fn collect(traffic: &TrafficContext, job: Job) -> Result<Vec<u8>, ApiError> {
    let mut relay = Relay::new(traffic.clone(), job);
    let running = relay.start().await?;
    let finish = relay.run(running, &Sink::Memory).await?;
    Ok(relay.completion_body(&finish))
}

struct Relay {
    traffic: TrafficContext,
    job: Job,
    answer: String,
    attempts: u32,
    last_token: Option<Instant>,
}

impl Relay {
    fn new(traffic: TrafficContext, job: Job) -> Self {
        Self {
            traffic,
            job,
            answer: String::new(),
            attempts: 0,
            last_token: None,
        }
    }

    /// Starts the completion on an engine, or resumes a stream that the caller lost.
    async fn start(&mut self) -> Result<EngineStream, ApiError> {
        if let Some(resume) = self.job.resume.take() {
            return self.resume_stream(resume).await;
        }
        let mut last = None;
        for _ in 0..MAX_ENGINE_ATTEMPTS {
            let permit = self.admit().await?;
            let engine = permit.engine.clone();
            match self.send(permit, 0).await {
                Ok(running) => return Ok(running),
                Err(error) => {
                    self.record_decision("retry", engine.as_str(), &error.to_string());
                    self.traffic.metrics.count_stream_event(StreamEvent::Retry);
                    self.job.route_request.avoid.push(engine);
                    last = Some(error);
                }
            }
        }
        let message = last.map_or_else(String::new, |error| error.to_string());
        Err(ApiError::unavailable("no_engine_answers", message, 1000))
    }

    async fn resume_stream(&mut self, resume: Resume) -> Result<EngineStream, ApiError> {
        let Resume { position, answer } = resume;
        let from = position.index + 1;
        if let Some(running) = self.adopt(&position, from).await {
            self.answer = answer.unwrap_or_default();
            self.record_decision("resume", position.engine.as_str(), "asked by the caller");
            return Ok(running);
        }
        let Some(answer) = answer else {
            let message = "the stream is gone; send what you have as `answer_so_far`, \
                           or ask anew without `last-event-id`";
            return Err(ApiError::new(
                StatusCode::CONFLICT,
                ErrorKind::InvalidRequest,
                "stream_gone",
                message,
            ));
        };
        self.answer = answer;
        let permit = self.admit().await?;
        self.record_decision("continue", permit.engine.as_str(), "asked by the caller");
        self.send(permit, from)
            .await
            .map_err(|error| stream_broken(&error.to_string()))
    }

    /// Attaches to a stream that another node began, if its engine still has it.
    async fn adopt(&self, position: &StreamPosition, from: u32) -> Option<EngineStream> {
        let address = self
            .traffic
            .view
            .load()
            .instances
            .get(position.engine.as_str())?
            .address;
        let cursor = StreamCursor::new(position.attempt.clone(), position.incarnation, from);
        let reader = self.reconnect(address, &cursor, from).await?;
        let engine = position.engine.clone();
        let binding = EngineBinding::Adopted { engine, address };
        Some(EngineStream {
            binding,
            cursor,
            reader,
            sent_at: control::now(),
        })
    }

    async fn admit(&self) -> Result<Permit, ApiError> {
        let (reply, admission) = oneshot::channel();
        let route_request = self.job.route_request.clone();
        let mut abandon =
            AbandonGuard::new(self.traffic.events.clone(), route_request.request.clone());
        let stopped = || ApiError::unavailable("stopping", "the node is stopping", 1000);
        self.traffic
            .events
            .send(Event::Admit(route_request, reply))
            .map_err(|_| stopped())?;
        let admission = admission.await;
        abandon.disarm();
        match admission {
            Ok(Admission::Granted(permit)) => Ok(permit),
            Ok(Admission::Refused(refusal)) => Err(refusal_error(&refusal)),
            Err(_) => Err(stopped()),
        }
    }

    /// Sends the request to the permit's engine, to generate from token `index` on.
    async fn send(&mut self, permit: Permit, index: u32) -> Result<EngineStream, EndpointError> {
        self.attempts += 1;
        let attempt = format!("{}.{}", self.job.route_request.request, self.attempts);
        let address = permit.address.to_string();
        let body = self.engine_body(&permit, &attempt, index);
        let request = post_json(&address, "/v1/completions", body)?;
        let wait = self
            .job
            .route_request
            .deadline
            .since(control::now())
            .0
            .max(1);
        let sent_at = control::now();
        let sent = self
            .traffic
            .http
            .send(request, Connection::Pooled, wait)
            .await;
        let response = match sent {
            Ok(response) => check_status(&address, response).await,
            Err(error) => Err(error),
        };
        match response {
            Ok(response) => {
                let incarnation = incarnation_of(&response).unwrap_or(permit.incarnation);
                Ok(EngineStream {
                    cursor: StreamCursor::new(attempt, incarnation, index),
                    reader: SseReader::new(response.into_body()),
                    binding: EngineBinding::Permitted(permit),
                    sent_at,
                })
            }
            Err(error) => {
                let mut permit = permit;
                permit.fail();
                Err(error)
            }
        }
    }

    fn engine_body(&self, permit: &Permit, attempt: &str, index: u32) -> Vec<u8> {
        let route_request = &self.job.route_request;
        let body = EngineRequest {
            model: &route_request.model,
            prompt: &String::from_utf8_lossy(&route_request.prompt),
            max_tokens: route_request.answer_tokens,
            stream: true,
            priority: route_request.priority,
            cache_salt: permit.seed.to_hex(),
            request_id: attempt,
            start_index: index,
            answer_so_far: &self.answer,
            sampling: &self.job.sampling,
        };
        serde_json::to_vec(&body).expect("text, numbers and maps with text keys are JSON")
    }

    async fn run_stream(&mut self, running: EngineStream, sender: mpsc::Sender<Bytes>) {
        let sink = Sink::Caller(sender);
        match self.run(running, &sink).await {
            Ok(finish) => {
                let mut last = self.finish_event(&finish);
                if self.job.include_usage {
                    last.extend_from_slice(&self.usage_event(&finish));
                }
                last.extend_from_slice(&sse::event(None, "[DONE]"));
                if self.emit(&sink, last.freeze()).await.is_ok() {
                    self.job.scope.answered();
                }
            }
            Err(error) => {
                self.record_decision("stream-error", "", &error.message);
                self.traffic.metrics.count_stream_event(StreamEvent::Error);
                self.job.scope.failed(&error);
                let text = String::from_utf8_lossy(&error.body()).into_owned();
                let _ = self.emit(&sink, sse::event(None, &text)).await;
            }
        }
    }

    /// Relays events until the response is complete, the caller leaves, the node aborts
    /// the stream, or recovery fails.
    async fn run(&mut self, mut running: EngineStream, sink: &Sink) -> Result<Finish, ApiError> {
        loop {
            match self.next_step(&mut running).await {
                RelayStep::Skipped => {}
                RelayStep::Piece(text, usage) => {
                    self.record_token(&running, usage);
                    self.answer.push_str(&text);
                    let event = self.piece_event(&running, &text);
                    if self.emit(sink, event).await.is_err() {
                        self.cancel(&running).await;
                        return Err(caller_left());
                    }
                }
                RelayStep::Done(finish) => {
                    let usage = finish.usage;
                    let metrics = &self.traffic.metrics;
                    metrics.count_prompt(usage.prompt_tokens, usage.cached_tokens);
                    return Ok(finish);
                }
                RelayStep::Aborted => {
                    self.cancel(&running).await;
                    let message = "the node is going; resume the stream at another entry";
                    return Err(ApiError::unavailable("leaving", message, 0));
                }
                RelayStep::Broken(reason) => running = self.recover(running, reason).await?,
            }
        }
    }

    async fn next_step(&self, running: &mut EngineStream) -> RelayStep {
        let wait = Duration::from_millis(self.stall_ms());
        let mut abort_signal = self.traffic.abort_signal.clone();
        let read = tokio::select! {
            read = tokio::time::timeout(wait, running.reader.next()) => read,
            _ = abort_signal.wait_for(|abort_signal| *abort_signal) => return RelayStep::Aborted,
        };
        let data = match read {
            Err(_) => return RelayStep::Broken("silent"),
            Ok(Err(_)) => return RelayStep::Broken("connection failed"),
            Ok(Ok(None)) => return RelayStep::Broken("ended early"),
            Ok(Ok(Some(data))) => data,
        };
        let Ok(event) = serde_json::from_str::<EngineEvent>(&data) else {
            return RelayStep::Broken("unreadable event");
        };
        let input = match event.finish {
            None => StreamInput::Chunk {
                id: &event.id,
                index: event.index,
            },
            Some(_) => StreamInput::End {
                id: &event.id,
                count: event.count,
            },
        };
        match running.cursor.accept(input) {
            StreamStep::Deliver => RelayStep::Piece(event.text, event.usage),
            StreamStep::Skip => RelayStep::Skipped,
            StreamStep::Finish => RelayStep::Done(Finish {
                reason: event.finish.unwrap_or_default(),
                usage: event.usage,
            }),
            StreamStep::Reject(_) => RelayStep::Broken("foreign or missing event"),
        }
    }

    /// Returns how long the engine may be silent. Before the first token it may still
    /// queue or prefill the request; after it, silence means a failed connection.
    fn stall_ms(&self) -> u64 {
        let stall = self.traffic.settings.timing.stall_ms;
        if self.last_token.is_some() {
            return stall;
        }
        self.job
            .route_request
            .deadline
            .since(control::now())
            .0
            .max(stall)
    }

    async fn recover(
        &mut self,
        mut running: EngineStream,
        reason: &str,
    ) -> Result<EngineStream, ApiError> {
        self.record_decision("break", running.binding.engine().as_str(), reason);
        self.traffic.metrics.count_stream_event(StreamEvent::Break);
        let incarnation = running.cursor.incarnation();
        if let Recovery::Resume { from } = running.cursor.recover(Some(incarnation))
            && let Some(reader) = self
                .reconnect(running.binding.address(), &running.cursor, from)
                .await
        {
            self.record_decision("resume", running.binding.engine().as_str(), reason);
            self.traffic.metrics.count_stream_event(StreamEvent::Resume);
            running.reader = reader;
            return Ok(running);
        }
        match running.cursor.recover(None) {
            Recovery::Continue { from } => self.continue_elsewhere(running, from).await,
            Recovery::Resume { .. } | Recovery::GiveUp => Err(stream_broken(reason)),
        }
    }

    /// Requests the rest of the stream from the same engine on a new connection.
    async fn reconnect(
        &self,
        address: SocketAddr,
        cursor: &StreamCursor,
        from: u32,
    ) -> Option<SseReader> {
        let attempt = cursor.attempt();
        let uri = format!("http://{address}/v1/streams/{attempt}?from={from}");
        let request = Request::get(uri).body(Full::default()).ok()?;
        let wait = self.traffic.settings.timing.connect_ms;
        let response = self
            .traffic
            .http
            .send(request, Connection::Unpooled, wait)
            .await
            .ok()?;
        let same = incarnation_of(&response) == Some(cursor.incarnation());
        (response.status() == StatusCode::OK && same).then(|| SseReader::new(response.into_body()))
    }

    async fn continue_elsewhere(
        &mut self,
        mut running: EngineStream,
        from: u32,
    ) -> Result<EngineStream, ApiError> {
        let engine = running.binding.engine().clone();
        if let EngineBinding::Permitted(permit) = &mut running.binding {
            permit.fail();
        }
        self.job.route_request.avoid.push(engine);
        let mut cursor = running.cursor;
        drop(running.binding);
        let deadline = self
            .job
            .route_request
            .deadline
            .max(control::now() + Millis(5_000));
        self.job.route_request.deadline = deadline;
        let mut last = String::new();
        for _ in 0..MAX_ENGINE_ATTEMPTS {
            let permit = self.admit().await?;
            let engine = permit.engine.clone();
            self.record_decision("continue", engine.as_str(), "the engine before is gone");
            self.traffic
                .metrics
                .count_stream_event(StreamEvent::Continue);
            match self.send(permit, from).await {
                Ok(next) => {
                    cursor.rebind(next.cursor.attempt().to_owned(), next.cursor.incarnation());
                    return Ok(EngineStream { cursor, ..next });
                }
                Err(error) => {
                    last = error.to_string();
                    self.record_decision("retry", engine.as_str(), &last);
                    self.job.route_request.avoid.push(engine);
                }
            }
        }
        Err(stream_broken(&last))
    }

    /// Frees the engine's slot after the caller has left.
    async fn cancel(&self, running: &EngineStream) {
        self.record_decision(
            "cancel",
            running.binding.engine().as_str(),
            "the caller left",
        );
        self.traffic.metrics.count_stream_event(StreamEvent::Cancel);
        let uri = format!(
            "http://{}/v1/streams/{}",
            running.binding.address(),
            running.cursor.attempt()
        );
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        let wait = self.traffic.settings.timing.connect_ms;
        let _ = self
            .traffic
            .http
            .send(request, Connection::Pooled, wait)
            .await;
    }

    fn record_token(&mut self, running: &EngineStream, usage: Usage) {
        if let Some(last) = self.last_token.replace(Instant::now()) {
            self.traffic.metrics.observe_token_gap(last.elapsed());
            return;
        }
        let now = control::now();
        self.job.scope.first_token();
        let EngineBinding::Permitted(permit) = &running.binding else {
            return;
        };
        permit.first_token(PrefillStats {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            first_token: now.since(running.sent_at),
        });
    }

    async fn emit(&self, sink: &Sink, event: Bytes) -> Result<(), ()> {
        let Sink::Caller(sender) = sink else {
            return Ok(());
        };
        let wait = Duration::from_millis(self.traffic.settings.timing.caller_ms);
        match tokio::time::timeout(wait, sender.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(()),
        }
    }

    fn piece_event(&self, running: &EngineStream, text: &str) -> Bytes {
        let choice = match self.job.format {
            CompletionFormat::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
            CompletionFormat::Chat => {
                let mut delta = json!({ "content": text });
                if running.cursor.next_index() == 1 {
                    delta["role"] = json!("assistant");
                }
                json!({ "index": 0, "delta": delta, "finish_reason": null })
            }
        };
        let position = StreamPosition {
            attempt: running.cursor.attempt().to_owned(),
            engine: running.binding.engine().clone(),
            incarnation: running.cursor.incarnation(),
            index: running.cursor.next_index() - 1,
        };
        let id = position.sign(&self.traffic.keys, &self.job.route_request.workspace);
        sse::event(Some(&id), &self.chunk(&[choice], None, None).to_string())
    }

    fn finish_event(&self, finish: &Finish) -> BytesMut {
        let choice = match self.job.format {
            CompletionFormat::Text => {
                json!({ "index": 0, "text": "", "finish_reason": finish.reason })
            }
            CompletionFormat::Chat => {
                json!({ "index": 0, "delta": {}, "finish_reason": finish.reason })
            }
        };
        let count = Some(finish.usage.completion_tokens);
        let chunk = self.chunk(&[choice], Some(finish.usage), count);
        BytesMut::from(sse::event(None, &chunk.to_string()))
    }

    /// Builds the event that `stream_options.include_usage` asks for.
    fn usage_event(&self, finish: &Finish) -> Bytes {
        let chunk = self.chunk(&[], Some(finish.usage), None);
        sse::event(None, &chunk.to_string())
    }

    fn chunk(
        &self,
        choices: &[serde_json::Value],
        usage: Option<Usage>,
        count: Option<u32>,
    ) -> serde_json::Value {
        let object = match self.job.format {
            CompletionFormat::Text => "text_completion",
            CompletionFormat::Chat => "chat.completion.chunk",
        };
        json!({
            "id": self.job.route_request.request,
            "object": object,
            "created": self.job.started.0 / 1000,
            "model": self.job.route_request.model,
            "choices": choices,
            "usage": usage.map(usage_body),
            "count": count,
        })
    }

    fn completion_body(&self, finish: &Finish) -> Vec<u8> {
        let (object, choice) = match self.job.format {
            CompletionFormat::Text => (
                "text_completion",
                json!({ "index": 0, "text": self.answer, "finish_reason": finish.reason }),
            ),
            CompletionFormat::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": self.answer },
                    "finish_reason": finish.reason,
                }),
            ),
        };
        json!({
            "id": self.job.route_request.request,
            "object": object,
            "created": self.job.started.0 / 1000,
            "model": self.job.route_request.model,
            "choices": [choice],
            "usage": usage_body(finish.usage),
        })
        .to_string()
        .into_bytes()
    }

    fn record_decision(&self, action: &str, chosen: &str, reason: &str) {
        let candidates = serde_json::Value::Null;
        self.traffic.decisions.record(
            control::now(),
            &self.job.route_request.request,
            action,
            chosen,
            reason,
            candidates,
        );
    }
}

fn usage_body(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

fn incarnation_of(response: &Response<Incoming>) -> Option<Incarnation> {
    let text = response.headers().get(INCARNATION_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Incarnation)
}

async fn check_status(
    address: &str,
    response: Response<Incoming>,
) -> Result<Response<Incoming>, EndpointError> {
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let status = response.status();
    let body = EndpointClient::read(address, response, MAX_RESPONSE_BYTES, 1_000).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Err(EndpointError::Body {
        address: address.to_owned(),
        source: format!("status {status}: {text}").into(),
    })
}

fn refusal_error(refusal: &Refusal) -> ApiError {
    let message = format!("the request cannot be served now: {}", refusal.code);
    ApiError::unavailable(refusal.code, message, refusal.retry_after.0)
}

fn stream_broken(reason: &str) -> ApiError {
    let message = format!("the answer cannot be completed: {reason}");
    ApiError::new(
        StatusCode::BAD_GATEWAY,
        ErrorKind::Upstream,
        "stream_broken",
        message,
    )
}

fn caller_left() -> ApiError {
    ApiError::new(
        StatusCode::BAD_REQUEST,
        ErrorKind::InvalidRequest,
        CALLER_LEFT,
        "",
    )
}
