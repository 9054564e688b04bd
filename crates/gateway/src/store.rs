//! Client of the platform's store: reading topics and writing the node's records.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use prost::Message;
use rand::Rng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinError, spawn_blocking};
use tokio::time::sleep;

use crate::clock::now;
use crate::control::operator_records::OperatorUpdate;
use crate::control::{Event, FollowedTopic, Handle, ReadRequest};
use crate::dialect::{AppendOutcome, DecodeError, Dialect, KeyedRecord, LogPage, StoreRequest};
use crate::http_client::{CallError, CallLimits, Connection, call};
use crate::settings::Settings;

/// Timeout until the head of a response, in addition to the time that the call asks the
/// store to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a byte of a response after which a call fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a whole call: the largest response at a tenth of the slowest link.
const WHOLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of a response of the store, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Size of records from which on they are decoded on a thread of their own, in bytes.
const MIN_BACKGROUND_BYTES: usize = 32 * 1024;

/// Minimum pause after a failed call, in ms; a random time of up to the same length
/// is added.
const RETRY_MS: u64 = 250;

/// Key of a record of the nodes' own.
const RECORD_KEY: &str = "listed";

/// Interval for reading the registry of nodes.
const REGISTRY_INTERVAL: Duration = Duration::from_secs(20);

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    /// The call returned no complete response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response has an error status or cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A page of the newest records ends at the key after which it should begin.
    #[error("the pages of the newest records do not go on")]
    PageRepeated,
    /// The thread that decodes the records failed.
    #[error("cannot decode the records: {0}")]
    Thread(#[from] JoinError),
}

/// Client that uses one connection to the store.
struct StoreClient {
    address: SocketAddr,
    dialect: &'static Dialect,
    handle: Handle,
    connection: Option<Connection>,
    /// Era that the last response stated.
    era: Option<u64>,
}

impl StoreClient {
    fn new(settings: &Settings, dialect: &'static Dialect, handle: Handle) -> Self {
        Self {
            address: settings.store,
            dialect,
            handle,
            connection: None,
            era: None,
        }
    }

    async fn call(
        &mut self,
        request: StoreRequest,
        wait_ms: u64,
    ) -> Result<Response<Bytes>, StoreError> {
        let limits = CallLimits {
            response: RESPONSE_TIMEOUT + Duration::from_millis(wait_ms),
            stall: STALL_TIMEOUT,
            whole: WHOLE_TIMEOUT,
            bytes: MAX_RESPONSE_BYTES,
        };
        let host = self.address.to_string();
        let (mut parts, body) = request.into_parts();
        if let Ok(host) = host.parse() {
            parts.headers.insert(http::header::HOST, host);
        }
        let request = http::Request::from_parts(parts, body);
        let response = call(&mut self.connection, self.address, request, limits).await?;
        let era = (self.dialect.store_era)(response.headers());
        if let Some(era) = era.filter(|_| era != self.era) {
            self.era = Some(era);
            self.handle.send(Event::StoreEra(era));
        }
        Ok(response)
    }

    /// Sends the records to the control thread. Large ones are decoded on a thread of
    /// their own, as requests must not wait for that.
    async fn pass_on(&self, event: EventOf, records: Vec<KeyedRecord>) -> Result<(), StoreError> {
        let dialect = self.dialect;
        let values = records.iter().filter_map(|record| record.value.as_ref());
        let event = if values.map(Bytes::len).sum::<usize>() < MIN_BACKGROUND_BYTES {
            event(dialect, records)
        } else {
            spawn_blocking(move || event(dialect, records)).await?
        };
        self.handle.send(event);
        Ok(())
    }

    /// Logs a failed call, closes the connection and informs the control thread.
    fn report_failure(&mut self, what: &str, error: &StoreError) {
        log::warn!(what, error:% = error; "call to the store failed");
        self.connection = None;
        self.handle.send(Event::StoreFailed);
    }

