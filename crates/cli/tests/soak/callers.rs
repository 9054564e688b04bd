//! Clients of the soak: they resolve node addresses, reuse connections and verify
//! each response.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use flamingolock_gateway::http_client::Connection;
use flamingolock_gateway::payload::Payload;
use http::Request;
use http_body_util::BodyExt;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::entry_site::{PROMPT, event_builds, event_ids};
use crate::soak::cluster::{Cluster, Scope};

/// Timeout for a whole response, also sent as the request's deadline.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a caller uses the addresses that the directory returned.
const RESOLUTION_TTL: Duration = Duration::from_secs(2);

/// Timeout for opening a connection, and for a directory query.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that no endpoint executed counts as lost only when it was sent longer
/// ago than this.
const LOSS_GRACE: Duration = Duration::from_millis(200);

/// How often a caller returns to a stream that broke off, and the pause before, in ms.
const RETURNS: usize = 20;
const RETURN_PAUSE_MS: std::ops::RangeInclusive<u64> = 10..=120;

/// Number of events in a complete stream.
const EVENTS_PER_STREAM: u64 = 10;

/// Share of requests that their caller abandons after 15 ms.
const ABANDON_PROBABILITY: f64 = 0.03;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A resumable stream.
    Draft,
    /// A stream that must not be resumed.
    Tag,
    /// A request that must be executed at most once.
    Book,
    /// A request that may be repeated.
    Look,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Draft, Self::Tag, Self::Book, Self::Look];

    fn path(self) -> &'static str {
        match self {
            Self::Draft => "/draft/a",
            Self::Tag => "/tag/a",
            Self::Book => "/book/a",
            Self::Look => "/look/a",
        }
    }

    /// Service of its route.
    pub fn service(self) -> &'static str {
        if self.is_stream() { "engines" } else { "desk" }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Tag)
    }

    /// True when it must be executed at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Tag | Self::Book)
    }
}

/// The result of one request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    /// Node that it was sent to.
    pub node: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// HTTP status; 0 when there was no response.
    pub status: u16,
    /// True when its caller left on purpose.
    pub abandoned: bool,
    /// True when the status was 200 and the response complete, a stream with all of
    /// its events.
    pub served: bool,
}

/// A response as received, with the parts that are checked.
struct Answer {
    status: u16,
    signed: bool,
    id: Option<String>,
    body: String,
    complete: bool,
}

/// A resumable stream that broke off, with the events that its caller has.
struct Stream {
    id: String,
    last_event: u64,
    builds: BTreeSet<String>,
    /// True if its caller names the request that began it when it returns.
    is_named: bool,
}

impl Stream {
    /// The stream of a response; none if it cannot be resumed or has no whole event.
    fn of(kind: RequestKind, id: &str, outcome: &Outcome) -> Option<Self> {
        let Outcome::Answered(answer) = outcome else {
            return None;
        };
        let last_event = *event_ids(&answer.body).last()?;
        (kind == RequestKind::Draft && answer.status == 200).then(|| Self {
            id: id.to_owned(),
            last_event,
            builds: owned_builds(answer),
            is_named: true,
        })
    }
}

fn owned_builds(answer: &Answer) -> BTreeSet<String> {
    let builds = event_builds(&answer.body);
    builds.into_iter().map(ToOwned::to_owned).collect()
}

/// How a request ended at its caller.
enum Outcome {
    Answered(Answer),
    /// The connection ended without a response (`in_time`), or no whole response came
    /// within [`RESPONSE_TIMEOUT`].
    Interrupted {
        in_time: bool,
    },
    Abandoned,
}

/// Sends requests one after the other until `stop` is set, and returns their records.
pub async fn run_caller(
    cluster: Arc<Cluster>,
    name: usize,
    mut rng: ChaCha8Rng,
    stop: Arc<AtomicBool>,
) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    let mut resolved_nodes: Vec<usize> = Vec::new();
    let mut resolved_at = None;
    let mut open_connection: Option<(usize, Connection)> = None;
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.random_range(2..60))).await;
        if resolved_at.is_none_or(|at: Instant| at.elapsed() > RESOLUTION_TTL)
            || resolved_nodes.is_empty()
        {
            let node = rng.random_range(0..cluster.nodes.len());
            if let Some(found) = resolve(&cluster, node).await {
                open_connection = open_connection.filter(|(node, _)| found.contains(node));
                resolved_nodes = found;
                resolved_at = Some(Instant::now());
            }
        }
        let Some(node) = open_connection
            .as_ref()
            .map(|(node, _)| *node)
            .or_else(|| resolved_nodes.choose(&mut rng).copied())
        else {
            continue;
        };
        let opened = match open_connection.take() {
            Some((_, connection)) => Ok(connection),
            None => Connection::open(cluster.addresses[node].0, CONNECT_TIMEOUT).await,
        };
        let Ok(mut connection) = opened else {
            resolved_nodes.retain(|other| *other != node);
            continue;
        };
        let kind = *RequestKind::ALL.choose(&mut rng).expect("kinds");
        let id = format!("c{name}-{}", records.len());
        let abandons = rng.random_bool(ABANDON_PROBABILITY);
        let sent_at = Instant::now();
        let request = build_request(kind, &id, name, None);
        let outcome = exchange(&mut connection, request, abandons).await;
        let stream = Stream::of(kind, &id, &outcome);
        let (record, reusable) = check_outcome(&cluster, node, kind, &id, sent_at, outcome);
        records.push(record);
        if let Some(mut stream) = stream.filter(|_| !reusable) {
            if cluster.callers_return {
                records.extend(return_to(&cluster, &mut stream, name, &mut rng).await);
                continue;
            }
            let node = resolved_nodes.choose(&mut rng).copied().unwrap_or(node);
            let id = format!("{}-again", stream.id);
            records.extend(resume(&cluster, node, &mut stream, &id, name).await);
        }
        if reusable && rng.random_bool(0.9) {
            open_connection = Some((node, connection));
        }
    }
    records
}

