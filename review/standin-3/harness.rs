//! Stand-ins of the platform's store, of engines and of clients, and the nodes of a case as
//! processes. It uses the standard library alone, so `rustc` builds it without a network.
//!
//! `harness CASE FOLDER` plays a case and writes `record.txt` into its folder. It exits with 0 if
//! the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0` in its
//! environment it leaves the disruption out.

mod clients;
mod copies;
mod early;
mod engine;
mod hang;
mod http;
mod memory;
mod nodes;
mod store;
mod twice;

use std::fmt::Display;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run, and why.
    Impossible(String),
}

/// The record of a run: what was sent, answered and run, with milliseconds since its start.
pub struct Record {
    started: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    fn create(folder: &PathBuf) -> std::io::Result<Self> {
        let file = std::fs::File::create(folder.join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: impl Display) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:>7} {line}", self.now_ms());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, line: impl Display) {
        println!("{:>7} {line}", self.now_ms());
        self.write(line);
    }

    fn flush(&self) {
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}

/// Sleeps until this many milliseconds after the start of the run.
pub fn sleep_until(record: &Record, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record: &'static Record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => Box::leak(Box::new(record)),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            std::process::exit(2);
        }
    };
    record.say(format!("case {case}, disruption: {with_trouble}"));
    let outcome = match case.as_str() {
        "memory" => memory::play(record, with_trouble),
        "copies" => copies::play(record, with_trouble),
        "twice" => twice::play(record, with_trouble),
        "hang" => hang::play(record, with_trouble),
        "early" => early::play(record, with_trouble),
        _ => Outcome::Impossible(format!("no case {case}")),
    };
    let code = match outcome {
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::Impossible(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    std::process::exit(code);
}
