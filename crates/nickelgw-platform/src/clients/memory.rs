//! Memory of all clients' connections: a connection waits for memory, or gives its own back.

use crate::core::client_memory::{ClientMemory, MemoryGrant, RequestStage};
use async_channel::{Receiver, Sender};
use event_listener::Event;
use nickelgw_node::{within, Clock};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time for which a request waits for memory before it is refused. Its client's time runs meanwhile.
const MEMORY_WAIT_S: f64 = 0.25;
/// Interval at which a request that waits for memory looks again for others that have stalled meanwhile.
const MEMORY_RETRY_S: f64 = 0.05;

/// Memory of all connections together.
pub struct MemoryBudget {
    clock: Clock,
    memory: RefCell<ClientMemory>,
    /// Channels that close when a connection's request has to give way.
    reclaims: RefCell<BTreeMap<u64, Sender<()>>>,
    /// Notifies the connection that has been waiting the longest that memory was freed.
    freed: Event,
}

impl MemoryBudget {
    /// Creates a budget of `pool_bytes` beyond what each connection is guaranteed.
    pub fn new(pool_bytes: usize, clock: Clock) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            clock,
            memory: RefCell::new(ClientMemory::new(pool_bytes)),
            reclaims: RefCell::default(),
            freed: Event::new(),
        })
    }

    /// Creates the channel that closes when this connection's request has to give way.
    fn new_reclaim_channel(&self, key: u64) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.reclaims.borrow_mut().insert(key, sender);
        receiver
    }

    fn request(&self, key: u64, stage: RequestStage, bytes: usize) -> bool {
        let grant = self.memory.borrow_mut().request(self.clock.now(), key, stage, bytes);
        match grant {
            MemoryGrant::Granted => true,
            MemoryGrant::Exhausted { reclaim } => {
                let reclaims = self.reclaims.borrow();
                reclaim.iter().filter_map(|key| reclaims.get(key)).for_each(|reclaim| {
                    reclaim.close();
                });
                false
            }
        }
    }
}

/// One connection's use of the budget; dropping it returns the memory to the budget.
pub struct MemoryUse {
    budget: Rc<MemoryBudget>,
    key: u64,
    reclaims: RefCell<Receiver<()>>,
}

impl MemoryUse {
    /// Creates the use of an idle connection.
    pub fn new(budget: &Rc<MemoryBudget>) -> MemoryUse {
        let key = budget.memory.borrow_mut().add();
        let reclaims = RefCell::new(budget.new_reclaim_channel(key));
        MemoryUse { budget: budget.clone(), key, reclaims }
    }

    /// Sets what the connection uses. It must not exceed what was reserved.
    pub fn set(&self, stage: RequestStage, bytes: usize) {
        self.budget.memory.borrow_mut().set(self.budget.clock.now(), self.key, stage, bytes);
        self.budget.freed.notify(1);
        let request_ended = matches!(stage, RequestStage::Idle | RequestStage::Open);
        if request_ended && self.reclaims.borrow().is_closed() {
            // The request arrived completely just as it was to give way; this must not affect the next one.
            self.reclaims.replace(self.budget.new_reclaim_channel(self.key));
        }
    }

    /// Reserves what the connection is about to use; returns `false` if that is not available.
    pub fn try_reserve(&self, stage: RequestStage, bytes: usize) -> bool {
        self.budget.request(self.key, stage, bytes)
    }

    /// Reserves what the connection is about to use, and waits for others to free it. Returns `false` if that
    /// takes too long.
    pub async fn reserve(&self, stage: RequestStage, bytes: usize) -> bool {
        if self.try_reserve(stage, bytes) {
            return true;
        }
        let reserved = async {
            loop {
                self.note_memory_wait();
                let freed = self.budget.freed.listen();
                if self.try_reserve(stage, bytes) {
                    return;
                }
                within(MEMORY_RETRY_S, freed).await;
            }
        };
        let is_reserved = within(MEMORY_WAIT_S, reserved).await.is_some();
        self.note_memory_wait();
        // What was freed may be enough for another connection as well.
        self.budget.freed.notify(1);
        is_reserved
    }

    /// Notes that bytes of the request have arrived.
    pub fn note_arrival(&self) {
        self.budget.memory.borrow_mut().note_arrival(self.budget.clock.now(), self.key);
    }

    fn note_memory_wait(&self) {
        self.budget.memory.borrow_mut().note_memory_wait(self.budget.clock.now(), self.key);
    }

    /// Waits until the request that is arriving has to give way to others.
    pub async fn reclaimed(&self) {
        let reclaims = self.reclaims.borrow().clone();
        let _ = reclaims.recv().await;
    }
}

impl Drop for MemoryUse {
    fn drop(&mut self) {
        self.budget.memory.borrow_mut().remove(self.key);
        self.budget.reclaims.borrow_mut().remove(&self.key);
        self.budget.freed.notify(1);
    }
}
