//! Memory that requests of all connections together may use.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each connection may use, whatever the others use.
const GUARANTEED_BYTES: usize = 16 * 1024;

/// The limit of all connections, and what they use.
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { max_bytes, used_bytes: Cell::new(0) })
    }
}

/// What one connection uses of the budget; dropped, it uses nothing.
pub struct MemoryUse {
    budget: Rc<MemoryBudget>,
    used_bytes: Cell<usize>,
}

impl MemoryUse {
    /// Nothing is used yet.
    pub fn new(budget: &Rc<MemoryBudget>) -> MemoryUse {
        MemoryUse { budget: budget.clone(), used_bytes: Cell::new(0) }
    }

    /// The connection uses so many bytes now. False: that is more than the budget has left.
    pub fn set(&self, bytes: usize) -> bool {
        let total = self.budget.used_bytes.get() - self.used_bytes.replace(bytes) + bytes;
        self.budget.used_bytes.set(total);
        bytes <= GUARANTEED_BYTES || total <= self.budget.max_bytes
    }
}

impl Drop for MemoryUse {
    fn drop(&mut self) {
        self.set(0);
    }
}
