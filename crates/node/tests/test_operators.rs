//! Tests of the operators' port on its own, without the rest of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use flamingolock_core::prelude::*;
use flamingolock_node::control;
use flamingolock_node::decisions::DecisionLog;
use flamingolock_node::metrics::{Metrics, RequestOutcome};
use flamingolock_node::operators::{OperatorServer, OperatorState};
use flamingolock_node::settings::Settings;
use flamingolock_node::view::{DrainPhase, SharedView, View};
use flamingolock_testutils::http::{HttpResponse, call};
use serde_json::json;

const TOKEN: &str = "token-of-operators";

struct TestPort {
    listening: OperatorServer,
    view: SharedView,
    metrics: Arc<Metrics>,
    decisions: Arc<DecisionLog>,
}

fn start(started: Millis) -> TestPort {
    let mut settings = Settings::default();
    settings.node.name = InstanceId::from("entry-1");
    settings.node.zone = Zone::from("zone-1");
    settings.operators.listen = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    TOKEN.clone_into(&mut settings.operators.token);
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let metrics = Arc::new(Metrics::default());
    let decisions = Arc::new(DecisionLog::new(settings.node.name.clone()));
    let state = OperatorState {
        settings: Arc::new(settings),
        incarnation: Incarnation(7),
        view: Arc::clone(&view),
        decisions: Arc::clone(&decisions),
        metrics: Arc::clone(&metrics),
        started,
    };
    let listening = OperatorServer::start(state)
        .expect("the port is free")
        .expect("an address is set");
    TestPort {
        listening,
        view,
        metrics,
        decisions,
    }
}

impl TestPort {
    fn get(&self, path: &str, token: &str) -> HttpResponse {
        let bearer = format!("Bearer {token}");
        call(
            self.listening.address(),
            "GET",
            path,
            &[("authorization", &bearer)],
            "",
        )
    }

    fn get_without_token(&self, path: &str) -> HttpResponse {
        call(self.listening.address(), "GET", path, &[], "")
    }
}

#[test]
fn only_health_and_readiness_need_no_token() {
    let port = start(control::now());
    for path in ["/metrics", "/status", "/explain/x", "/elsewhere"] {
        assert_eq!(port.get_without_token(path).status, 401, "{path}");
        assert_eq!(port.get(path, "").status, 401, "{path}");
        assert_eq!(port.get(path, "token-of-operator").status, 401, "{path}");
        assert_eq!(port.get(path, "token-of-operators1").status, 401, "{path}");
    }
    assert_eq!(port.get_without_token("/healthz").status, 200);
    assert_eq!(port.get_without_token("/readyz").status, 503);
    for path in ["/metrics", "/status", "/explain/x"] {
        assert_eq!(port.get(path, TOKEN).status, 200, "{path}");
    }
    assert_eq!(port.get("/elsewhere", TOKEN).status, 404);
    let other = call(port.listening.address(), "POST", "/healthz", &[], "{}");
    assert_eq!(other.status, 405);
}

#[test]
fn readiness_lists_everything_that_is_missing() {
    let port = start(control::now());
    let cases = [
        (false, 0, true, json!(["manifest", "engines", "leaving"])),
        (true, 0, false, json!(["engines"])),
        (false, 2, false, json!(["manifest"])),
        (true, 2, true, json!(["leaving"])),
    ];
    for (ready, answering, leaving, missing) in cases {
        port.view.store(Arc::new(View {
            ready,
            answering,
            phase: if leaving {
                DrainPhase::Unlisted
            } else {
                DrainPhase::Running
            },
            ..View::default()
        }));
        let answer = port.get_without_token("/readyz");
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(answer.json()["missing"], missing);
    }
    port.view.store(Arc::new(View {
        ready: true,
        answering: 1,
        ..View::default()
    }));
    assert_eq!(port.get_without_token("/readyz").status, 200);
}

