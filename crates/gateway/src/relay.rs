//! Relaying of a streamed response to the caller, resumed on another engine if one
//! fails.
//!
//! The caller's stream ends as complete only if an engine ended its response as a whole one:
//! the engine that began it, or one that went on with at least one more event. In any other
//! case the caller's connection closes without the end of the body. Its caller may then take
//! it up with the id of its last event, and learns from a whole response that nothing follows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{AttemptOutcome, OpenedStream, attempt, closes_connection};
use crate::body_end;
use crate::control::RunEnd;
use crate::event_stream::EventSplitter;
use crate::exchange::{Exchange, ProxyContext};
use crate::forward::{RetryState, elapsed_ms};
use crate::http_client::BodyFraming;
use crate::limited_log::LimitedLog;
use crate::memory_budget::{MemoryBudget, charged};
use crate::metrics::EventKind;
use crate::response::{IncompleteBody, ResponseBody, SentBy};

/// Maximum number of chunks queued for a slow caller.
const MAX_PENDING_CHUNKS: usize = 16;

/// Maximum number of bytes queued for a slow caller, unless a single event is larger.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// Time after which a caller that reads nothing of its stream loses it.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Log of streams that end because their callers do not read them.
static UNREAD_LOG: LimitedLog = LimitedLog::new();

/// Why a part of a stream was not queued.
enum NotQueued {
    CallerLeft,
    DeadlineExceeded,
    Unread,
}

/// The queue of a caller's stream.
struct BodySender {
    queue: mpsc::Sender<Result<Frame<Bytes>, IncompleteBody>>,
    /// A permit for each byte that may be queued.
    room: Arc<Semaphore>,
    memory: MemoryBudget,
}

impl BodySender {
    /// Queues bytes once there is room for them. They are charged to the memory budget until
    /// the connection has taken them.
    async fn send(&self, bytes: Bytes, deadline: Instant) -> Result<(), NotQueued> {
        let unread_at = Instant::now() + UNREAD_TIMEOUT;
        let permits = bytes.len().min(MAX_UNREAD_BYTES) as u32;
        let queued = async {
            let room = self.room.clone().acquire_many_owned(permits).await;
            let guard = (room.ok(), self.memory.charge(bytes.len()));
            let frame = Frame::data(charged(bytes, guard));
            self.queue.send(Ok(frame)).await
        };
        let sent = tokio::select! {
            sent = timeout_at(deadline.min(unread_at), queued) => sent,
            () = self.queue.closed() => return Err(NotQueued::CallerLeft),
        };
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(NotQueued::CallerLeft),
            Err(_) if unread_at < deadline => Err(NotQueued::Unread),
            Err(_) => Err(NotQueued::DeadlineExceeded),
        }
    }
}

/// How relaying the response of one engine ended.
enum RelayEnd {
    /// The engine completed its response.
    Complete,
    /// The engine's response ended early.
    Broken,
    /// The caller closed the connection.
    CallerLeft,
    /// The caller did not read for too long.
    Unread,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// Which part of the caller's stream a response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamPart {
    First,
    /// What follows the last event that the caller has.
    Rest,
}

/// What has been relayed of a stream so far.
#[derive(Debug, Default)]
struct Progress {
    /// Id of the last complete event.
    last_event: Option<u64>,
    /// Longest time between two chunks of an engine.
    longest_pause: Duration,
    /// Bytes of an engine's response after its last complete event.
    partial_bytes: usize,
}

/// Returns the response to the caller; a separate task relays its body.
pub fn start(
    exchange: Exchange,
    context: ProxyContext,
    retry_state: RetryState,
    opened: OpenedStream,
) -> Response<ResponseBody> {
    let (queue, receiver) = mpsc::channel(MAX_PENDING_CHUNKS);
    let sender = BodySender {
        queue,
        room: Arc::new(Semaphore::new(MAX_UNREAD_BYTES)),
        memory: context.memory.clone(),
    };
    let body = StreamBody::new(receiver_stream(receiver)).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = opened.status;
    let mut headers = (context.dialect.response_headers)(&opened.headers);
    // The rest of the stream may come from another engine, so its length is unknown.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
        .extensions_mut()
        .insert(SentBy(opened.grant.endpoint.clone()));
    log::info!(request = &*exchange.request_id, endpoint = &*opened.grant.endpoint.id, took_ms = elapsed_ms(&exchange);
        "stream started");
    tokio::spawn(relay(exchange, context, retry_state, opened, sender));
    response
}

fn receiver_stream<T>(receiver: mpsc::Receiver<T>) -> impl Stream<Item = T> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    })
}