/// Queries a node's directory for the nodes to connect to. None when the query fails.
async fn resolve(cluster: &Cluster, node: usize) -> Option<Vec<usize>> {
    let get = |path| Request::get(path).body(Payload::default()).ok();
    let query = async {
        let mut connection = Connection::open(cluster.addresses[node].1, CONNECT_TIMEOUT)
            .await
            .ok()?;
        let request = get("/resolve?Name=site.example&Region=region&Zone=zone-a")?;
        let answer = connection.send(request).await.ok()?;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<serde_json::Value>(&body).ok()
    };
    let answer = timeout(CONNECT_TIMEOUT, query).await.ok()??;
    let found = answer["Addresses"].as_array()?.iter().filter_map(|text| {
        let address: SocketAddr = text.as_str()?.parse().ok()?;
        cluster
            .addresses
            .iter()
            .position(|(callers, _)| *callers == address)
    });
    Some(found.collect())
}

/// Resumes a stream at any node, again and again, until it is complete or known to be wrong.
/// Half of the callers do not name the request that began it.
async fn return_to(
    cluster: &Cluster,
    stream: &mut Stream,
    caller: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    stream.is_named = rng.random_bool(0.5);
    for number in 1..=RETURNS {
        sleep(Duration::from_millis(rng.random_range(RETURN_PAUSE_MS))).await;
        let node = rng.random_range(0..cluster.nodes.len());
        let id = format!("{}-again-{number}", stream.id);
        let record = resume(cluster, node, stream, &id, caller).await;
        records.extend(record);
        if stream.last_event == EVENTS_PER_STREAM || stream.builds.len() > 1 {
            break;
        }
    }
    records
}

/// Resumes a stream on a new connection, and checks that its events continue at the
/// software version that began it.
async fn resume(
    cluster: &Cluster,
    node: usize,
    stream: &mut Stream,
    id: &str,
    caller: usize,
) -> Option<RequestRecord> {
    let address = cluster.addresses[node].0;
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.ok()?;
    let id = id.to_owned();
    let request = build_request(RequestKind::Draft, &id, caller, Some(stream));
    let sent_at = Instant::now();
    let mut record = RequestRecord {
        id,
        kind: RequestKind::Draft,
        node,
        sent_at,
        ended_at: sent_at,
        status: 0,
        abandoned: false,
        served: false,
    };
    let Outcome::Answered(answer) = exchange(&mut connection, request, false).await else {
        return Some(record);
    };
    record.status = answer.status;
    record.ended_at = Instant::now();
    cluster.record_event(format!(
        "{}: status {} after event {}",
        record.id, answer.status, stream.last_event
    ));
    if answer.status != 200 {
        return Some(record);
    }
    let events = event_ids(&answer.body);
    let last = events.last().copied().unwrap_or(stream.last_event);
    if !events.iter().copied().eq(stream.last_event + 1..=last) {
        cluster.record_violation(format!(
            "{}: wrong sequence of events {events:?}",
            record.id
        ));
    }
    if answer.complete && last != EVENTS_PER_STREAM {
        cluster.record_violation(format!(
            "{}: ended as complete after event {last}",
            record.id
        ));
    }
    stream.last_event = last;
    stream.builds.extend(owned_builds(&answer));
    if stream.builds.len() > 1 {
        let builds = &stream.builds;
        cluster.record_violation(format!("{}: events of {builds:?}", record.id));
    }
    record.served = answer.complete;
    Some(record)
}

