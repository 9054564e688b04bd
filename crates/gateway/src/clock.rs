//! Clock of the control logic: milliseconds since boot, including time suspended.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on the boot-time clock of this machine.
pub type Millis = u64;

/// Returns the current time. Unlike `Instant`, it includes the time during which the
/// machine was suspended, so that a lease that expired meanwhile counts as expired.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1000 + time.tv_nsec.unsigned_abs() / 1_000_000
}
