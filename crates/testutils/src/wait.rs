//! Waiting for a condition with a bound.

use std::time::{Duration, Instant};

/// Pause between two looks at the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `ready` holds and returns how long that took.
///
/// # Panics
///
/// When it does not hold within `limit`.
pub fn until(what: &str, limit: Duration, mut ready: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !ready() {
        assert!(started.elapsed() < limit, "{what}: not within {limit:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}
