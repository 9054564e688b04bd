//! Log lines that untrusted clients can cause: at most one a second for each cause.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Minimum time between two lines of one cause.
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

/// Limits the lines of one cause.
#[derive(Debug)]
pub struct LimitedLog(Mutex<State>);

impl LimitedLog {
    /// No line has been written yet.
    pub const fn new() -> Self {
        Self(Mutex::new(State {
            last: None,
            suppressed: 0,
        }))
    }

    /// Returns the number of lines suppressed since the last one if a line may be written.
    pub fn due(&self) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.last.is_some_and(|last| last.elapsed() < INTERVAL) {
            state.suppressed += 1;
            return None;
        }
        state.last = Some(Instant::now());
        Some(std::mem::take(&mut state.suppressed))
    }
}

impl Default for LimitedLog {
    fn default() -> Self {
        Self::new()
    }
}