#[test]
fn health_check_fails_while_the_control_thread_is_stalled() {
    // The node started long ago, and its control thread has never completed a step.
    let port = start(Millis(0));
    let answer = port.get_without_token("/healthz");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["error"]["code"], "control_silent");
    port.metrics.control_step(Duration::ZERO, control::now());
    assert_eq!(port.get_without_token("/healthz").status, 200);
}

#[test]
fn metrics_show_counts_without_workspace_labels() {
    let port = start(control::now());
    port.metrics
        .count_request("survey", RequestOutcome::Answered);
    port.metrics
        .count_request("survey", RequestOutcome::Answered);
    port.metrics.count_error("rate_limit");
    port.metrics.count_prompt(100, 60);
    port.metrics
        .observe_first_token("survey", Duration::from_millis(30));
    port.view.store(Arc::new(View {
        answering: 3,
        offset: Offset(42),
        ..View::default()
    }));
    let text = port.get("/metrics", TOKEN).body;
    for line in [
        r#"flamingolock_requests_total{kind="survey",outcome="Answered"} 2"#,
        r#"flamingolock_errors_total{code="rate_limit"} 1"#,
        "flamingolock_prompt_tokens_total 100",
        "flamingolock_cached_prompt_tokens_total 60",
        r#"flamingolock_first_token_seconds_bucket{le="0.032",kind="survey"} 1"#,
        r#"flamingolock_first_token_seconds_bucket{le="0.016",kind="survey"} 0"#,
        "flamingolock_engines_answering 3",
        "flamingolock_manifest_offset 41",
        "# EOF",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
    assert!(!text.contains("workspace"), "{text}");
}

#[test]
fn explain_lists_decisions_in_order() {
    let port = start(control::now());
    let request = RequestId::from("r1");
    for (time, action) in [(1, "route"), (2, "break"), (3, "resume")] {
        port.decisions.record(
            Millis(time),
            &request,
            action,
            "engine-1",
            "why",
            json!(null),
        );
    }
    let answer = port.get("/explain/r1", TOKEN).json();
    let actions: Vec<_> = answer["decisions"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|decision| decision["action"].clone())
        .collect();
    assert_eq!(actions, ["route", "break", "resume"]);
    let none = port.get("/explain/r2", TOKEN).json();
    assert_eq!(none["decisions"], json!([]));
}

#[test]
fn dropping_the_port_closes_and_frees_the_address() {
    let port = start(control::now());
    let address = port.listening.address();
    assert_eq!(port.get_without_token("/healthz").status, 200);
    drop(port);
    assert!(std::net::TcpStream::connect(address).is_err());
    assert!(std::net::TcpListener::bind(address).is_ok());
}

/// Guards against a server that loses readiness events and so leaves an occasional
/// request unanswered.
#[test]
fn every_one_of_many_health_checks_is_answered() {
    let port = start(control::now());
    for number in 0..2_000 {
        let answer = port.get_without_token("/healthz");
        assert_eq!(answer.status, 200, "check {number}");
    }
}

#[test]
fn idle_connections_do_not_block_requests() {
    let port = start(control::now());
    let idle_connections: Vec<_> = (0..40)
        .map(|_| std::net::TcpStream::connect(port.listening.address()).expect("a connection"))
        .collect();
    let asked = std::time::Instant::now();
    assert_eq!(port.get_without_token("/healthz").status, 200);
    assert!(asked.elapsed() < Duration::from_secs(1));
    drop(idle_connections);
}

#[test]
fn address_in_use_error_names_the_setting() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let mut settings = Settings::default();
    settings.operators.listen = taken.local_addr().ok();
    let state = OperatorState {
        decisions: Arc::new(DecisionLog::new(settings.node.name.clone())),
        settings: Arc::new(settings),
        incarnation: Incarnation(7),
        view: Arc::new(ArcSwap::from_pointee(View::default())),
        metrics: Arc::default(),
        started: control::now(),
    };
    let error = OperatorServer::start(state)
        .err()
        .expect("the port is taken");
    assert!(error.to_string().contains("operators.listen"), "{error}");
}