async fn relay(
    exchange: Exchange,
    context: ProxyContext,
    mut retry_state: RetryState,
    mut opened: OpenedStream,
    sender: BodySender,
) {
    let mut progress = Progress {
        last_event: exchange
            .head
            .last_event
            .filter(|_| exchange.route.resumable),
        ..Progress::default()
    };
    retry_state.reached = true;
    retry_state.has_begun = true;
    let mut part = StreamPart::First;
    loop {
        retry_state.possible_runs += 1;
        let engine = opened.grant.endpoint.clone();
        let framing = BodyFraming::of(&opened.headers);
        let end = relay_response(&exchange, &context, opened, part, &sender, &mut progress).await;
        let end_label = match end {
            RelayEnd::Complete => "complete",
            RelayEnd::Broken => "broken",
            RelayEnd::CallerLeft => "caller left",
            RelayEnd::Unread => "unread",
            RelayEnd::DeadlineExceeded => "deadline exceeded",
        };
        log::info!(request = &*exchange.request_id, route = exchange.route.name.as_str(), endpoint = &*engine.id,
            end = end_label, framing = framing.as_str(), last_event = progress.last_event.unwrap_or(0),
            partial_bytes = progress.partial_bytes, longest_pause_ms = progress.longest_pause.as_millis() as u64,
            took_ms = elapsed_ms(&exchange); "stream ended");
        match end {
            RelayEnd::Complete | RelayEnd::CallerLeft => return,
            RelayEnd::DeadlineExceeded | RelayEnd::Unread => break,
            RelayEnd::Broken => {}
        }
        // An engine of another software version may phrase the answer differently.
        if progress.last_event.is_some() {
            retry_state.build.get_or_insert(engine.build.clone());
        }
        match resume(&exchange, &context, &mut retry_state, progress.last_event).await {
            Some(next) => opened = next,
            None => break,
        }
        part = StreamPart::Rest;
    }
    // The error closes the connection without the end of the body, so the caller can
    // tell that the stream is incomplete.
    let _ = sender.queue.send(Err(IncompleteBody)).await;
}

/// Resumes the stream on another engine after the last event that the caller has
/// received.
async fn resume(
    exchange: &Exchange,
    context: &ProxyContext,
    retry_state: &mut RetryState,
    last: Option<u64>,
) -> Option<OpenedStream> {
    while exchange.route.resumable && retry_state.may_retry(exchange) {
        let grant = retry_state.place(exchange, context).await.ok()?;
        retry_state.tried.push(grant.endpoint.key());
        match attempt(exchange, context, grant, last, None).await {
            AttemptOutcome::Stream(opened) => return Some(*opened),
            AttemptOutcome::NotRun(_) => {}
            AttemptOutcome::NoResponse(_)
            | AttemptOutcome::ErrorResponse(_)
            | AttemptOutcome::Response(_) => retry_state.possible_runs += 1,
            AttemptOutcome::DeadlineExceeded => return None,
        }
    }
    None
}

/// Relays one engine's response.
async fn relay_response(
    exchange: &Exchange,
    context: &ProxyContext,
    opened: OpenedStream,
    part: StreamPart,
    sender: &BodySender,
    progress: &mut Progress,
) -> RelayEnd {
    let OpenedStream {
        headers,
        first,
        mut rest,
        connection,
        mut guard,
        grant,
        ..
    } = opened;
    let mut splitter = EventSplitter::default();
    let last_before = progress.last_event;
    progress.partial_bytes = 0;
    let mut next = first;
    let mut chunk_at = Instant::now();
    loop {
        if let Some(bytes) = next.take() {
            progress.longest_pause = progress.longest_pause.max(chunk_at.elapsed());
            chunk_at = Instant::now();
            let events = splitter.push(&bytes, progress.last_event);
            progress.partial_bytes = splitter.partial_bytes();
            let events = match events {
                Ok(events) => events,
                Err(error) => {
                    log::warn!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, error:% = error; "stream ended early");
                    guard.end(RunEnd::Broken);
                    return RelayEnd::Broken;
                }
            };
            if let Some(events) = events {
                guard.answered();
                progress.last_event = events.last_id;
                match sender.send(events.bytes, exchange.deadline).await {
                    Ok(()) => {}
                    Err(NotQueued::CallerLeft) => return RelayEnd::CallerLeft,
                    Err(NotQueued::DeadlineExceeded) => return RelayEnd::DeadlineExceeded,
                    Err(NotQueued::Unread) => {
                        context.metrics.count(EventKind::UnreadStream, "ended");
                        if let Some(suppressed) = UNREAD_LOG.due() {
                            log::warn!(request = &*exchange.request_id, client:? = exchange.client, suppressed; "stream not read by its caller");
                        }
                        return RelayEnd::Unread;
                    }
                }
            }
        }
        let frame = tokio::select! {
            frame = timeout_at(exchange.deadline, rest.frame()) => frame,
            () = sender.queue.closed() => return RelayEnd::CallerLeft,
        };
        match frame {
            Ok(Some(Ok(frame))) => next = frame.into_data().ok(),
            Ok(Some(Err(error))) => {
                log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, error:% = error; "stream ended early");
                guard.broken();
                return RelayEnd::Broken;
            }
            Ok(None) => break,
            Err(_) => {
                guard.end(RunEnd::Silent);
                return RelayEnd::DeadlineExceeded;
            }
        }
    }
    if part == StreamPart::Rest && progress.last_event == last_before {
        log::warn!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
            last_event = last_before.unwrap_or(0); "response to a resumed stream brought no event; dropped");
        guard.end(RunEnd::Broken);
        return RelayEnd::Broken;
    }
    let partial_bytes = splitter.partial_bytes();
    let end = body_end::check(
        exchange,
        context,
        &grant.endpoint,
        &headers,
        partial_bytes,
        connection,
    );
    let reusable = match end.await {
        Ok(connection) => connection.filter(|_| !closes_connection(&headers)),
        Err(cause) => {
            log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
                partial_bytes, error:% = cause; "stream ended early");
            guard.broken();
            return RelayEnd::Broken;
        }
    };
    guard.end(RunEnd::Complete);
    if let Some(connection) = reusable {
        context
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
    RelayEnd::Complete
}
