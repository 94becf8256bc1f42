//! The node's monotonic clock, and timers in seconds.

use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest timer, in seconds. Larger values, which stand for "never", are clamped to it so that they fit a
/// [`Duration`].
const MAX_TIMER_S: f64 = 86_400.0;

/// Returns the current time in seconds since the Unix epoch.
pub(crate) fn unix_now() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |duration| duration.as_secs_f64())
}

/// Monotonic clock that counts the seconds since the node started.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock whose time zero is now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the seconds since the clock was started.
    pub fn now(self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// Returns the clock's time at `moment` in seconds; negative if `moment` is before the start.
    pub fn seconds_at(self, moment: Instant) -> f64 {
        match moment.checked_duration_since(self.0) {
            Some(since) => since.as_secs_f64(),
            None => -(self.0 - moment).as_secs_f64(),
        }
    }

    /// Returns the instant of time zero.
    pub fn origin(self) -> Instant {
        self.0
    }
}

/// Converts seconds to a [`Duration`], clamped to between zero and the longest timer.
pub fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, MAX_TIMER_S))
}

/// Returns the future's result, or `None` if it has not completed within `timeout_s` seconds.
pub async fn within<T>(timeout_s: f64, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(seconds(timeout_s)).await;
        None
    })
    .await
}