    /// Reports a failed call and waits before the next one.
    async fn report_and_back_off(&mut self, what: &str, error: &StoreError) {
        self.report_failure(what, error);
        let pause = RETRY_MS + rand::rng().random_range(0..RETRY_MS);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Reads the newest record of each key of a topic. Also returns the offset from
    /// which to continue reading.
    async fn newest(&mut self, topic: &str) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
        let mut records: Vec<KeyedRecord> = Vec::new();
        let mut end = None;
        let mut era = self.era;
        loop {
            let after = records.last().map(|record| record.key.clone());
            let request = (self.dialect.newest_request)(topic, after.as_deref());
            let response = self.call(request, 0).await?;
            let page = (self.dialect.parse_newest_response)(&response)?;
            if self.era != era {
                // The pages so far may hold records that are lost.
                records.clear();
                (end, era) = (None, self.era);
                if after.is_some() {
                    continue;
                }
            }
            // Records that change while the pages are read are found after this offset.
            end.get_or_insert(page.end);
            let last = page.records.is_empty();
            records.extend(page.records);
            if !page.has_more || last {
                return Ok((records, end.unwrap_or(0)));
            }
            if after.is_some() && after == records.last().map(|record| record.key.clone()) {
                return Err(StoreError::PageRepeated);
            }
        }
    }

    /// Reads records from an offset on; from the start if it is none.
    async fn read(
        &mut self,
        topic: &str,
        from: Option<u64>,
        wait_ms: u64,
    ) -> Result<LogPage, StoreError> {
        let request = (self.dialect.read_request)(topic, from.unwrap_or(0), wait_ms);
        let response = self.call(request, wait_ms).await?;
        Ok((self.dialect.parse_read_response)(from, response)?)
    }
}

/// Builds the event that passes on the records of a topic.
type EventOf = fn(&Dialect, Vec<KeyedRecord>) -> Event;

/// Topic to follow, with the constructors of its events.
#[derive(Clone, Copy)]
struct TopicReader {
    followed: FollowedTopic,
    topic: &'static str,
    /// All records in force, written at an unknown time.
    snapshot: EventOf,
    /// Records written since the last read.
    records: EventOf,
    /// All records in force, some of them written since the last read.
    caught_up: EventOf,
}

fn operator_snapshot(dialect: &Dialect, records: Vec<KeyedRecord>) -> Event {
    Event::OperatorSnapshot(OperatorUpdate::decode_all(dialect, records))
}

fn operator_records(dialect: &Dialect, records: Vec<KeyedRecord>) -> Event {
    Event::OperatorRecords(OperatorUpdate::decode_all(dialect, records))
}

/// Reads a topic whenever the control thread requests it.
pub async fn follow(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    followed: FollowedTopic,
    mut read_requests: UnboundedReceiver<ReadRequest>,
) {
    let reader = match followed {
        FollowedTopic::Operator => TopicReader {
            followed,
            topic: dialect.topics.operator,
            snapshot: operator_snapshot,
            records: operator_records,
            caught_up: operator_records,
        },
        FollowedTopic::Endpoints => TopicReader {
            followed,
            topic: dialect.topics.endpoints,
            snapshot: |_, records| Event::EndpointSnapshot(records),
            records: |_, records| Event::EndpointRecords(records),
            caught_up: |_, records| Event::EndpointSnapshot(records),
        },
    };
    let mut store = StoreClient::new(&settings, dialect, handle);
    let mut from = None;
    while let Some(request) = read_requests.recv().await {
        from = from.max(Some(request.known_end).filter(|end| *end > 0));
        if let Err(error) = follow_once(&mut store, reader, &mut from, request.wait_ms).await {
            store.report_failure(reader.topic, &error);
            store.handle.send(Event::TopicFailed(followed));
        }
    }
}

/// Reads the records from the offset `from` on, or the newest record of each key if
/// the offset is not known, its records are no longer kept, or one page does not reach
/// the end of the topic: then the records between were replaced by newer ones.
async fn follow_once(
    store: &mut StoreClient,
    reader: TopicReader,
    from: &mut Option<u64>,
    wait_ms: u64,
) -> Result<(), StoreError> {
    let sent_at = now();
    let mut at = sent_at;
    let page = match *from {
        Some(from) => Some((from, store.read(reader.topic, Some(from), wait_ms).await?)),
        None => None,
    };
    let newest = match page {
        Some((mut next, LogPage::Records { end, records })) => {
            let records = parse_records(store, records, &mut next);
            if records.is_empty() {
                at = now().min(sent_at + wait_ms);
            }
            store.pass_on(reader.records, records).await?;
            *from = Some(next);
            (next < end).then_some(reader.caught_up)
        }
        Some((from, LogPage::Trimmed { first })) => {
            log::info!(topic = reader.topic, from, first; "records are no longer kept; reading the newest record of each key");
            Some(reader.snapshot)
        }
        None => Some(reader.snapshot),
    };
    if let Some(event) = newest {
        let (records, end) = store.newest(reader.topic).await?;
        store.pass_on(event, records).await?;
        *from = Some(end);
    }
    store.handle.send(Event::StoreAnswered);
    store.handle.send(Event::TopicRead {
        topic: reader.followed,
        end: from.unwrap_or(0),
        at,
    });
    Ok(())
}

