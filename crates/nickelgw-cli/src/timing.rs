//! Timers.

use smol::Timer;
use std::time::Duration;

/// Waits for the given number of seconds; a negative number counts as zero.
pub async fn sleep_s(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds.max(0.0))).await;
}
