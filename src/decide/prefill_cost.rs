//! Latency model of a prefill.

/// Factor by which each new observation reduces the weights of earlier ones.
const DECAY: f64 = 0.99;
/// Weight of an observation that is slower than the fit. It is low because other nodes' prefills can only add
/// to a measured time.
const SLOW_WEIGHT: f64 = 0.1;
/// Number of coordinate descent steps after each observation.
const DESCENT_STEPS: usize = 12;
/// Lower bound of the first two coefficients.
const MIN_COEFFICIENT: f64 = 1e-4;
/// Prompt lengths, in thousands of tokens, of the synthetic observations that initialize the fit.
const INITIAL_PROMPTS: [f64; 4] = [0.0, 1.0, 2.0, 4.0];

/// Cost a + b·t + c·t² in seconds of prefilling t thousand uncached tokens (E_p of the paper). The
/// coefficients are fitted by least squares, start from given values and never become negative; older
/// prefills weigh less.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillCost {
    /// Normal equations: for each coefficient its row of the matrix, followed by the right-hand side.
    pub(super) sums: [[f64; 4]; 3],
    /// Coefficients a, b and c.
    pub(super) coefficients: [f64; 3],
}

impl PrefillCost {
    pub(super) fn new(base_s: f64, s_per_1000_tokens: f64) -> Self {
        let coefficients = [base_s, s_per_1000_tokens, 0.0];
        let mut fit = PrefillCost { coefficients, ..PrefillCost::default() };
        for thousands in INITIAL_PROMPTS {
            fit.observe(1000.0 * thousands, base_s + s_per_1000_tokens * thousands);
        }
        fit
    }

    /// Adds an observation: a prefill at an idle engine.
    pub(super) fn observe(&mut self, tokens: f64, seconds: f64) {
        let thousands = tokens / 1000.0;
        let weight = if seconds > self.predict_s(tokens) { SLOW_WEIGHT } else { 1.0 };
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

    /// Returns the predicted duration, in seconds, of prefilling this many uncached tokens.
    pub(super) fn predict_s(&self, tokens: f64) -> f64 {
        let thousands = tokens / 1000.0;
        self.coefficients[0] + self.coefficients[1] * thousands + self.coefficients[2] * thousands * thousands
    }
}