/// Builds a request of a caller; `resumed` is the stream that it resumes, if any.
fn build_request(
    kind: RequestKind,
    id: &str,
    caller: usize,
    resumed: Option<&Stream>,
) -> Request<Payload> {
    let mut request = Request::post(kind.path())
        .header("host", "site.example")
        .header("authorization", format!("Bearer key-{}", 1 + caller % 2))
        .header("request-id", id)
        .header("deadline-ms", RESPONSE_TIMEOUT.as_millis().to_string());
    if kind.is_stream() {
        for (name, value) in PROMPT {
            request = request.header(name, value);
        }
    }
    if let Some(stream) = resumed {
        request = request.header("last-event-id", stream.last_event);
        if stream.is_named {
            request = request.header("resumes", &stream.id);
        }
    }
    request
        .body(Bytes::from_static(b"the body").into())
        .expect("a request")
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Payload>,
    abandons: bool,
) -> Outcome {
    let exchange = async {
        let answer = connection.send(request).await.ok()?;
        let text = |name: &str| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
        let (status, id) = (answer.status().as_u16(), text("request-id"));
        let signed = text("response-signature").is_some();
        let mut body = Vec::new();
        let mut rest = answer.into_body();
        let complete = loop {
            match rest.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => body.extend(frame.into_data().unwrap_or_default()),
            }
        };
        Some(Answer {
            status,
            signed,
            id,
            body: String::from_utf8_lossy(&body).into_owned(),
            complete,
        })
    };
    let time_limit = if abandons {
        Duration::from_millis(15)
    } else {
        RESPONSE_TIMEOUT
    };
    match timeout(time_limit, exchange).await {
        Ok(Some(answer)) => Outcome::Answered(answer),
        Ok(None) => Outcome::Interrupted { in_time: true },
        Err(_) if abandons => Outcome::Abandoned,
        Err(_) => Outcome::Interrupted { in_time: false },
    }
}

/// Checks the outcome of a request. Also returns whether its connection can be reused.
fn check_outcome(
    cluster: &Cluster,
    node: usize,
    kind: RequestKind,
    id: &str,
    sent_at: Instant,
    outcome: Outcome,
) -> (RequestRecord, bool) {
    let mut record = RequestRecord {
        id: id.to_owned(),
        kind,
        node,
        sent_at,
        ended_at: Instant::now(),
        status: 0,
        abandoned: false,
        served: false,
    };
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Abandoned => {
            record.abandoned = true;
            return (record, false);
        }
        Outcome::Interrupted { in_time } => {
            check_interruption(cluster, node, id, sent_at, in_time);
            return (record, false);
        }
    };
    record.status = answer.status;
    if answer.status == 200 {
        record.served = check_success(cluster, kind, id, &answer);
    } else if answer.signed && answer.status != 500 {
        cluster.record_violation(format!("{id}: status {} with a signature", answer.status));
    } else if matches!(answer.status, 401 | 403 | 404) {
        cluster.record_violation(format!("{id}: denied with status {}", answer.status));
    }
    if !answer.complete {
        check_interruption(cluster, node, id, sent_at, true);
    }
    (record, answer.complete)
}

/// Checks a response with status 200; true when it is complete.
fn check_success(cluster: &Cluster, kind: RequestKind, id: &str, answer: &Answer) -> bool {
    if !answer.signed || answer.id.as_deref() != Some(id) {
        cluster.record_violation(format!(
            "{id}: success without a signature or with the id of another request"
        ));
    }
    if !kind.is_stream() {
        if answer.complete && answer.body != format!("done {id}") {
            cluster.record_violation(format!("{id}: wrong body {:?}", answer.body));
        }
        return answer.complete;
    }
    let events = event_ids(&answer.body);
    let last = events.len() as u64;
    if !events.iter().copied().eq(1..=last) {
        cluster.record_violation(format!("{id}: wrong sequence of events {events:?}"));
    }
    if answer.complete && last != EVENTS_PER_STREAM {
        cluster.record_violation(format!("{id}: ended as complete after event {last}"));
    }
    let builds = event_builds(&answer.body);
    if builds.len() > 1 {
        cluster.record_violation(format!("{id}: events of {builds:?}"));
    }
    answer.complete && last == EVENTS_PER_STREAM
}

/// A shutdown cuts no request: neither faults of endpoints nor of the store
/// excuse it, only those of the node itself.
fn check_interruption(cluster: &Cluster, node: usize, id: &str, sent_at: Instant, in_time: bool) {
    let now = Instant::now();
    let planned = cluster.any_fault_between(|scope| scope == Scope::Planned(node), sent_at, now);
    let excused = cluster.any_fault_between(
        |scope| {
            matches!(scope, Scope::Node(index) | Scope::Links(index) if index == node)
                || matches!(scope, Scope::Endpoint(_) | Scope::Refusals(_))
        },
        sent_at,
        now,
    );
    // A request that arrives while the node closes the connection and that was not
    // forwarded is safe for its caller to send again.
    let was_accepted = cluster.executions(id) > 0 || sent_at.elapsed() > LOSS_GRACE;
    if planned && in_time && was_accepted && !excused {
        cluster.record_violation(format!("{id}: interrupted by the shutdown of node {node}"));
    } else {
        cluster.record_event(format!("{id}: no complete response from node {node}"));
    }
}
