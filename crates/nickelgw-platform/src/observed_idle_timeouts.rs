//! How long engines keep idle connections, as far as that was observed.

use std::collections::BTreeMap;

/// Maximum number of engines whose idle timeouts are remembered.
const MAX_OBSERVED_ENGINES: usize = 2048;

/// Time in seconds for which an engine was observed to keep idle connections, by address. Engines that were
/// never observed to end one have no entry.
#[derive(Default)]
pub(crate) struct ObservedIdleTimeouts {
    by_address: BTreeMap<String, f64>,
}

impl ObservedIdleTimeouts {
    /// Returns the observed idle timeout; infinite if there is none.
    pub(crate) fn of(&self, address: &str) -> f64 {
        self.by_address.get(address).copied().unwrap_or(f64::INFINITY)
    }

    /// Takes into account that a connection was open after it had been idle for this time.
    pub(crate) fn record_open(&mut self, address: &str, idle_s: f64) {
        if let Some(timeout_s) = self.by_address.get_mut(address) {
            *timeout_s = timeout_s.max(idle_s);
        }
    }

    /// Takes into account that a connection was closed after it had been idle for this time.
    pub(crate) fn record_closed(&mut self, address: &str, idle_s: f64) {
        // Engines come and go; a timeout that is forgotten is observed again.
        if self.by_address.len() >= MAX_OBSERVED_ENGINES && !self.by_address.contains_key(address) {
            self.by_address.clear();
        }
        let timeout_s = self.by_address.entry(address.to_string()).or_insert(f64::INFINITY);
        *timeout_s = timeout_s.min(idle_s);
    }
}
