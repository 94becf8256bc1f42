//! Timeouts of the calls to discovery. All are derived here, since the platform limits their sums.
//!
//! 1. What discovery receives when it recovers counts as announced at once, and calls that it accepted before are never
//!    answered: the time of one such call and of the gap behind it is half of the time in which dispatching has to stop, so
//!    that the rest remains for the event loop and for attempts under way.
//! 2. Whatever call failed, was refused or timed out before, a change counts as announced `ANNOUNCED_AFTER_S` after
//!    discovery had it and could be reached. The longest course: a watch falls silent just as it begins and its whole time
//!    passes, a call for the list is broken off by its own timeout, and the next one brings the change.

/// A change counts as announced so long after discovery had it and could be reached (the platform's protocol).
const ANNOUNCED_AFTER_S: f64 = 6.0;
/// Of that, the node reserves so much for a late event loop and what the update sets off.
const MARGIN_S: f64 = 1.0;
/// A list arrives whole within this, from when it is expected.
const TRANSFER_S: f64 = 0.8;
/// The agent runs on this machine and answers at once: a response that has not begun within this will not come.
const HEAD_TIMEOUT_RANGE_S: (f64, f64) = (0.04, 0.5);
/// Longest gap after failures.
const MAX_GAP_RANGE_S: (f64, f64) = (0.02, 0.25);
/// Shortest time for which a watch waits for an update.
const MIN_WATCH_S: f64 = 0.05;
/// The first gap after a failure is the longest one divided by this.
const FIRST_GAP_DIVISOR: f64 = 4.0;
/// Gaps are doubled at most so often.
const MAX_DOUBLINGS: u32 = 8;

/// What a call to discovery is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    /// The whole list, which is answered at once.
    List,
    /// Changes, for which discovery waits.
    Watch,
}

/// Seconds within which a response's head, and the whole response, must have arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseTimeouts {
    /// Until the end of the head.
    pub head_s: f64,
    /// Until the end of the body.
    pub total_s: f64,
}

impl ResponseTimeouts {
    /// One timeout for the response as a whole.
    pub fn total(total_s: f64) -> ResponseTimeouts {
        ResponseTimeouts { head_s: total_s, total_s }
    }
}

/// Timeouts and gaps of the calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryTimeouts {
    /// How long a watch waits for an update.
    pub watch_s: f64,
    /// Longest gap after failures.
    pub max_gap_s: f64,
    head_timeout_s: f64,
}

impl DiscoveryTimeouts {
    /// For a deployment in which nothing new may be dispatched so long after a drain was announced.
    pub fn new(stop_dispatch_within_s: f64) -> DiscoveryTimeouts {
        let course_s = stop_dispatch_within_s / 2.0;
        let head_timeout_s = (0.3 * course_s).clamp(HEAD_TIMEOUT_RANGE_S.0, HEAD_TIMEOUT_RANGE_S.1);
        let max_gap_s = (0.2 * course_s).clamp(MAX_GAP_RANGE_S.0, MAX_GAP_RANGE_S.1);
        let max_watch_s = ANNOUNCED_AFTER_S - MARGIN_S - TRANSFER_S - 2.0 * (max_gap_s + TRANSFER_S);
        let watch_s = (course_s - head_timeout_s - max_gap_s).clamp(MIN_WATCH_S, max_watch_s);
        DiscoveryTimeouts { watch_s, max_gap_s, head_timeout_s }
    }

    /// The timeouts of one call.
    pub fn response_timeouts(&self, call: DiscoveryCall) -> ResponseTimeouts {
        let waits_s = match call {
            DiscoveryCall::Watch => self.watch_s,
            DiscoveryCall::List => 0.0,
        };
        ResponseTimeouts { head_s: waits_s + self.head_timeout_s, total_s: waits_s + TRANSFER_S }
    }

    /// Gap after so many failures in a row.
    pub fn gap_s(&self, failures: u32) -> f64 {
        let doublings = f64::from(1u32 << failures.min(MAX_DOUBLINGS));
        (self.max_gap_s / FIRST_GAP_DIVISOR * doublings).min(self.max_gap_s)
    }
}

#[cfg(test)]
#[path = "discovery_timing_tests.rs"]
mod tests;
