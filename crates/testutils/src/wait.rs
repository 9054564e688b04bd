//! Waits for conditions with a time limit.

use std::time::{Duration, Instant};

/// Interval between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `ready` returns true and returns the elapsed time.
///
/// # Panics
///
/// Panics if it does not return true within `limit`.
pub fn until(what: &str, limit: Duration, mut ready: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !ready() {
        assert!(started.elapsed() < limit, "{what}: not within {limit:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}