fn parse_records(store: &StoreClient, records: Vec<Bytes>, from: &mut u64) -> Vec<KeyedRecord> {
    let mut keyed = Vec::with_capacity(records.len());
    for record in records {
        match (store.dialect.keyed_record)(record, *from) {
            Ok(record) => keyed.push(record),
            Err(error) => {
                log::warn!(offset = *from, error:% = error; "cannot decode a record; ignored");
            }
        }
        *from += 1;
    }
    keyed
}

/// True if the registry of the nodes was read and holds no record with this name.
async fn has_no_record(store: &mut StoreClient, name: &str) -> bool {
    match store.newest(store.dialect.topics.nodes).await {
        Ok((records, _)) => records.iter().all(|record| record.key != name),
        Err(error) => {
            log::warn!(error:% = error; "cannot read the registry of the nodes before the registration");
            false
        }
    }
}

/// Registers this node's address, again after each item of `lost`, and keeps reading the
/// addresses of the other nodes.
pub async fn keep_registered(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    mut lost: UnboundedReceiver<()>,
) {
    let mut store = StoreClient::new(&settings, dialect, handle);
    let mut registered = false;
    // Whether no process has registered under this name, while that is asked.
    let mut is_new = has_no_record(&mut store, &settings.node).await;
    loop {
        if !registered {
            let address = settings.gossip.to_string();
            let request = (dialect.append_keyed_request)(
                dialect.topics.nodes,
                &settings.node,
                address.as_bytes(),
            );
            let appended = store
                .call(request, 0)
                .await
                .and_then(|response| Ok((dialect.parse_append_response)(&response)?));
            match appended {
                Ok(AppendOutcome::At(_)) => {
                    registered = true;
                    if std::mem::take(&mut is_new) {
                        store.handle.send(Event::FirstRegistration);
                    }
                }
                Ok(other) => log::warn!(outcome:? = other; "cannot register the node's address"),
                Err(error) => {
                    store
                        .report_and_back_off(dialect.topics.nodes, &error)
                        .await;
                    continue;
                }
            }
        }
        match store.newest(dialect.topics.nodes).await {
            Ok((records, _)) => {
                let addresses = records
                    .iter()
                    .filter_map(|record| {
                        std::str::from_utf8(record.value.as_ref()?)
                            .ok()?
                            .parse()
                            .ok()
                    })
                    .collect();
                store.handle.send(Event::NodesListed(addresses));
                store.connection = None;
                tokio::select! {
                    () = sleep(REGISTRY_INTERVAL) => {}
                    Some(()) = lost.recv() => registered = false,
                }
            }
            Err(error) => {
                store
                    .report_and_back_off(dialect.topics.nodes, &error)
                    .await;
            }
        }
    }
}

/// Reads the lease topic from an offset on and reports the result to the control
/// thread.
pub async fn read_lease(settings: Settings, dialect: &'static Dialect, handle: Handle, from: u64) {
    let mut store = StoreClient::new(&settings, dialect, handle.clone());
    let from = (from > 0).then_some(from);
    match store.read(dialect.topics.lease, from, 0).await {
        Ok(LogPage::Records { end, records }) => {
            let last = records
                .last()
                .map(|record| String::from_utf8_lossy(record).into_owned());
            handle.send(Event::LeaseRead(end, last));
        }
        Ok(LogPage::Trimmed { first }) => handle.send(Event::LeaseTrimmed(first)),
        Err(error) => {
            log::warn!(error:% = error; "cannot read the lease topic");
            handle.send(Event::LeaseFailed);
        }
    }
}

