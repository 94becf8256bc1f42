//! When a change of the list is told. All times towards discovery are derived here, since their sums are what counts.
//!
//! 1. What discovery gets when it returns counts as told at once, and calls that it took before are never answered: the
//!    course of one such call and of the gap behind it is half of the time in which sending has to stop, so that the rest
//!    is left for the loop and for sends under way.
//! 2. Whatever call failed, was refused or was given up before, a change counts as told `TOLD_S` after discovery had it
//!    and could be reached. The longest course: a watch falls silent just as it begins and its whole time passes, a call
//!    for the list is broken off by its own whole time, and the next one brings the change.

const TOLD_S: f64 = 6.0;
/// Of that the node keeps so much for itself: a late loop, and what the list sets off.
const MARGIN_S: f64 = 1.0;
/// A list is whole within this, from when it is due.
const WHOLE_S: f64 = 0.8;
/// The agent stands on this machine and answers at once: what has not begun to within this is silent.
const SILENT_S: (f64, f64) = (0.04, 0.5);
/// Longest gap after failures.
const GAP_S: (f64, f64) = (0.02, 0.25);
/// How long a watch is to wait for news, at least.
const LEAST_WAIT_S: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a watch is to wait for news.
    pub wait_s: f64,
    /// Longest gap after failures.
    pub gap_s: f64,
    silent_s: f64,
}

impl Times {
    /// For a deployment in which nothing new may be sent so long after a drain was told.
    pub fn new(stop_within_s: f64) -> Times {
        let course = stop_within_s / 2.0;
        let silent_s = (0.3 * course).clamp(SILENT_S.0, SILENT_S.1);
        let gap_s = (0.2 * course).clamp(GAP_S.0, GAP_S.1);
        let most = TOLD_S - MARGIN_S - WHOLE_S - 2.0 * (gap_s + WHOLE_S);
        Times { wait_s: (course - silent_s - gap_s).clamp(LEAST_WAIT_S, most), gap_s, silent_s }
    }

    /// Within what a call's head, and all of it, have to be there; a watch or a call for the list.
    pub fn within(&self, watch: bool) -> (f64, f64) {
        let waits_s = if watch { self.wait_s } else { 0.0 };
        (waits_s + self.silent_s, waits_s + WHOLE_S)
    }

    /// Gap after so many failures in a row.
    pub fn gap(&self, failures: u32) -> f64 {
        (self.gap_s / 4.0 * f64::from(1u32 << failures.min(8))).min(self.gap_s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(0.25)]
    #[test_case(0.5)]
    #[test_case(2.0)]
    #[test_case(60.0)]
    fn the_longest_course_is_within_what_counts_as_told(stop_within_s: f64) {
        let t = Times::new(stop_within_s);
        let (head, whole) = t.within(true);
        // Refusals, however many, add no more than the longest gap.
        let gap = (0..100).map(|n| t.gap(n)).fold(0.0, f64::max);
        assert!(whole + gap + t.within(false).1 + gap + t.within(false).1 <= TOLD_S - MARGIN_S);
        // A call that the return finds under way, and the gap behind it.
        assert!(head + gap <= (stop_within_s / 2.0).max(0.12) + 1e-9, "{head} {gap}");
        assert!(t.within(false).0 + gap <= stop_within_s / 2.0 + 1e-9);
    }
}
