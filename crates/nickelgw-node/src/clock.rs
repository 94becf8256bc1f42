//! The node's monotonic clock, and timers in seconds.

use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a timer is clamped to: a limit of "never" has to fit a [`Duration`].
const MAX_TIMER_S: f64 = 86_400.0;

/// Seconds since the Unix epoch.
pub(crate) fn unix_now() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |duration| duration.as_secs_f64())
}

/// Seconds since the node started.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock whose time zero is now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Seconds since the clock was started.
    pub fn now(self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// The same at another moment; less than zero before the start.
    pub fn seconds_at(self, moment: Instant) -> f64 {
        match moment.checked_duration_since(self.0) {
            Some(since) => since.as_secs_f64(),
            None => -(self.0 - moment).as_secs_f64(),
        }
    }

    /// The instant of time zero.
    pub fn origin(self) -> Instant {
        self.0
    }
}

/// The duration of so many seconds, clamped to what a timer can hold.
pub fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, MAX_TIMER_S))
}

/// The future's result, or `None` once so many seconds have passed.
pub async fn within<T>(s: f64, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(seconds(s)).await;
        None
    })
    .await
}
