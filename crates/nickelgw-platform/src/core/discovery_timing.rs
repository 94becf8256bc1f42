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

/// Time after which a change counts as announced, from when discovery had it and could be reached (the
/// platform's protocol).
const ANNOUNCED_AFTER_S: f64 = 6.0;
/// Part of `ANNOUNCED_AFTER_S` that is reserved for a delayed event loop and for the work that an update
/// causes.
const MARGIN_S: f64 = 1.0;
/// Timeout for receiving a whole list, from the time at which discovery is expected to answer.
const TRANSFER_S: f64 = 0.8;
/// Shortest and longest timeout for a response's head. The discovery agent runs on this machine and answers
/// at once: a response that has not begun by then will not come.
const HEAD_TIMEOUT_RANGE_S: (f64, f64) = (0.04, 0.5);
/// Lower and upper limit of the longest gap between calls after failures.
const MAX_GAP_RANGE_S: (f64, f64) = (0.02, 0.25);
/// Shortest time for which a watch waits for an update.
const MIN_WATCH_S: f64 = 0.05;
/// The gap after a first failure is the longest gap divided by this.
const FIRST_GAP_DIVISOR: f64 = 4.0;
/// Maximum number of times that the gap is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Purpose of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    /// Fetches the whole list, which discovery returns at once.
    List,
    /// Fetches changes of the list; discovery answers when there are some, or when the watch times out.
    Watch,
}

/// Timeouts in seconds for a response's head and for the whole response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseTimeouts {
    /// Time until the end of the head.
    pub head_s: f64,
    /// Time until the end of the body.
    pub total_s: f64,
}

impl ResponseTimeouts {
    /// Creates a single timeout for the response as a whole.
    pub fn total(total_s: f64) -> ResponseTimeouts {
        ResponseTimeouts { head_s: total_s, total_s }
    }
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

    /// Returns the timeouts of one call.
    pub fn response_timeouts(&self, call: DiscoveryCall) -> ResponseTimeouts {
        let watch_s = match call {
            DiscoveryCall::Watch => self.watch_s,
            DiscoveryCall::List => 0.0,
        };
        ResponseTimeouts { head_s: watch_s + self.head_timeout_s, total_s: watch_s + TRANSFER_S }
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