/// Appends a lease record if the topic ends at `at`, and reports the result to the
/// control thread.
pub async fn append_lease(settings: Settings, dialect: &'static Dialect, handle: Handle, at: u64) {
    let mut store = StoreClient::new(&settings, dialect, handle.clone());
    let request =
        (dialect.append_request)(dialect.topics.lease, settings.node.as_bytes(), Some(at));
    let outcome = store
        .call(request, 0)
        .await
        .and_then(|response| Ok((dialect.parse_append_response)(&response)?));
    match outcome {
        Ok(AppendOutcome::At(offset)) if offset == at => handle.send(Event::LeaseAppended(offset)),
        Ok(AppendOutcome::At(offset)) => {
            log::info!(at, offset; "the store has lost records since the lease was read");
            handle.send(Event::LeaseFailed);
        }
        Ok(AppendOutcome::Moved { end }) => {
            log::info!(at, end; "another node has taken the lease");
            handle.send(Event::LeaseFailed);
        }
        Ok(AppendOutcome::Refused) => handle.send(Event::LeaseFailed),
        Err(error) => {
            log::warn!(error:% = error; "unknown whether the lease record was appended");
            handle.send(Event::LeaseFailed);
        }
    }
}

/// Reads a record of the nodes' own and reports it to the control thread.
pub async fn read_record<M: Message + Default>(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    topic: &'static str,
    event: fn(M) -> Event,
) {
    let mut store = StoreClient::new(&settings, dialect, handle);
    let records = loop {
        match store.newest(topic).await {
            Ok((records, _)) => break records,
            Err(error) => store.report_and_back_off(topic, &error).await,
        }
    };
    for value in records.into_iter().filter_map(|record| record.value) {
        match M::decode(value) {
            Ok(recorded) => store.handle.send(event(recorded)),
            Err(error) => {
                log::warn!(topic, error:% = error; "cannot decode a record of the nodes; ignored");
            }
        }
    }
}

/// Reads all records that are kept of a topic of the nodes' own that is not keyed, and
/// reports them to the control thread.
pub async fn read_log<M: Message + Default>(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    topic: &'static str,
    event: fn(M) -> Event,
) {
    let mut store = StoreClient::new(&settings, dialect, handle);
    let mut from = None;
    loop {
        match store.read(topic, from, 0).await {
            Ok(LogPage::Records { end, records }) => {
                let next = from.unwrap_or(0) + records.len() as u64;
                let is_last = records.is_empty() || next >= end;
                for record in records {
                    match M::decode(record) {
                        Ok(recorded) => store.handle.send(event(recorded)),
                        Err(error) => {
                            log::warn!(topic, error:% = error; "cannot decode a record of the nodes; ignored");
                        }
                    }
                }
                if is_last {
                    return;
                }
                from = Some(next);
            }
            Ok(LogPage::Trimmed { first }) => from = Some(first),
            Err(error) => store.report_and_back_off(topic, &error).await,
        }
    }
}

/// Replaces a record of the nodes' own and reports to the control thread whether it is
/// stored.
pub async fn replace_record(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    topic: &'static str,
    content: Vec<u8>,
    event: fn(bool) -> Event,
) {
    let request = (dialect.append_keyed_request)(topic, RECORD_KEY, &content);
    append(&settings, dialect, handle, topic, request, event).await;
}

/// Appends a record to a topic of the nodes' own that is not keyed, and reports to the
/// control thread whether it is stored.
pub async fn append_record(
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    topic: &'static str,
    content: Vec<u8>,
    event: fn(bool) -> Event,
) {
    let request = (dialect.append_request)(topic, &content, None);
    append(&settings, dialect, handle, topic, request, event).await;
}

async fn append(
    settings: &Settings,
    dialect: &'static Dialect,
    handle: Handle,
    topic: &'static str,
    request: StoreRequest,
    event: fn(bool) -> Event,
) {
    let mut store = StoreClient::new(settings, dialect, handle.clone());
    let outcome = store
        .call(request, 0)
        .await
        .and_then(|response| Ok((dialect.parse_append_response)(&response)?));
    match outcome {
        Ok(AppendOutcome::At(_)) => handle.send(event(true)),
        Ok(other) => {
            log::warn!(topic, outcome:? = other; "cannot write a record of the nodes");
            handle.send(event(false));
        }
        Err(error) => {
            log::warn!(topic, error:% = error; "unknown whether a record of the nodes was written");
            handle.send(event(false));
        }
    }
}
