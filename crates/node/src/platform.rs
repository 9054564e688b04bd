//! Threads that access the platform: readers of the log and of the instance list,
//! and writers of the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use flamingolock_core::append::BatchId;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{Record, RecordId};
use serde::Deserialize;

use crate::control::ledger::{LogCursors, LogEvent, Stream};
use crate::control::{Event, now};
use crate::log_client::{LogClient, LogError};
use crate::settings::PlatformSettings;
use crate::view::ListedInstance;

/// Time that a read of the log waits for new records.
const TAIL_WAIT: Millis = Millis(1_000);

/// Largest number of records per read.
const TAIL_MAX_RECORDS: u32 = 500;

/// Delay after a failed request.
const RETRY_DELAY_MS: u64 = 200;

/// Timeout of a read of the instance list.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Writers for each stream; a slow append does not hold up the next.
const WRITERS: usize = 2;

/// An append for a writer thread.
#[derive(Debug)]
pub struct AppendJob {
    /// Stream to append to.
    pub stream: Stream,
    /// Identifier of the append.
    pub batch: BatchId,
    /// Records to append.
    pub records: Vec<(RecordId, Record)>,
}

#[derive(Deserialize)]
struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// The reader threads. Dropping this stops and joins them, which can take as long as
/// a pending request.
pub struct PlatformThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PlatformThreads {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be created.
    pub fn start(
        settings: &PlatformSettings,
        events: &Sender<Event>,
        cursors: &Arc<LogCursors>,
        jobs: &Receiver<AppendJob>,
    ) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let client = LogClient::new(&settings.url);
        let mut threads = Vec::new();
        {
            let (settings, events, stop) = (settings.clone(), events.clone(), Arc::clone(&stop));
            threads.push(spawn("instance-list", move || {
                poll_instance_list(&settings, &events, &stop);
            })?);
        }
        for stream in [Stream::Control, Stream::Claims] {
            let (client, events) = (client.clone(), events.clone());
            let (cursors, stop) = (Arc::clone(cursors), Arc::clone(&stop));
            let tail = move || tail_log(&client, stream, &events, &cursors, &stop);
            threads.push(spawn("log-tail", tail)?);
        }
        for _ in 0..WRITERS {
            let (client, events, jobs) = (client.clone(), events.clone(), jobs.clone());
            // Writers exit when the control thread drops the sender of the channel.
            spawn("log-writer", move || run_writer(&client, &events, &jobs))?;
        }
        Ok(Self { stop, threads })
    }
}

impl Drop for PlatformThreads {
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

fn poll_instance_list(settings: &PlatformSettings, events: &Sender<Event>, stop: &AtomicBool) {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(LIST_TIMEOUT_MS)))
        .build()
        .new_agent();
    let url = format!("{}/instances", settings.url);
    while !stop.load(Ordering::Relaxed) {
        let list = agent
            .get(&url)
            .call()
            .and_then(|mut answer| answer.body_mut().read_json::<InstanceList>());
        match list {
            Ok(list) => {
                let _ = events.send(Event::InstancesListed(list.instances));
            }
            Err(error) => log::debug!("cannot read the instance list: {error}"),
        }
        std::thread::sleep(Duration::from_millis(settings.list_ms));
    }
}

fn tail_log(
    client: &LogClient,
    stream: Stream,
    events: &Sender<Event>,
    cursors: &LogCursors,
    stop: &AtomicBool,
) {
    let mut last = None;
    while !stop.load(Ordering::Relaxed) {
        let from = cursors.get(stream);
        if last == Some(from) {
            // The control thread has not processed the last page yet.
            std::thread::sleep(Duration::from_millis(1));
        }
        let began = now();
        match client.read(stream.name(), from, TAIL_MAX_RECORDS, TAIL_WAIT) {
            Ok(answer) => {
                last = Some(from);
                let event = LogEvent::Read {
                    stream,
                    began,
                    answer,
                };
                if events.send(Event::Log(event)).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!("cannot read the log stream {}: {error}", stream.name());
                std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
            }
        }
    }
}

fn run_writer(client: &LogClient, events: &Sender<Event>, jobs: &Receiver<AppendJob>) {
    for job in jobs {
        let AppendJob {
            stream,
            batch,
            records,
        } = job;
        let event = match client.append(stream.name(), &records) {
            Ok(first) => LogEvent::Appended {
                stream,
                batch,
                first,
            },
            Err(LogError::Refused { retry_after, .. }) => LogEvent::Refused {
                stream,
                batch,
                retry_after,
            },
            Err(LogError::Unreachable { .. }) => LogEvent::Refused {
                stream,
                batch,
                retry_after: Millis(RETRY_DELAY_MS),
            },
            Err(LogError::NoResponse { .. }) => LogEvent::Lost { stream, batch },
        };
        if events.send(Event::Log(event)).is_err() {
            return;
        }
    }
}
