//! Summaries of measurements.

use hdrhistogram::Histogram;

/// Number of significant digits that a histogram keeps.
const DIGITS: u8 = 3;

/// Returns an empty histogram of values from 1 to `max`; greater values count as `max`.
pub(super) fn new_histogram(max: u64) -> Histogram<u64> {
    Histogram::new_with_bounds(1, max, DIGITS).expect("bounds and digits are valid constants")
}

/// Returns the value at a quantile, divided by `unit`.
pub(super) fn quantile(histogram: &Histogram<u64>, quantile: f64, unit: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / unit
}

/// Median and range of a figure over several runs.
pub(super) struct Summary {
    pub(super) median: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

impl Summary {
    /// Summarizes `values`, which must not be empty.
    pub(super) fn of(mut values: Vec<f64>) -> Summary {
        values.sort_by(f64::total_cmp);
        Summary { median: values[values.len() / 2], min: values[0], max: values[values.len() - 1] }
    }
}
