//! Client of the platform's log service.

use std::time::Duration;

use flamingolock_core::prelude::*;
use flamingolock_core::record::{LogEntry, Record, RecordId};
use flamingolock_core::tail::Record as TailRecord;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use thiserror::Error;

/// Time that an answer may take beyond the wait that was asked for.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Longest time to make a connection.
const CONNECT_MS: u64 = 1_000;

/// Why a call of the log gave no answer.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log refused; nothing changed.
    #[error("the log refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// How long the log asks to wait.
        retry_after: Millis,
    },
    /// No connection came about; nothing changed.
    #[error("the log cannot be reached: {source}")]
    Unreachable {
        /// What the client said.
        source: Box<ureq::Error>,
    },
    /// No answer came; an append may have taken effect.
    #[error("no answer from the log: {source}")]
    NoResponse {
        /// What the client said.
        source: Box<ureq::Error>,
    },
}

/// Part of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Oldest kept offset.
    pub start: Offset,
    /// Offset that the next record will get.
    pub end: Offset,
    /// Records in order.
    pub records: Vec<TailRecord>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResponse {
    /// Records from the asked offset on; none when there are none yet.
    Page(Page),
    /// The asked offset is older than the oldest kept one.
    Trimmed {
        /// Oldest kept offset.
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
    /// The entries that the records stand for.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.records.iter().map(parse_entry).collect()
    }
}

impl LogClient {
    /// A client of the platform at `url`.
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

    /// Reads at most `max` records from `from` on, waiting `wait` for the first.
    ///
    /// # Errors
    ///
    /// When the log refuses or gives no answer.
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

    /// Appends records in one call and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// [`LogError::NoResponse`] leaves open whether the append took effect.
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

/// The entry that a record stands for.
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
    // A refusal without a time still asks for a pause.
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
