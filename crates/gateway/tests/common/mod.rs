//! Test harness for the control state, with settings and records in the platform's
//! format.

pub mod fleet;
pub mod loader;
pub mod rollout;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use flamingolock_gateway::control::operator_records::OperatorUpdate;
use flamingolock_gateway::control::state::Control;
use flamingolock_gateway::control::suspects::RunSubjects;
use flamingolock_gateway::control::{
    BuildRule, Effect, Event, FollowedTopic, Placement, PlacementRequest, View,
};
use flamingolock_gateway::copies::{Copies, Offer};
use flamingolock_gateway::dialect::{KeyedRecord, PromptPart};
use flamingolock_gateway::settings::Settings;
use flamingolock_wire::gossip::{Gossip, NodeState, Run};
use flamingolock_wire::topic_copies::CopiesRequest;
use prost::Message;
use tokio::sync::oneshot;

pub fn settings() -> Settings {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    Settings {
        node: "node-1".to_owned(),
        zone: "zone-a".to_owned(),
        callers: address(1),
        ready: address(2),
        directory: address(3),
        gossip: address(4),
        control: Some(address(7)),
        seeds: vec![address(7), address(8)],
        metrics: address(5),
        store: address(6),
        store_writes: Some(400.0),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 58.0,
        quota_window: Duration::from_secs(8),
        quota_slack: 140_000.0,
        lease: Duration::from_secs(3),
        weights_bound: Duration::from_secs(6),
        contact_time: Some(Duration::from_secs(3)),
        grace: Duration::from_secs(8),
        drain_bound: Duration::from_secs(2),
        catalog_bound: Duration::from_secs(2),
        capacity: 250,
        memory_mb: 110,
        max_fds: 0,
        bounds_engine_memory: false,
        zones: vec!["zone-a".to_owned()],
    }
}

/// Control state and its published view.
pub struct Harness {
    pub control: Control,
    pub view: Arc<ArcSwap<View>>,
    offset: u64,
}

impl Harness {
    /// Creates a node that has not read any topic.
    pub fn new() -> Self {
        Self::with_settings(settings(), 7)
    }

