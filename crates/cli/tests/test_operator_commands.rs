//! `flamingoctl nodes`, `engines` and `explain` against node processes, and the
//! operators' port itself.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::Duration;

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs, free_address};
use flamingolock_testutils::http::{EventReader, call, exchange, request};
use flamingolock_testutils::process::Process;
use flamingolock_testutils::wait;
use serde_json::{Value, json};

const TOKEN: &str = "token-of-operators";

struct Fixture {
    fleet: ProcessFleet,
    key: String,
    operators: Vec<SocketAddr>,
}

/// Starts two nodes and an engine that needs `decode_ms` for each token.
fn fixture(decode_ms: u32) -> Fixture {
    let mut fleet = ProcessFleet::start(Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    ));
    let model = format!("model=\"{MODEL}\"");
    let weights = format!("weights=\"{WEIGHTS}\"");
    let decode = format!("decode_ms={decode_ms}");
    fleet.add_engine("engine-1", &[&model, &weights, &decode]);
    let mut operators = Vec::new();
    for name in ["entry-1", "entry-2"] {
        let address = free_address();
        let listen = format!("operators.listen={address}");
        let token = format!("operators.token={TOKEN}");
        fleet.add_node(name, &[&listen, &token]);
        operators.push(address);
    }
    let profile = Profile::mixed(10.0);
    fleet.publish_manifest(&profile.manifest());
    let key = workspace_key(&profile.workspaces[0].id);
    for name in ["entry-1", "entry-2"] {
        fleet.wait_serving(name, &key, MODEL);
    }
    Fixture {
        fleet,
        key,
        operators,
    }
}

impl Fixture {
    fn run(&self, arguments: &[&str], token: &str) -> Output {
        let mut command = Command::new(&self.fleet.programs.tool);
        command
            .args(arguments)
            .env_remove("FLAMINGOLOCK_OPERATOR_TOKEN");
        if !token.is_empty() {
            command.env("FLAMINGOLOCK_OPERATOR_TOKEN", token);
        }
        for operator in &self.operators {
            command.arg(format!("--operator={operator}"));
        }
        command.output().expect("the tool runs")
    }

