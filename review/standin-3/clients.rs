//! Clients: each request on a connection of its own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Record;
use crate::engine::MODEL;
use crate::http::{read_body, read_chunk, read_head};

/// Keys of the tenants.
pub const KEYS: [&str; 2] = ["ctnfzs989anu6wsjnban", "fqasnmgkcuyj8pjbvk9m"];

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Id of a new client attempt.
pub fn new_id() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// The operator's configuration: a route for resumable streams, one for others, one for unsafe
/// and one for safe requests.
pub fn configuration() -> String {
    let engine = "\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":258372,\"TokenKvBytes\":327680,\"LinkMbps\":550000.0,\"Moves\":true,\"Backups\":true,\"Stride\":6,\"MaxInflight\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"MODEL\"}]}".replace("MODEL", MODEL);
    let route = |name: &str, prefix: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"Service\":\"{service}\",\"Public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "draft",
            "/draft/",
            "stream",
            "llm",
            "\"TimeoutMs\":15000,\"TargetLatencyMs\":600,\"Priority\":1,\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":400",
        ),
        route(
            "check",
            "/check/",
            "stream",
            "llm",
            "\"TimeoutMs\":3000,\"TargetLatencyMs\":400,\"Priority\":0,\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":400",
        ),
        route(
            "book",
            "/book/",
            "unsafe",
            "desk",
            "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,\"MaxAttempts\":1,\"Sticky\":false,\"Resumable\":false",
        ),
        route(
            "look",
            "/look/",
            "safe",
            "desk",
            "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false",
        ),
    ];
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false,{engine}}},{{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"sese880\",\"ApiKeys\":[\"{}\"],\"Priority\":1,\"Isolated\":false}},{{\"Name\":\"tavo12\",\"ApiKeys\":[\"{}\"],\"Priority\":1,\"Isolated\":false}}]}}",
        routes.join(","),
        KEYS[0],
        KEYS[1]
    )
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub request: String,
    /// 0 if there was no answer.
    pub status: u16,
    pub is_signed: bool,
    /// Events of a stream: id and the software version of the engine that made it.
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
    /// Body of an answer that is no stream.
    pub body: Vec<u8>,
    pub sent_ms: u64,
    pub ended_ms: u64,
}

/// A request to a node.
pub struct Call<'a> {
    pub node: SocketAddr,
    /// Such as `POST /book/x`.
    pub line: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: String,
    pub body: &'a [u8],
}

/// Headers of a prompt with these parts, each of so many tokens.
pub fn prompt(parts: &[(String, u32)], output: u32) -> String {
    let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
    let parts: Vec<String> = parts
        .iter()
        .map(|(id, tokens)| format!("{id}:{tokens}"))
        .collect();
    format!(
        "Model: {MODEL}\r\nToken-Usage: {tokens},{output}\r\nPrefix-Hash: {}\r\n",
        parts.join(",")
    )
}

/// Sends a request and reads its answer to the end.
pub fn send(record: &Record, call: &Call) -> Answer {
    let mut answer = Answer {
        request: new_id(),
        sent_ms: record.now_ms(),
        ..Answer::default()
    };
    exchange(record, call, &mut answer);
    answer.ended_ms = record.now_ms();
    record.write(format!(
        "client: {} {} of {} got {} signed={} whole={} events={} after {} ms",
        call.line,
        answer.request,
        call.node,
        answer.status,
        answer.is_signed,
        answer.is_whole,
        answer.events.len(),
        answer.ended_ms - answer.sent_ms
    ));
    answer
}

fn exchange(record: &Record, call: &Call, answer: &mut Answer) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&call.node, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 1_000)));
    let head = format!(
        "{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n{}\r\n",
        call.line,
        answer.request,
        call.deadline_ms,
        call.key,
        call.body.len(),
        call.headers
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(call.body);
    record.write(format!(
        "client: {} {} to {}",
        call.line, answer.request, call.node
    ));
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader)?;
    answer.status = head.status();
    answer.is_signed = head.header("response-signature").is_some();
    if head.header("transfer-encoding").is_none() {
        read_body(&mut reader, &mut head);
        answer.is_whole = head.is_whole;
        answer.body = head.body;
        return Some(());
    }
    let mut text = String::new();
    while let Some(chunk) = read_chunk(&mut reader, &mut answer.is_whole) {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let build = data.and_then(|data| data.split(' ').nth(1)).unwrap_or("");
            answer.events.push((id, build.to_owned()));
            text = rest.to_owned();
        }
    }
    Some(())
}