    /// Creates a node with these settings.
    pub fn with_settings(settings: Settings, incarnation: u64) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let control = Control::new(
            settings,
            &flamingolock_platform::DIALECT,
            incarnation,
            view.clone(),
            Arc::default(),
        );
        Self {
            control,
            view,
            offset: 0,
        }
    }

    /// Creates a node with a configuration and `count` engines.
    pub fn with_engines(count: usize, now: u64) -> Self {
        let mut harness = Self::new();
        harness.catalog(1, now);
        for place in 0..count {
            harness.engine(&format!("e{place}"), 1, "ready", now);
        }
        harness
    }

    fn record(&mut self, key: &str, value: Option<&str>) -> KeyedRecord {
        self.offset += 1;
        let value = value.map(|value| Bytes::copy_from_slice(value.as_bytes()));
        KeyedRecord {
            key: key.to_owned(),
            value,
            offset: self.offset,
        }
    }

    pub fn catalog(&mut self, version: u64, now: u64) {
        let text = format!(
            r#"{{"Version":{version},"Routes":[],"Services":[{{"Name":"engines","MaxConns":100,"Engine":
            {{"KvCapacityTokens":100000,"TokenKvBytes":1000,"LinkMbps":10000.0}}}}]}}"#
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a configuration with one route, whose streams may be resumed.
    pub fn stream_catalog(&mut self, version: u64, timeout_ms: u64, now: u64) {
        let text = format!(
            r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"a.example","PathPrefix":"/a/","Kind":"stream",
            "Resumable":true,"TimeoutMs":{timeout_ms},"TargetLatencyMs":300,"Service":"engines"}}],"Services":[{{
            "Name":"engines","MaxConns":100,"Engine":{{"KvCapacityTokens":100000,"TokenKvBytes":1000,"LinkMbps":10000.0}}}}]}}"#
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a configuration with a route for each priority and target in ms, most urgent first.
    pub fn priority_catalog(&mut self, version: u64, routes: &[(u8, u64)], now: u64) {
        let routes: Vec<String> = routes
            .iter()
            .map(|(priority, target_ms)| {
                format!(
                    r#"{{"Name":"r-{priority}","Host":"a.example","PathPrefix":"/{priority}/","Kind":"stream",
                    "TimeoutMs":15000,"TargetLatencyMs":{target_ms},"Priority":{priority},"Service":"engines"}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"engines","MaxConns":100,"Engine":
            {{"KvCapacityTokens":1000000,"TokenKvBytes":1000,"LinkMbps":10000.0}}}}]}}"#,
            routes.join(",")
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a configuration with the workspaces `shared` and `isolated`.
    pub fn workspaces(&mut self, version: u64, shared: &[&str], isolated: &[&str], now: u64) {
        let all = [(shared, false), (isolated, true)];
        let workspaces: Vec<String> = all
            .iter()
            .flat_map(|(names, is_isolated)| names.iter().map(move |name| (name, is_isolated)))
            .map(|(name, is_isolated)| {
                format!(r#"{{"Name":"{name}","ApiKeys":["{name}"],"Isolated":{is_isolated}}}"#)
            })
            .collect();
        let text = format!(
            r#"{{"Version":{version},"Routes":[],"Services":[{{"Name":"engines","MaxConns":100,"Engine":
            {{"KvCapacityTokens":100000,"TokenKvBytes":1000,"LinkMbps":10000.0}}}}],"Tenants":[{}]}}"#,
            workspaces.join(",")
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a configuration with a service without engines and these entries of workspaces.
    pub fn plain_catalog(&mut self, version: u64, workspaces: &str, now: u64) {
        let text = format!(
            r#"{{"Version":{version},"Routes":[],"Services":[{{"Name":"plain","MaxConns":10000}}],"Tenants":[{workspaces}]}}"#
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a configuration with a thousand routes.
    pub fn large_catalog(&mut self, version: u64, now: u64) {
        let routes: Vec<_> = (0..1_000)
            .map(|number| {
                format!(
                    r#"{{"Name":"r-{number}","Host":"a.example","PathPrefix":"/{number}/","Kind":"safe",
                    "TimeoutMs":800,"TargetLatencyMs":300,"Service":"engines"}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"engines","MaxConns":100}}]}}"#,
            routes.join(",")
        );
        let record = self.record("op/config", Some(&text));
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Offset after the last record.
    pub fn offset(&self) -> u64 {
        self.offset + 1
    }

    pub fn weights(&mut self, version: u64, now: u64) {
        let record = self.named_weights(version);
        self.control
            .handle(Event::OperatorRecords(vec![update(record)]), now);
    }

    /// Adds a version of the weights that the node finds in the store when it starts.
    pub fn weights_before_start(&mut self, version: u64, now: u64) {
        let record = self.named_weights(version);
        self.control
            .handle(Event::OperatorSnapshot(vec![update(record)]), now);
    }

    fn named_weights(&mut self, version: u64) -> KeyedRecord {
        let text = format!(r#"{{"Model":"m","Version":{version}}}"#);
        self.record("op/version/m", Some(&text))
    }

    pub fn engine(&mut self, id: &str, born: u64, state: &str, now: u64) {
        self.entry(id, Some(&engine_entry("v1", born, state, 1)), now);
    }

    /// Reads this heartbeat of an engine that was added with [`Self::engine`].
    pub fn heartbeat(&mut self, id: &str, number: u64, now: u64) {
        let entry = engine_entry("v1", 1, "ready", 1);
        let entry = entry.replace("\"Seq\":1", &format!("\"Seq\":{number}"));
        self.entry(id, Some(&entry), now);
    }

    /// Adds an engine that has these weights.
    pub fn engine_with_weights(&mut self, id: &str, born: u64, weights: u64, now: u64) {
        self.entry(id, Some(&engine_entry("v1", born, "ready", weights)), now);
    }

    /// Adds an engine with this number of slots.
    pub fn engine_with_slots(&mut self, id: &str, slots: usize, now: u64) {
        let entry = engine_entry("v1", 1, "ready", 1);
        let entry = entry.replace("\"Slots\":64", &format!("\"Slots\":{slots}"));
        self.entry(id, Some(&entry), now);
    }

    /// Adds an engine of a software version.
    pub fn engine_of_build(&mut self, id: &str, build: &str, now: u64) {
        self.entry(id, Some(&engine_entry(build, 1, "ready", 1)), now);
    }

    /// Adds the entry of an engine that has started again with this software version.
    pub fn restarted_engine(&mut self, id: &str, build: &str, now: u64) {
        self.entry(id, Some(&engine_entry(build, 2, "ready", 1)), now);
    }

    /// Reads the entries of engines of these software versions, all there are.
    pub fn engines_of_builds(&mut self, builds: &[&str], now: u64) {
        let engines = builds.iter().enumerate();
        let records = engines
            .map(|(place, build)| {
                let text = engine_entry(build, 1, "ready", 1);
                self.record(&format!("servers/e{place}"), Some(&text))
            })
            .collect();
        self.control.handle(Event::EndpointSnapshot(records), now);
        self.entries_read(now);
    }

    /// Reads from the store that the entries are as this node knows them.
    pub fn entries_read(&mut self, now: u64) {
        let event = Event::TopicRead {
            topic: FollowedTopic::Endpoints,
            end: self.offset(),
            at: now,
        };
        self.control.handle(event, now);
    }

    /// Writes the entry of an endpoint; a value of none removes it.
    pub fn entry(&mut self, id: &str, value: Option<&str>, now: u64) {
        let record = self.record(&format!("servers/{id}"), value);
        self.control
            .handle(Event::EndpointRecords(vec![record]), now);
    }

    /// Delivers a datagram of another node.
    pub fn gossip(&mut self, node: u64, runs: &[Run], now: u64) {
        let gossip = Gossip {
            runs: runs.to_vec(),
            ..Gossip::default()
        };
        self.datagram(node, gossip, now);
    }

    /// Delivers a message of another node.
    pub fn datagram(&mut self, node: u64, gossip: Gossip, now: u64) {
        self.datagram_from(([10, 0, 0, 9], 7_000).into(), node, gossip, now);
    }

    /// Delivers a message of the node at an address.
    pub fn datagram_from(&mut self, from: SocketAddr, node: u64, mut gossip: Gossip, now: u64) {
        let sender = NodeState {
            incarnation: node,
            callers: SocketAddr::new(from.ip(), 80).to_string(),
            zone: "zone-a".to_owned(),
            ready: true,
            control_port: 8,
            name: "other".to_owned(),
            ..NodeState::default()
        };
        gossip.sender = Some(sender);
        self.control
            .handle(Event::Datagram(from, gossip.encode_to_vec().into()), now);
    }

    /// Returns the copies that this node offers.
    pub fn offer(&mut self, request: CopiesRequest, now: u64) -> Offer {
        let (reply, mut answer) = oneshot::channel();
        self.control
            .handle(Event::PeerSyncRequested(request, reply), now);
        answer.try_recv().expect("an offer")
    }

    /// Requests a placement. Returns none if the request has to wait.
    pub fn place(&mut self, request: PlacementRequest, now: u64) -> Option<Placement> {
        let (sender, mut receiver) = oneshot::channel();
        self.control
            .handle(Event::Place(Box::new(request), sender), now);
        receiver.try_recv().ok()
    }

    /// Runs a tick and returns the effects since the last call.
    pub fn effects(&mut self, now: u64) -> Vec<Effect> {
        self.control.tick(now);
        std::mem::take(&mut self.control.effects)
    }
}

