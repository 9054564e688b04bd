//! Structured logging to standard output: one JSON object per line.
//!
//! Lines are passed through a bounded queue to a writer thread, so that a slow
//! reader of the output never delays a request. Lines that do not fit into the queue
//! are dropped and counted, and the count is logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use serde_json::{Map, json};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;

/// Maximum number of lines per write.
const BATCH_LINES: usize = 64;

#[derive(Debug)]
struct QueueAppender {
    lines: Sender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = format_line(record);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.splice(
                0..0,
                format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
                )
                .into_bytes(),
            );
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value
            .to_u64()
            .map(|number| json!(number))
            .or_else(|| value.to_i64().map(|number| json!(number)))
            .or_else(|| value.to_f64().map(|number| json!(number)))
            .or_else(|| value.to_bool().map(|flag| json!(flag)))
            .unwrap_or_else(|| json!(value.to_string()));
        // A field without a value is left out.
        if value != "None" {
            self.0.insert(key.to_string(), value);
        }
        Ok(())
    }
}

fn format_line(record: &Record) -> Vec<u8> {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64);
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), json!(time));
    fields
        .0
        .insert("level".to_owned(), json!(record.level().as_str()));
    fields
        .0
        .insert("message".to_owned(), json!(record.args().to_string()));
    // An error leaves out the remaining fields; the line is still written.
    let _ = record.key_values().visit(&mut fields);
    let mut line = serde_json::to_vec(&fields.0).unwrap_or_default();
    line.push(b'\n');
    line
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut batch) = lines.recv() {
        for _ in 1..BATCH_LINES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        // After a failed write to standard output, the error cannot be logged either.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Starts logging to standard output.
///
/// # Errors
///
/// If the thread cannot be started or logging was already started.
pub fn start(level: LevelFilter) -> std::io::Result<()> {
    let (sender, receiver) = bounded(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || write_lines(&receiver))?;
    let appender = QueueAppender {
        lines: sender,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(appender)))
        .logger(Logger::builder().build("hyper", LevelFilter::Warn))
        .logger(Logger::builder().build("hyper_util", LevelFilter::Warn))
        .build(Root::builder().appender("out").build(level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(std::io::Error::other)
}
