//! Timeouts of the calls to discovery. They are derived together, since the platform limits their sums:
//!
//! 1. A change that discovery receives as it recovers counts as announced at once, and calls that it accepted
//!    before its recovery are never answered. One such call and the gap after it therefore take at most half
//!    of the time within which dispatching has to stop; the rest remains for the event loop and for attempts
//!    under way.
//! 2. Whichever calls failed, were refused or timed out before, a change counts as announced
//!    `ANNOUNCED_AFTER_S` after discovery had it and could be reached. The longest sequence of calls is: a
//!    watch is never answered from its start and runs into its timeout, a call for the list runs into its own
//!    timeout, and the next call returns the change.
//!
//! A timeout only starts the next call; the overdue call stays open beside it (`late_calls`), since a response
//! that is late is not distinguishable from one that will never come. Where responses are regularly late, the
//! timeouts follow the observed response time (`response_time`).

/// Time after which a change counts as announced, from when discovery had it and could be reached (the
/// platform's protocol).
pub const ANNOUNCED_AFTER_S: f64 = 6.0;
/// Part of `ANNOUNCED_AFTER_S` that is reserved for a delayed event loop and for the work that an update
/// causes.
pub(super) const MARGIN_S: f64 = 1.0;
/// Timeout for receiving a whole list, from the time at which discovery is expected to answer.
const TRANSFER_S: f64 = 0.8;
/// Shortest and longest timeout for a response's head while responses are not late. The discovery agent runs
/// on this machine and usually answers at once.
const HEAD_TIMEOUT_RANGE_S: (f64, f64) = (0.04, 0.5);
/// Timeout for a response's head, as a multiple of the observed response time.
const HEAD_TIMEOUT_PER_RESPONSE_TIME: f64 = 2.0;
/// Lower and upper limit of the longest gap between calls after failures.
const MAX_GAP_RANGE_S: (f64, f64) = (0.02, 0.25);
/// Shortest time for which a watch waits for an update.
const MIN_WATCH_S: f64 = 0.05;
/// The gap after a first failure is the longest gap divided by this.
const FIRST_GAP_DIVISOR: f64 = 4.0;
/// Maximum number of times that the gap is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Timeouts in seconds for a response's head and for the whole response, from when discovery is expected to
/// answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseTimeouts {
    /// Time until the end of the head.
    pub head_s: f64,
    /// Time until the end of the body, if the head came in time.
    pub total_s: f64,
}

/// Timeouts of the calls to discovery, and gaps between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryTimeouts {
    /// Time for which a watch waits for an update.
    pub watch_s: f64,
    /// Longest gap between calls after failures.
    pub max_gap_s: f64,
    head_timeout_s: f64,
}

impl DiscoveryTimeouts {
    /// Derives the timeouts for a deployment in which no attempt may be dispatched to an engine later than
    /// `stop_dispatch_within_s` after its drain was announced.
    pub fn new(stop_dispatch_within_s: f64) -> DiscoveryTimeouts {
        let call_and_gap_s = stop_dispatch_within_s / 2.0;
        let head_timeout_s = (0.3 * call_and_gap_s).clamp(HEAD_TIMEOUT_RANGE_S.0, HEAD_TIMEOUT_RANGE_S.1);
        let max_gap_s = (0.2 * call_and_gap_s).clamp(MAX_GAP_RANGE_S.0, MAX_GAP_RANGE_S.1);
        let max_watch_s = ANNOUNCED_AFTER_S - MARGIN_S - TRANSFER_S - 2.0 * (max_gap_s + TRANSFER_S);
        let watch_s = (call_and_gap_s - head_timeout_s - max_gap_s).clamp(MIN_WATCH_S, max_watch_s);
        DiscoveryTimeouts { watch_s, max_gap_s, head_timeout_s }
    }

    /// Returns the timeouts of a call after which the next one starts, given the time in seconds that
    /// discovery was observed to take for a response.
    pub fn response_timeouts(&self, observed_response_time_s: f64) -> ResponseTimeouts {
        let adapted_s = HEAD_TIMEOUT_PER_RESPONSE_TIME * observed_response_time_s;
        ResponseTimeouts { head_s: adapted_s.clamp(self.head_timeout_s, TRANSFER_S), total_s: TRANSFER_S }
    }

    /// Returns the gap after a failure that was preceded by this many consecutive failures, in seconds.
    pub fn gap_s(&self, failures: u32) -> f64 {
        let doublings = f64::from(1u32 << failures.min(MAX_DOUBLINGS));
        (self.max_gap_s / FIRST_GAP_DIVISOR * doublings).min(self.max_gap_s)
    }
}

#[cfg(test)]
#[path = "discovery_timing_tests.rs"]
mod tests;
