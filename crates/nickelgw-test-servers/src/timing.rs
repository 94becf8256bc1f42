//! Sleeps and timeouts given in seconds.

use smol::Timer;
use std::future::Future;
use std::time::Duration;

/// Longest sleep. Sleeps are limited so that no number from a test gives an invalid duration.
const MAX_SLEEP_S: f64 = 3600.0;

/// Sleeps for a number of seconds, from 0 to [`MAX_SLEEP_S`].
pub(crate) async fn sleep_s(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds.clamp(0.0, MAX_SLEEP_S))).await;
}

/// Returns the result of a future. `None` if it is not ready after `seconds`.
pub(crate) async fn timeout_s<T>(seconds: f64, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        sleep_s(seconds).await;
        None
    })
    .await
}