    fn completion(&self, answer_tokens: u32, stream: bool) -> String {
        let bearer = format!("Bearer {}", self.key);
        let body = json!({
            "model": MODEL, "prompt": "why?", "max_tokens": answer_tokens, "stream": stream,
        });
        let headers = [("authorization", bearer.as_str())];
        request("POST", "/v1/completions", &headers, &body.to_string())
    }
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn read(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

#[test]
fn nodes_engines_and_explain_show_the_fleet() {
    let fixture = fixture(1);
    wait::until("the engine is published", Duration::from_secs(5), || {
        read(&fixture.run(&["engines", "--json"], TOKEN))["engines"][0]["answering"] == true
    });
    let nodes = fixture.run(&["nodes", "--json"], TOKEN);
    assert_eq!(nodes.status.code(), Some(0), "{nodes:?}");
    let nodes = read(&nodes);
    assert_eq!(nodes["nodes"][0]["name"], "entry-1", "{nodes}");
    assert_eq!(nodes["nodes"][1]["name"], "entry-2", "{nodes}");
    assert_eq!(nodes["nodes"][0]["ready"], true, "{nodes}");
    let engines = read(&fixture.run(&["engines", "--json"], TOKEN));
    let engine = &engines["engines"][0];
    assert_eq!(engine["weights"], WEIGHTS, "{engine}");
    assert!(engine["incarnation"].as_u64() > Some(0), "{engine}");
    let table = text(&fixture.run(&["engines"], TOKEN));
    assert!(table.contains("engine-1"), "{table}");
    let table = text(&fixture.run(&["nodes"], TOKEN));
    assert!(table.contains("entry-2"), "{table}");

    let entry = fixture.fleet.nodes["entry-2"].address;
    let answer = exchange(entry, &fixture.completion(2, false)).expect("an answer");
    let id = answer.headers["x-request-id"].clone();
    let explained = fixture.run(&["explain", &id, "--json"], TOKEN);
    assert_eq!(explained.status.code(), Some(0), "{explained:?}");
    let explained = read(&explained);
    let decision = &explained["decisions"][0];
    assert_eq!(decision["action"], "route", "{explained}");
    assert_eq!(decision["chosen"], "engine-1", "{explained}");
    assert_eq!(decision["node"], "entry-2", "{explained}");
    let table = text(&fixture.run(&["explain", &id], TOKEN));
    assert!(table.contains("route"), "{table}");
}

#[test]
fn exit_codes_tell_what_went_wrong() {
    let mut fixture = fixture(1);
    let code =
        |fixture: &Fixture, arguments: &[&str], token| fixture.run(arguments, token).status.code();
    assert_eq!(code(&fixture, &["explain", "01NOBODY"], TOKEN), Some(1));
    assert_eq!(code(&fixture, &["explain", "a/b"], TOKEN), Some(2));
    assert_eq!(code(&fixture, &["nodes"], ""), Some(2));
    assert_eq!(code(&fixture, &["nodes"], "another token"), Some(3));
    fixture.operators.push(free_address());
    let partial = fixture.run(&["nodes", "--json"], TOKEN);
    assert_eq!(partial.status.code(), Some(4), "{partial:?}");
    // The nodes that answered are still shown.
    assert_eq!(read(&partial)["nodes"][0]["name"], "entry-1");
}

#[test]
fn a_leaving_node_is_not_ready_and_finishes_its_stream() {
    let mut fixture = fixture(50);
    let (entry, operator) = (fixture.fleet.nodes["entry-1"].address, fixture.operators[0]);
    assert_eq!(call(operator, "GET", "/readyz", &[], "").status, 200);
    let mut events = EventReader::open(entry, &fixture.completion(30, true));
    assert!(events.next_data().is_some());
    fixture.fleet.nodes["entry-1"].signal("TERM");
    wait::until(
        "the node reports that it is leaving",
        Duration::from_secs(1),
        || {
            let answer = call(operator, "GET", "/readyz", &[], "");
            answer.status == 503 && answer.json()["missing"] == json!(["leaving"])
        },
    );
    let mut last = String::new();
    let mut count = 1;
    while let Some(data) = events.next_data() {
        count += usize::from(data.contains("\"text\""));
        last = data;
    }
    // Thirty tokens and the final event.
    assert_eq!((last.as_str(), count), ("[DONE]", 31));
    let node = fixture
        .fleet
        .nodes
        .get_mut("entry-1")
        .expect("it was started");
    assert!(node.wait(Duration::from_secs(5)).success());
}

#[test]
fn the_operators_port_comes_back_after_it_ran_out_of_files() {
    let operator = free_address();
    let node = env!("CARGO_BIN_EXE_flamingolock");
    let mut arguments = vec![
        "-c".to_owned(),
        "ulimit -n 64; exec \"$0\" \"$@\"".to_owned(),
    ];
    arguments.push(node.to_owned());
    for pair in [
        "node.name=entry-1".to_owned(),
        "node.zone=zone-1".to_owned(),
        "node.listen=127.0.0.1:0".to_owned(),
        "node.peer_listen=127.0.0.1:0".to_owned(),
        "fleet.key=a-fleet-key-for-process-tests".to_owned(),
        format!("operators.listen={operator}"),
        format!("operators.token={TOKEN}"),
    ] {
        arguments.extend(["--set".to_owned(), pair]);
    }
    let process = Process::start(std::path::Path::new("/bin/sh"), &arguments);
    assert_eq!(call(operator, "GET", "/healthz", &[], "").status, 200);
    let idle_connections: Vec<_> = (0..80)
        .map_while(|_| std::net::TcpStream::connect(operator).ok())
        .collect();
    assert!(
        idle_connections.len() > 50,
        "{} connections",
        idle_connections.len()
    );
    let healthy = || {
        let text = request("GET", "/healthz", &[], "");
        let Ok(mut stream) = std::net::TcpStream::connect(operator) else {
            return false;
        };
        let limit = Some(Duration::from_millis(500));
        let mut bytes = Vec::new();
        let sent = stream.set_read_timeout(limit).is_ok()
            && std::io::Write::write_all(&mut stream, text.as_bytes()).is_ok();
        let _ = std::io::Read::read_to_end(&mut stream, &mut bytes);
        sent && bytes.starts_with(b"HTTP/1.1 200")
    };
    assert!(
        !healthy(),
        "the node has no file descriptor left for another connection"
    );
    drop(idle_connections);
    wait::until("the port serves again", Duration::from_secs(10), healthy);
    drop(process);
}
