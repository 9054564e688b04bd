//! The clock of all decisions: milliseconds since boot, sleep included.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on the node's own clock.
pub type Millis = u64;

/// Now. Counts the time that the machine was suspended, unlike `Instant`, so a
/// lease that ran out meanwhile is seen to be over.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1000 + time.tv_nsec.unsigned_abs() / 1_000_000
}
