//! Client of the platform's log service.

use std::time::Duration;

use flamingolock_core::prelude::*;
use flamingolock_core::record::{LogEntry, Record, RecordId};
use flamingolock_core::tail::Record as TailRecord;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use thiserror::Error;

/// Request timeout, in addition to the wait that a read asks for.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Connect timeout.
const CONNECT_MS: u64 = 1_000;

/// Reason why a request to the log failed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log rejected the request; nothing changed.
    #[error("the log rejected the request with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Delay before a retry.
        retry_after: Millis,
    },
    /// No connection could be established; nothing changed.
    #[error("the log cannot be reached: {source}")]
    Unreachable {
        /// Error of the HTTP client.
        source: Box<ureq::Error>,
    },
    /// No response arrived; an append may have taken effect.
    #[error("no response from the log: {source}")]
    NoResponse {
        /// Error of the HTTP client.
        source: Box<ureq::Error>,
    },
}

/// A range of records of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Oldest retained offset.
    pub start: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records in the order of their offsets.
    pub records: Vec<TailRecord>,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResponse {
    /// Records from the requested offset on, possibly none.
    Page(Page),
    /// The requested offset is older than the oldest retained one.
    Trimmed {
        /// Oldest retained offset.
        start: Offset,
    },
}

#[derive(Deserialize)]
struct PageBody {
    start: Offset,
    end: Offset,
    #[serde(default)]
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    time_ms: Millis,
    id: String,
    body: Box<RawValue>,
}

#[derive(Deserialize)]
struct AppendResponse {
    first_offset: Offset,
}

/// Client of one log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    agent: ureq::Agent,
    url: String,
}

impl Page {
    /// Parses the records into log entries.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.records.iter().map(parse_entry).collect()
    }
}

impl LogClient {
    /// Creates a client of the log service at the base URL `url`.
    pub fn new(url: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_millis(CONNECT_MS)))
            .build()
            .new_agent();
        Self {
            agent,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    /// Reads at most `max` records from offset `from` on, and lets the log wait up to
    /// `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the log rejects the request or does not respond.
    pub fn read(
        &self,
        stream: &str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Result<ReadResponse, LogError> {
        let url = format!(
            "{}/log/{stream}?from={from}&max={max}&wait_ms={}",
            self.url, wait.0
        );
        let mut answer = self
            .agent
            .get(&url)
            .config()
            .timeout_global(Some(Duration::from_millis(wait.0 + RESPONSE_TIMEOUT_MS)))
            .build()
            .call()
            .map_err(transport_error)?;
        let status = answer.status().as_u16();
        if status != 200 && status != 410 {
            return Err(refusal(&answer));
        }
        let body: PageBody = answer.body_mut().read_json().map_err(transport_error)?;
        if status == 410 {
            return Ok(ReadResponse::Trimmed { start: body.start });
        }
        let records = body.records.into_iter().map(tail_record).collect();
        Ok(ReadResponse::Page(Page {
            start: body.start,
            end: body.end,
            records,
        }))
    }

    /// Appends records in one request and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// After [`LogError::NoResponse`] the append may or may not have taken effect.
    pub fn append(&self, stream: &str, records: &[(RecordId, Record)]) -> Result<Offset, LogError> {
        let records: Vec<Value> = records
            .iter()
            .map(|(id, record)| json!({ "id": id, "body": record.to_body() }))
            .collect();
        let mut answer = self
            .agent
            .post(format!("{}/log/{stream}", self.url))
            .config()
            .timeout_global(Some(Duration::from_millis(RESPONSE_TIMEOUT_MS)))
            .build()
            .send_json(json!({ "records": records }))
            .map_err(transport_error)?;
        if answer.status().as_u16() != 200 {
            return Err(refusal(&answer));
        }
        let body: AppendResponse = answer.body_mut().read_json().map_err(transport_error)?;
        Ok(body.first_offset)
    }
}

fn tail_record(record: RecordBody) -> TailRecord {
    TailRecord {
        offset: record.offset,
        time: record.time_ms,
        id: record.id.into(),
        body: record.body.get().into(),
    }
}

/// Parses a record into a log entry.
pub fn parse_entry(record: &TailRecord) -> LogEntry {
    let body = serde_json::from_str(&record.body).unwrap_or(Value::Null);
    LogEntry::from_body(
        record.offset,
        record.time,
        RecordId::from(&*record.id),
        &body,
    )
}

fn refusal(answer: &ureq::http::Response<ureq::Body>) -> LogError {
    let seconds = answer
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    // A rejection without a `Retry-After` header still delays the retry.
    let retry_after = seconds.map_or(Millis(200), |seconds| Millis(seconds * 1000));
    LogError::Refused {
        status: answer.status().as_u16(),
        retry_after,
    }
}

fn transport_error(source: ureq::Error) -> LogError {
    let unsent = match &source {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    };
    let source = Box::new(source);
    if unsent {
        LogError::Unreachable { source }
    } else {
        LogError::NoResponse { source }
    }
}
