//! Callers that discover their entry nodes, send requests to them and verify every
//! answer. The list of entries is cached for the lifetime that the system returns.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use flamingolock_core::prelude::*;
use flamingolock_node::sse::SseReader;
use flamingolock_standins::answer::ExpectedAnswer;
use flamingolock_standins::service::expected_reply;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;

use crate::outcome::{End, Outcome};
use crate::workload::{Arrival, MODEL, Work, workspace_key};

/// Maximum number of attempts before a request without an outcome counts as lost.
const MAX_ATTEMPTS: usize = 4;

/// Maximum time without a response or a further event of a stream.
const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);

/// Callers of all workspaces, with a shared connection pool.
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    seeds: Vec<SocketAddr>,
    entries: Mutex<std::collections::BTreeMap<WorkspaceId, EntryList>>,
}

#[derive(Clone)]
struct EntryList {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
    token: Option<String>,
}

#[derive(Deserialize)]
struct EntriesBody {
    entries: Vec<EntryBody>,
    lifetime_ms: u64,
    #[serde(default)]
    token: Option<String>,
}

#[derive(Deserialize)]
struct EntryBody {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
    #[serde(default)]
    error: Option<ErrorBody>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    prompt_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    code: String,
    #[serde(default)]
    outcome: Option<String>,
}

#[derive(Deserialize)]
struct ErrorEnvelope {
    error: ErrorBody,
}

