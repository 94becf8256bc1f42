//! Limit of the memory that the requests of all connections may use together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each connection may use, however much the others use.
const GUARANTEED_BYTES: usize = 16 * 1024;

/// Memory limit of all connections together, and the bytes in use.
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { max_bytes, used_bytes: Cell::new(0) })
    }
}

/// One connection's use of the budget; dropping it returns the memory to the budget.
pub struct MemoryUse {
    budget: Rc<MemoryBudget>,
    used_bytes: Cell<usize>,
}

impl MemoryUse {
    /// Creates a use of zero bytes.
    pub fn new(budget: &Rc<MemoryBudget>) -> MemoryUse {
        MemoryUse { budget: budget.clone(), used_bytes: Cell::new(0) }
    }

    /// Sets the number of bytes that the connection uses. Returns `false` if they exceed both the guaranteed
    /// bytes and what the budget has left.
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
