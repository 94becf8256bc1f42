//! Waiting.

use smol::Timer;
use std::time::Duration;

/// Waits for some seconds; not at all where they are negative.
pub async fn sleep_s(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds.max(0.0))).await;
}
