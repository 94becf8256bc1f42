//! What a node measures of itself.

use hdrhistogram::Histogram;
use std::time::Duration;

pub struct Meter {
    /// From the event's reading at its socket to the end of the core's decision on it.
    pub to_decision: Histogram<u64>,
    /// A round of decisions, the module's part of it included.
    pub round: Histogram<u64>,
    pub words: u64,
}

impl Default for Meter {
    fn default() -> Self {
        let h = Histogram::new(3).expect("three digits are allowed");
        Meter { to_decision: h.clone(), round: h, words: 0 }
    }
}

impl Meter {
    pub(crate) fn note(h: &mut Histogram<u64>, d: Duration) {
        h.saturating_record(d.as_nanos().min(u64::MAX as u128) as u64);
    }
}