impl Caller {
    /// Returns callers that request their entries from any of `seeds`.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Self {
            client,
            seeds,
            entries: Mutex::default(),
        }
    }

    /// Sends one request, with further attempts where needed, and returns its outcome.
    pub async fn run(&self, arrival: &Arrival) -> Outcome {
        let mut outcome = Outcome {
            number: arrival.number,
            at: arrival.at,
            workspace: arrival.workspace.clone(),
            kind: arrival.kind.clone(),
            end: End::Lost,
            response_us: 0,
            max_gap_us: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            at_most_once_body: None,
        };
        match &arrival.work {
            Work::Completion {
                prompt,
                answer_tokens,
            } => {
                self.complete(arrival, prompt, *answer_tokens, &mut outcome)
                    .await;
            }
            Work::Call { body, at_most_once } => {
                self.call(arrival, body, *at_most_once, &mut outcome).await;
            }
        }
        outcome
    }

    async fn complete(
        &self,
        arrival: &Arrival,
        prompt: &str,
        answer_tokens: u32,
        outcome: &mut Outcome,
    ) {
        let mut progress = StreamProgress::new(prompt, answer_tokens);
        for attempt in 0..MAX_ATTEMPTS {
            let Some((entry, _)) = self.entry(&arrival.workspace, attempt).await else {
                continue;
            };
            let Ok(request) = completion_request(entry, arrival, prompt, answer_tokens, &progress)
            else {
                return;
            };
            let Some(response) = self.send(request).await else {
                self.expire_entries(&arrival.workspace);
                continue;
            };
            if response.status() != StatusCode::OK {
                outcome.end = error_end(response).await;
                if !is_leaving(&outcome.end) {
                    return;
                }
                self.expire_entries(&arrival.workspace);
                continue;
            }
            if let Some(end) = progress.read_stream(response, outcome).await {
                outcome.end = end;
                return;
            }
            // The connection failed; the next attempt resumes the stream.
            outcome.end = End::Incomplete;
            self.expire_entries(&arrival.workspace);
        }
    }

    async fn call(&self, arrival: &Arrival, body: &str, at_most_once: bool, outcome: &mut Outcome) {
        outcome.at_most_once_body = at_most_once.then(|| body.to_owned());
        let started = Instant::now();
        let mut key = None;
        for attempt in 0..MAX_ATTEMPTS {
            let Some((entry, token)) = self.entry(&arrival.workspace, attempt).await else {
                continue;
            };
            let key = key.get_or_insert_with(|| {
                // The hash allows one token to be used for many keys.
                token.map_or_else(
                    || ulid::Ulid::new().to_string(),
                    |token| format!("e.{token}.{}", hash(body)),
                )
            });
            let uri = format!("http://{entry}/v1/calls/{}", arrival.kind);
            let mut request = Request::post(uri)
                .header(header::AUTHORIZATION, bearer(&arrival.workspace))
                .header(header::CONTENT_TYPE, "application/json");
            if at_most_once {
                request = request.header("idempotency-key", key.as_str());
            }
            let Ok(request) = request.body(Full::new(Bytes::from(body.to_owned()))) else {
                return;
            };
            let Some(response) = self.send(request).await else {
                self.expire_entries(&arrival.workspace);
                continue;
            };
            outcome.end = call_end(response, body).await;
            if is_leaving(&outcome.end) {
                self.expire_entries(&arrival.workspace);
                continue;
            }
            outcome.response_us = started.elapsed().as_micros() as u64;
            return;
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
        let answer = tokio::time::timeout(SILENCE_TIMEOUT, self.client.request(request)).await;
        answer.ok()?.ok()
    }

    /// Returns the entry for the given attempt from the workspace's list, and the token of
    /// that list.
    async fn entry(
        &self,
        workspace: &WorkspaceId,
        attempt: usize,
    ) -> Option<(SocketAddr, Option<String>)> {
        let list = match self.valid_entries(workspace) {
            Some(list) => list,
            None => self.fetch_entries(workspace, attempt).await?,
        };
        let address = *list.addresses.get(attempt % list.addresses.len().max(1))?;
        Some((address, list.token))
    }

    /// Returns the addresses to request entries from: the last known entries, then the
    /// seeds.
    fn entry_sources(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = entries.get(workspace).map(|list| list.addresses.clone());
        let mut sources = latest.unwrap_or_default();
        sources.extend(
            self.seeds
                .iter()
                .filter(|seed| !sources.contains(seed))
                .copied()
                .collect::<Vec<_>>(),
        );
        sources
    }

    fn valid_entries(&self, workspace: &WorkspaceId) -> Option<EntryList> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .get(workspace)
            .filter(|list| list.expires_at > Instant::now())
            .cloned()
    }

    /// Expires the list, so that the next attempt requests a new one. The known addresses
    /// are kept as sources.
    fn expire_entries(&self, workspace: &WorkspaceId) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(list) = entries.get_mut(workspace) {
            list.expires_at = Instant::now();
        }
    }

    async fn fetch_entries(&self, workspace: &WorkspaceId, attempt: usize) -> Option<EntryList> {
        let first = flamingolock_core::rendezvous::key(workspace.as_str()) as usize;
        let sources = self.entry_sources(workspace);
        for offset in 0..sources.len() {
            let seed = sources[(first + attempt + offset) % sources.len()];
            let request = Request::get(format!("http://{seed}/v1/entries"))
                .header(header::AUTHORIZATION, bearer(workspace))
                .body(Full::default())
                .ok()?;
            let response =
                tokio::time::timeout(Duration::from_secs(1), self.client.request(request));
            let Ok(Ok(response)) = response.await else {
                continue;
            };
            let Ok(body) = response.into_body().collect().await else {
                continue;
            };
            let Ok(body) = serde_json::from_slice::<EntriesBody>(&body.to_bytes()) else {
                continue;
            };
            if body.entries.is_empty() {
                continue;
            }
            let list = EntryList {
                addresses: body.entries.iter().map(|entry| entry.address).collect(),
                expires_at: Instant::now() + Duration::from_millis(body.lifetime_ms),
                token: body.token,
            };
            let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries.insert(workspace.clone(), list.clone());
            return Some(list);
        }
        None
    }
}

fn bearer(workspace: &WorkspaceId) -> String {
    format!("Bearer {}", workspace_key(workspace))
}

fn hash(body: &str) -> String {
    format!("{:016x}", flamingolock_core::rendezvous::key(body))
}

