//! `flamingoctl demo`: runs a whole fleet in one process under a mixed load.

use std::io::IsTerminal;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use clap::Args;
use flamingolock_experiment::demo::{self, DemoOptions};
use flamingolock_experiment::report::table;
use indicatif::{ProgressBar, ProgressStyle};

use crate::exit::CommandError;

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArguments {
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Requests per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints one JSON object instead of the table.
    #[arg(long)]
    json: bool,
}

/// Runs the demo; fails when a guarantee was violated.
///
/// # Errors
///
/// When the fleet cannot start or a guarantee was violated.
pub fn run(arguments: &DemoArguments) -> Result<(), CommandError> {
    let options = DemoOptions {
        seconds: arguments.seconds,
        rate: arguments.rate,
        seed: arguments.seed,
    };
    let progress = Arc::new(AtomicU64::new(0));
    let expected = (arguments.seconds * arguments.rate) as u64;
    let bar = ProgressReporter::start(expected, Arc::clone(&progress));
    let report = demo::run(&options, &progress)
        .map_err(|error| CommandError::Unreachable(error.to_string()))?;
    drop(bar);
    if arguments.json {
        let text = serde_json::to_string(&report.summary)
            .map_err(|error| CommandError::Findings(error.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", table(&report.rows, &report.summary));
    }
    if report.summary.guarantees_held() {
        return Ok(());
    }
    Err(CommandError::Findings(
        "a guarantee was violated; see the counts above".to_owned(),
    ))
}

/// A progress bar on standard error, if that is a terminal; removed on drop.
pub struct ProgressReporter {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ProgressReporter {
    /// Starts a thread that shows `counter` against `expected`.
    pub fn start(expected: u64, counter: Arc<AtomicU64>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        if !std::io::stderr().is_terminal() {
            return Self { stop, thread: None };
        }
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let bar = ProgressBar::new(expected);
            if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} requests {eta}") {
                bar.set_style(style);
            }
            while !stopped.load(Ordering::Relaxed) {
                bar.set_position(counter.load(Ordering::Relaxed));
                std::thread::sleep(Duration::from_millis(100));
            }
            bar.finish_and_clear();
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for ProgressReporter {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
