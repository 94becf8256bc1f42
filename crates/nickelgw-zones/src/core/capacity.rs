//! Engines of a zone, counted by the phases that they can serve.

use std::iter::Sum;

/// Engines of a zone, by what they can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Engines that can prefill.
    pub prefill_engines: usize,
    /// Engines that can decode.
    pub decode_engines: usize,
}

impl ZoneCapacity {
    /// Engines of either kind.
    pub(super) fn total(self) -> usize {
        self.prefill_engines + self.decode_engines
    }

    /// Whether each phase that `other` can serve can be served here too.
    pub(super) fn covers(self, other: ZoneCapacity) -> bool {
        let covers_prefill = self.prefill_engines > 0 || other.prefill_engines == 0;
        let covers_decode = self.decode_engines > 0 || other.decode_engines == 0;
        covers_prefill && covers_decode
    }
}

impl Sum for ZoneCapacity {
    fn sum<Capacities: Iterator<Item = ZoneCapacity>>(capacities: Capacities) -> ZoneCapacity {
        capacities.fold(ZoneCapacity::default(), |total, capacity| ZoneCapacity {
            prefill_engines: total.prefill_engines + capacity.prefill_engines,
            decode_engines: total.decode_engines + capacity.decode_engines,
        })
    }
}
