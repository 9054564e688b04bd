//! Passing a stream on to the caller, over more than one engine if need be.

use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::answer::{AnswerBody, BrokenOff};
use crate::attempt::{Exchange, Means, Opened, Outcome, attempt, closes};
use crate::control::RunEnd;
use crate::event_stream::EventSplitter;
use crate::forward::{Progress, took};

/// Pieces that wait for a slow caller.
const PENDING_PIECES: usize = 16;

type Pieces = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// How passing on the answer of one engine ended.
enum Passed {
    /// The engine ended its answer properly.
    Whole,
    /// The engine's answer broke off.
    Broken,
    /// The caller left.
    CallerLeft,
    /// The time of the request is over.
    Expired,
}

/// Begins the answer to the caller; the rest follows from a task of its own.
pub fn start(
    exchange: Exchange,
    means: Means,
    progress: Progress,
    opened: Opened,
) -> Response<AnswerBody> {
    let (pieces, receiver) = mpsc::channel(PENDING_PIECES);
    let body = StreamBody::new(receiver_stream(receiver)).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = opened.status;
    let mut headers = (means.dialect.caller_headers)(&opened.headers);
    // The rest of the stream may come from another engine.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    log::info!(request = &*exchange.request, endpoint = &*opened.grant.endpoint.id, took_ms = took(&exchange);
        "stream begun");
    tokio::spawn(relay(exchange, means, progress, opened, pieces));
    response
}

fn receiver_stream<T>(receiver: mpsc::Receiver<T>) -> impl Stream<Item = T> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    })
}

async fn relay(
    exchange: Exchange,
    means: Means,
    mut progress: Progress,
    mut opened: Opened,
    pieces: Pieces,
) {
    let mut last = exchange.head.last_event;
    let mut pause = Duration::ZERO;
    progress.reached = true;
    loop {
        progress.ran += 1;
        let engine = opened.grant.endpoint.clone();
        let passed = pass_on(&exchange, &means, opened, &pieces, &mut last, &mut pause).await;
        let word = match passed {
            Passed::Whole => "complete",
            Passed::Broken => "broken",
            Passed::CallerLeft => "caller left",
            Passed::Expired => "time is over",
        };
        log::info!(request = &*exchange.request, route = exchange.route.name.as_str(), endpoint = &*engine.id,
            end = word, last_event = last.unwrap_or(0),
            longest_pause_ms = pause.as_millis() as u64, took_ms = took(&exchange); "stream ended");
        match passed {
            Passed::Whole | Passed::CallerLeft => return,
            Passed::Expired => break,
            Passed::Broken => {}
        }
        match resume(&exchange, &means, &mut progress, last).await {
            Some(next) => opened = next,
            None => break,
        }
    }
    // Without a proper end the caller sees that the stream is not complete.
    let _ = pieces.send(Err(BrokenOff)).await;
}

/// Has another engine go on behind the last event that the caller has.
async fn resume(
    exchange: &Exchange,
    means: &Means,
    progress: &mut Progress,
    last: Option<u64>,
) -> Option<Opened> {
    while exchange.route.resumable && progress.may_retry(exchange) {
        let grant = progress.place(exchange, means).await.ok()?;
        progress.tried.push(grant.endpoint.key());
        match attempt(exchange, means, grant, last, None).await {
            Outcome::Stream(opened) => return Some(*opened),
            Outcome::NotRun(_) => {}
            Outcome::Lost(_) | Outcome::Error(_) | Outcome::Whole(_) => progress.ran += 1,
            Outcome::Expired => return None,
        }
    }
    None
}

/// Passes on one engine's answer. `last` is the id of the last whole event that
/// the caller has; `pause` the longest time between two pieces.
async fn pass_on(
    exchange: &Exchange,
    means: &Means,
    opened: Opened,
    pieces: &Pieces,
    last: &mut Option<u64>,
    pause: &mut Duration,
) -> Passed {
    let Opened {
        headers,
        first,
        mut rest,
        connection,
        guard,
        grant,
        ..
    } = opened;
    let mut splitter = EventSplitter::default();
    let mut next = first;
    let mut piece_at = Instant::now();
    loop {
        if let Some(bytes) = next.take() {
            *pause = (*pause).max(piece_at.elapsed());
            piece_at = Instant::now();
            let piece = if exchange.route.resumable {
                splitter.push(&bytes, *last).map(|events| {
                    *last = events.last_id;
                    events.bytes
                })
            } else {
                Some(bytes)
            };
            if let Some(piece) = piece {
                match timeout_at(exchange.expires, pieces.send(Ok(Frame::data(piece)))).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Passed::CallerLeft,
                    Err(_) => return Passed::Expired,
                }
            }
        }
        let frame = tokio::select! {
            frame = timeout_at(exchange.expires, rest.frame()) => frame,
            () = pieces.closed() => return Passed::CallerLeft,
        };
        match frame {
            Ok(Some(Ok(frame))) => next = frame.into_data().ok(),
            Ok(Some(Err(error))) => {
                log::info!(request = &*exchange.request, endpoint = &*grant.endpoint.id, error:% = error; "stream broke off");
                guard.end(RunEnd::Broken);
                return Passed::Broken;
            }
            Ok(None) => break,
            Err(_) => {
                guard.end(RunEnd::Silent);
                return Passed::Expired;
            }
        }
    }
    let tail = splitter.rest();
    guard.end(RunEnd::Complete);
    if !closes(&headers) {
        means
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
    if !tail.is_empty() && pieces.send(Ok(Frame::data(tail))).await.is_err() {
        return Passed::CallerLeft;
    }
    Passed::Whole
}
