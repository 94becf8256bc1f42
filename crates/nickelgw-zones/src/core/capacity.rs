//! Numbers of engines of a zone by the phase that they can serve.

use std::iter::Sum;

/// Numbers of engines of a zone by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
}

impl ZoneCapacity {
    /// Number of engines of either kind.
    pub(super) fn total(self) -> usize {
        self.prefill_engines + self.decode_engines
    }

    /// Returns whether these engines can serve every phase that those of `other` can serve.
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