fn update(record: KeyedRecord) -> OperatorUpdate {
    OperatorUpdate::decode(&flamingolock_platform::DIALECT, record)
}

/// The copies that a node has after an offer was sent to it, and took no time.
pub fn copies_of(offer: Offer) -> Copies {
    Copies {
        requested_at: u64::MAX,
        operator: offer
            .operator
            .into_iter()
            .map(|(record, _)| update(record))
            .collect(),
        operator_end: offer.operator_end,
        operator_age: offer.operator_age,
        endpoints: offer.endpoints,
        endpoints_age: offer.endpoints_age,
    }
}

/// Entry of an engine.
fn engine_entry(build: &str, born: u64, state: &str, weights: u64) -> String {
    format!(
        r#"{{"Service":"engines","Address":"10.0.0.1:80","Zone":"zone-a","Version":"{build}","Slots":64,
        "State":"{state}","Seq":1,"born":{born},"Models":[{{"Name":"m","Version":{weights}}}]}}"#
    )
}

/// Returns a request with two shared parts and one of its own.
pub fn placement_request(workspace: Option<&str>, id: u64) -> PlacementRequest {
    let subjects = RunSubjects {
        parts: vec![id, id + 1],
        requests: vec![1_000_000 + id],
    };
    PlacementRequest {
        id: "r".into(),
        service: "engines".into(),
        model: Some("m".to_owned()),
        workspace: workspace.map(ToOwned::to_owned),
        priority: 1,
        subjects,
        parts: [(id, 500), (id + 1, 4_000), (id + 2, 1_000)]
            .map(|(id, tokens)| PromptPart { id, tokens })
            .to_vec(),
        prompt_tokens: 5_500,
        output_tokens: 64,
        build_rule: BuildRule::Any,
        tried: Vec::new(),
        is_retry: false,
        is_handed: false,
        may_hand_over: true,
        tried_nodes: Vec::new(),
        max_wait: Duration::ZERO,
        target: Duration::from_mins(1),
        time_limit: Duration::from_mins(2),
    }
}