async fn error_end(response: Response<Incoming>) -> End {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let bytes = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let Ok(envelope) = serde_json::from_slice::<ErrorEnvelope>(&bytes) else {
        return End::Refused {
            status,
            code: String::new(),
        };
    };
    let code = envelope.error.code;
    match envelope.error.outcome.as_deref() {
        Some("not_run") => End::NotRun { code },
        Some("unknown") => End::Unknown { code },
        _ => End::Refused { status, code },
    }
}

/// Returns true if a node that is shutting down rejected the request.
fn is_leaving(end: &End) -> bool {
    match end {
        End::Refused { code, .. } | End::NotRun { code } => code == "leaving",
        _ => false,
    }
}

async fn call_end(response: Response<Incoming>, body: &str) -> End {
    if response.status() != StatusCode::OK {
        return error_end(response).await;
    }
    let id = response
        .headers()
        .get("x-call-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let Ok(answer) = response.into_body().collect().await else {
        return End::Incomplete;
    };
    if answer.to_bytes() == expected_reply(&id, body.as_bytes()).as_bytes() {
        End::Answered
    } else {
        End::Mixed
    }
}

fn completion_request(
    entry: SocketAddr,
    arrival: &Arrival,
    prompt: &str,
    answer_tokens: u32,
    progress: &StreamProgress,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::post(format!("http://{entry}/v1/completions"))
        .header(header::AUTHORIZATION, bearer(&arrival.workspace))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-kind", arrival.kind.as_str());
    let mut body = serde_json::json!({
        "model": MODEL, "prompt": prompt, "max_tokens": answer_tokens, "stream": true,
    });
    if let Some(id) = &progress.last_id {
        request = request.header("last-event-id", id);
        body["answer_so_far"] = progress.expected.text(progress.index).into();
    }
    request.body(Full::new(Bytes::from(body.to_string())))
}

/// State of a completion stream across attempts.
struct StreamProgress {
    expected: ExpectedAnswer,
    answer_tokens: u32,
    index: u32,
    finished: bool,
    last_id: Option<String>,
    started: Instant,
    last: Instant,
}

impl StreamProgress {
    fn new(prompt: &str, answer_tokens: u32) -> Self {
        let started = Instant::now();
        Self {
            expected: ExpectedAnswer::new(prompt.as_bytes()),
            answer_tokens,
            index: 0,
            finished: false,
            last_id: None,
            started,
            last: started,
        }
    }

    /// Reads a stream to its end and compares every token with the expected one. Returns
    /// none if the connection failed before the end.
    async fn read_stream(
        &mut self,
        response: Response<Incoming>,
        outcome: &mut Outcome,
    ) -> Option<End> {
        let mut reader = SseReader::new(response.into_body());
        loop {
            let data = match tokio::time::timeout(SILENCE_TIMEOUT, reader.next()).await {
                Err(_) | Ok(Err(_) | Ok(None)) => return None,
                Ok(Ok(Some(data))) => data,
            };
            if data == "[DONE]" {
                let whole = self.finished && self.index == self.answer_tokens;
                return Some(if whole {
                    End::Answered
                } else {
                    End::Incomplete
                });
            }
            let Ok(chunk) = serde_json::from_str::<ChunkBody>(&data) else {
                return Some(End::Mixed);
            };
            if let Some(error) = chunk.error {
                return Some(End::Failed { code: error.code });
            }
            if let Some(usage) = chunk.usage {
                outcome.prompt_tokens = usage.prompt_tokens;
                outcome.cached_tokens = usage.prompt_tokens_details.cached_tokens;
            }
            for choice in chunk.choices {
                if choice.finish_reason.is_some() {
                    self.finished = true;
                    continue;
                }
                if choice.text != self.expected.token(self.index) {
                    return Some(End::Mixed);
                }
                self.record_token(outcome);
                self.last_id = reader.last_id().map(str::to_owned);
            }
        }
    }

    fn record_token(&mut self, outcome: &mut Outcome) {
        let now = Instant::now();
        if self.index == 0 {
            outcome.response_us = (now - self.started).as_micros() as u64;
        } else {
            let gap = (now - self.last).as_micros() as u64;
            outcome.max_gap_us = outcome.max_gap_us.max(gap);
        }
        self.last = now;
        self.index += 1;
    }
}
