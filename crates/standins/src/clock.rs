//! Wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use flamingolock_core::prelude::*;

/// Current wall-clock time since the Unix epoch.
pub(crate) fn unix_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(since.unwrap_or_default().as_millis() as u64)
}
