//! Threads that read the platform: the log's tail and the instance list.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Sender;
use flamingolock_core::manifest::Manifest;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::control::Event;
use crate::settings::PlatformSettings;
use crate::view::Listed;

/// Longest time that one read of the log waits for records.
const TAIL_WAIT_MS: u64 = 1_000;

/// Pause after a failed call.
const RETRY_MS: u64 = 200;

/// Why the platform could not be read.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The call failed, or its answer has another shape.
    #[error("platform call failed: {0}")]
    Call(Box<ureq::Error>),
}

impl From<ureq::Error> for PlatformError {
    fn from(error: ureq::Error) -> Self {
        Self::Call(Box::new(error))
    }
}

#[derive(Deserialize)]
struct Instances {
    instances: Vec<Listed>,
}

#[derive(Deserialize)]
struct Tail {
    records: Vec<TailRecord>,
}

#[derive(Deserialize)]
struct TailRecord {
    offset: u64,
    body: serde_json::Value,
}

/// Reader threads; dropping them ends the threads at their next pause.
pub struct PlatformReaders {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PlatformReaders {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// When the system gives no further thread.
    pub fn start(settings: &PlatformSettings, events: &Sender<Event>) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let list = {
            let (settings, events, stop) = (settings.clone(), events.clone(), Arc::clone(&stop));
            spawn("instance-list", move || {
                read_list(&settings, &events, &stop);
            })?
        };
        let tail = {
            let (settings, events, stop) = (settings.clone(), events.clone(), Arc::clone(&stop));
            spawn("log-tail", move || {
                read_log(&settings, &events, &stop);
            })?
        };
        Ok(Self {
            stop,
            threads: vec![list, tail],
        })
    }
}

impl Drop for PlatformReaders {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

fn agent(wait_ms: u64) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(wait_ms)))
        .build()
        .new_agent()
}

fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, PlatformError> {
    Ok(agent.get(url).call()?.body_mut().read_json()?)
}

fn read_list(settings: &PlatformSettings, events: &Sender<Event>, stop: &AtomicBool) {
    let agent = agent(2_000);
    let url = format!("{}/instances", settings.url);
    while !stop.load(Ordering::Relaxed) {
        match get::<Instances>(&agent, &url) {
            Ok(list) => {
                let _ = events.send(Event::Listed(list.instances));
            }
            Err(error) => log::debug!("instance list: {error}"),
        }
        std::thread::sleep(Duration::from_millis(settings.list_ms));
    }
}

fn read_log(settings: &PlatformSettings, events: &Sender<Event>, stop: &AtomicBool) {
    let agent = agent(TAIL_WAIT_MS + 2_000);
    let mut from = 0;
    while !stop.load(Ordering::Relaxed) {
        let url = format!(
            "{}/log/control?from={from}&max=500&wait_ms={TAIL_WAIT_MS}",
            settings.url
        );
        match get::<Tail>(&agent, &url) {
            Ok(tail) => {
                for record in tail.records {
                    from = record.offset + 1;
                    if let Ok(manifest) = serde_json::from_value::<Manifest>(record.body) {
                        let _ = events.send(Event::Manifest(Box::new(manifest)));
                    }
                }
            }
            Err(error) => {
                log::debug!("log tail: {error}");
                std::thread::sleep(Duration::from_millis(RETRY_MS));
            }
        }
    }
}
