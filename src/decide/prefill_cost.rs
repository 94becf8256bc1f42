//! The latency model of a prefill.

/// Weight that an observation keeps with each later one.
const DECAY: f64 = 0.99;
/// Weight of an observation above the fit: other nodes' prefills only ever add to a timing.
const SLOW_WEIGHT: f64 = 0.1;
/// Steps of the coordinate descent after each observation.
const DESCENT_STEPS: usize = 12;
/// Least value of the first two coefficients.
const MIN_COEFFICIENT: f64 = 1e-4;
/// Prompts, in thousands of tokens, that the fit begins with.
const INITIAL_PROMPTS: [f64; 4] = [0.0, 1.0, 2.0, 4.0];

/// Cost a + b·t + c·t² of prefilling t thousand uncached tokens (E_p of the paper): least squares, older prefills
/// decayed, from the starting values; no coefficient falls below zero.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillCost {
    /// The normal equations: for each coefficient its row, and the right-hand side.
    pub(super) sums: [[f64; 4]; 3],
    pub(super) coefficients: [f64; 3],
}

impl PrefillCost {
    pub(super) fn new(base_s: f64, s_per_1000_tokens: f64) -> Self {
        let coefficients = [base_s, s_per_1000_tokens, 0.0];
        let mut fit = PrefillCost { coefficients, ..PrefillCost::default() };
        for thousands in INITIAL_PROMPTS {
            fit.add(1000.0 * thousands, base_s + s_per_1000_tokens * thousands);
        }
        fit
    }

    /// Takes in a prefill that met an idle engine.
    pub(super) fn add(&mut self, tokens: f64, seconds: f64) {
        let thousands = tokens / 1000.0;
        let weight = if seconds > self.of(tokens) { SLOW_WEIGHT } else { 1.0 };
        let x = [1.0, thousands, thousands * thousands, seconds];
        for (i, row) in self.sums.iter_mut().enumerate() {
            for (sum, y) in row.iter_mut().zip(x) {
                *sum = DECAY * *sum + weight * x[i] * y;
            }
        }
        for i in (0..3).cycle().take(DESCENT_STEPS) {
            self.fit_coefficient(i);
        }
    }

    /// Sets one coefficient to its best value given the others.
    fn fit_coefficient(&mut self, i: usize) {
        let row = self.sums[i];
        let coefficients = self.coefficients;
        let others = (0..3).map(|j| row[j] * coefficients[j]).sum::<f64>() - row[i] * coefficients[i];
        let minimum = if i < 2 { MIN_COEFFICIENT } else { 0.0 };
        self.coefficients[i] = ((row[3] - others) / row[i].max(1e-9)).max(minimum);
    }

    /// Seconds that a prefill of so many uncached tokens takes.
    pub(super) fn of(&self, tokens: f64) -> f64 {
        let thousands = tokens / 1000.0;
        self.coefficients[0] + self.coefficients[1] * thousands + self.coefficients[2] * thousands * thousands
    }
}
