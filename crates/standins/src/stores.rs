//! The weight store with its load limits, and the store of exported KV cache.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::http::{Body, empty_response, error_response, full_body, ok_response, retry_later};
use crate::server::lock;

/// Number of concurrent loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: u32 = 2;

/// Counters of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsReport {
    /// Loads that were admitted.
    pub loads: u64,
    /// Loads that were rejected because of the concurrency limit.
    pub refused: u64,
    /// Loads in progress.
    pub loading: u32,
    /// Largest number of concurrent loads.
    pub peak: u32,
}

/// Serves weights loads; they slow down when more than two run concurrently.
pub(crate) struct WeightStore {
    load: Duration,
    max_loads: u32,
    report: Mutex<WeightsReport>,
}

impl WeightStore {
    pub(crate) fn new(load: Duration, max_loads: u32) -> Self {
        Self {
            load,
            max_loads,
            report: Mutex::default(),
        }
    }

    pub(crate) fn report(&self) -> WeightsReport {
        *lock(&self.report)
    }

    /// Serves one load; the response is sent when the load is complete.
    pub(crate) async fn load(self: &Arc<Self>, version: &str) -> Response<Body> {
        let Some(slot) = self.begin() else {
            let message = "too many loads at once";
            return retry_later(StatusCode::TOO_MANY_REQUESTS, "load_limit", message);
        };
        sleep(self.load * slot.loading.max(FULL_SPEED_LOADS) / FULL_SPEED_LOADS).await;
        ok_response(&json!({ "version": version, "loading": slot.loading }))
    }

    fn begin(self: &Arc<Self>) -> Option<LoadSlot> {
        let mut report = lock(&self.report);
        if report.loading >= self.max_loads {
            report.refused += 1;
            return None;
        }
        report.loads += 1;
        report.loading += 1;
        report.peak = report.peak.max(report.loading);
        Some(LoadSlot {
            store: self.clone(),
            loading: report.loading,
        })
    }
}

/// One load in progress; dropping it frees its slot.
struct LoadSlot {
    store: Arc<WeightStore>,
    /// Number of loads in progress when this one started, including itself.
    loading: u32,
}

impl Drop for LoadSlot {
    fn drop(&mut self) {
        lock(&self.store.report).loading -= 1;
    }
}

/// Exported KV cache by key.
#[derive(Default)]
pub(crate) struct KvStore {
    entries: Mutex<BTreeMap<String, Bytes>>,
}

impl KvStore {
    /// Handles one call; `GET` with an empty key lists the keys.
    pub(crate) fn handle(&self, method: &Method, key: &str, body: Bytes) -> Response<Body> {
        let mut entries = lock(&self.entries);
        match (method, key) {
            (&Method::GET, "") => list(&entries),
            (&Method::GET, _) => match entries.get(key) {
                Some(bytes) => Response::new(full_body(bytes.clone())),
                None => error_response(StatusCode::NOT_FOUND, "not_found", "no such key"),
            },
            (_, "") => error_response(StatusCode::BAD_REQUEST, "no_key", "the key is empty"),
            (&Method::PUT, _) => {
                entries.insert(key.to_owned(), body);
                empty_response(StatusCode::NO_CONTENT)
            }
            (&Method::DELETE, _) => {
                entries.remove(key);
                empty_response(StatusCode::NO_CONTENT)
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

fn list(entries: &BTreeMap<String, Bytes>) -> Response<Body> {
    let keys = entries.iter();
    let keys: Vec<_> = keys
        .map(|(key, bytes)| json!({ "key": key, "bytes": bytes.len() }))
        .collect();
    ok_response(&json!({ "keys": keys }))
}
