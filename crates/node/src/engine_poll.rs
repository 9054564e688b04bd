//! Polls each engine of the instance list for its status.

use std::collections::BTreeMap;
use std::time::Duration;

use crossbeam::channel::Sender;
use flamingolock_core::prelude::*;
use tokio::task::JoinHandle;

use crate::control::Event;
use crate::control::engines::EngineStatus;
use crate::endpoint_client::EndpointClient;
use crate::settings::TimingSettings;
use crate::view::{ListedInstance, ListedKind, SharedView};

/// Polls the engines of the current view. Runs until its task is aborted.
pub async fn poll_engines(
    view: SharedView,
    http: EndpointClient,
    timing: TimingSettings,
    events: Sender<Event>,
) {
    let mut tasks: BTreeMap<String, AbortOnDrop> = BTreeMap::new();
    loop {
        let instances = view.load().instances.clone();
        tasks.retain(|name, _| instances.contains_key(name));
        for listed in instances
            .values()
            .filter(|listed| listed.kind == ListedKind::Engine)
        {
            if tasks.contains_key(&listed.name) {
                continue;
            }
            let poll = poll_engine(
                listed.clone(),
                http.clone(),
                timing.status_ms,
                events.clone(),
            );
            tasks.insert(listed.name.clone(), AbortOnDrop(tokio::spawn(poll)));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn poll_engine(
    listed: ListedInstance,
    http: EndpointClient,
    period_ms: u64,
    events: Sender<Event>,
) {
    let address = listed.address.to_string();
    let engine = EngineId::from(listed.name.as_str());
    loop {
        let status = http
            .get_json::<EngineStatus>(&address, "/v1/status", period_ms.max(500))
            .await;
        if let Err(error) = &status {
            log::debug!("engine {engine}: {error}");
        }
        if events
            .send(Event::EngineStatus(engine.clone(), status.ok()))
            .is_err()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(period_ms)).await;
    }
}
