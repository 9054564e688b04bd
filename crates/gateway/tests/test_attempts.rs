//! What an attempt tells the control thread of the path to its endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_gateway::attempt::{AttemptOutcome, attempt};
use flamingolock_gateway::catalog::{RequestKind, Route};
use flamingolock_gateway::connection_pool::Pool;
use flamingolock_gateway::control::{Event, Grant, start};
use flamingolock_gateway::dialect::{KeyedRecord, RequestHead};
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_gateway::exchange::{Exchange, Origin, ProcessEnd, ProxyContext};
use flamingolock_gateway::fingerprint::Fingerprints;
use flamingolock_gateway::metrics::Metrics;
use flamingolock_gateway::payload::Payload;
use flamingolock_gateway::receive_buffer::WideBuffers;
use flamingolock_platform::DIALECT;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

const LIMIT: Duration = Duration::from_secs(10);

fn exchange() -> Exchange {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        backends: Vec::new(),
        kind: RequestKind::Safe,
        resumable: false,
        timeout: LIMIT,
        target: LIMIT,
        max_attempts: 1,
        priority: 0,
        public: true,
    };
    Exchange {
        request_id: "r-1".into(),
        method: Method::GET,
        target: PathAndQuery::from_static("/"),
        headers: HeaderMap::new(),
        body: Payload::default(),
        head: RequestHead::default(),
        fingerprints: Fingerprints {
            request: 1,
            prompt: None,
        },
        route: Arc::new(route),
        service: "engines".into(),
        workspace: None,
        origin: Origin::Caller,
        client: None,
        catalog_version: 1,
        started: Instant::now(),
        deadline: Instant::now() + LIMIT,
    }
}

fn grant(endpoint: Endpoint) -> Grant {
    Grant {
        run_number: 1,
        endpoint: Arc::new(endpoint),
        expected_ms: 0.0,
        weights: None,
        salt: None,
        kv_source: None,
        kv_sink: None,
        limit: None,
        is_brittle: false,
        max_connections: 1,
    }
}

/// Waits until the counters name this outcome.
async fn counted(metrics: &Metrics, outcome: &str) {
    let label = format!("outcome=\"{outcome}\"");
    let seen = async {
        while !metrics.text().contains(&label) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, seen).await.expect("it is counted");
}

fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"Service":"engines","Address":"{address}","Zone":"zone-a","Version":"v1","Slots":4,
        "State":"ready","Seq":1,"born":1}}"#
    )
}

#[tokio::test]
async fn answer_over_a_connection_from_before_a_cut_does_not_end_the_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let text = entry(listener.local_addr().expect("its address"));
    let metrics = Arc::new(Metrics::default());
    let (effects, _effects) = mpsc::unbounded_channel();
    let handle = start(common::settings(), &DIALECT, metrics.clone(), effects).expect("a thread");
    let record = KeyedRecord {
        key: "servers/e0".to_owned(),
        value: Some(Bytes::from(text.clone())),
        offset: 1,
    };
    handle.send(Event::EndpointRecords(vec![record]));
    let endpoint = (DIALECT.endpoint_entry)("servers/e0", text.as_bytes()).expect("an entry");
    let key = endpoint.key();
    let context = ProxyContext {
        metrics: Arc::default(),
        memory: flamingolock_gateway::memory_budget::MemoryBudget::default(),
        wide_buffers: WideBuffers::with_limit(0, Arc::default()),
        process_end: ProcessEnd::channel().1,
        handle: handle.clone(),
        dialect: &DIALECT,
        pool: Pool::default(),
        node_pool: Pool::default(),
    };
    let request = exchange();
    let answered = attempt(&request, &context, grant(endpoint), None, None);
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = [0; 1_024];
        let count = stream.read(&mut received).await.expect("a request");
        assert!(count > 0);
        for _ in 0..2 {
            handle.send(Event::EndpointProbed(key, false));
        }
        counted(&metrics, "cut_off").await;
        let refusal = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(refusal).await.expect("the client reads");
        stream
    };
    let (outcome, _stream) = tokio::join!(answered, server);
    assert!(
        matches!(outcome, AttemptOutcome::ErrorResponse(_)),
        "{outcome:?}"
    );
    counted(&metrics, "error_answer").await;
    assert!(!metrics.text().contains("restored"), "{}", metrics.text());
    handle.send(Event::Stop);
}
