//! Memory of all streams together. Each stream may use some bytes whatever the others use, enough for events of the usual
//! size; all beyond that comes from a pool. While the pool is exhausted, streams with longer events are not read.

use event_listener::Event;
use nickelgw_node::within;
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each stream may use, however much the others use.
const GUARANTEED_BYTES: usize = 12 * 1024;
/// Time for which a stream waits for memory before it fails.
const MEMORY_WAIT_S: f64 = 4.0;
/// A buffer that grows has up to this many times the size of its contents.
const BUFFER_GROWTH: usize = 2;

/// The pool of all streams.
pub struct StreamMemory {
    pool_bytes: usize,
    used_bytes: Cell<usize>,
    freed: Event,
}

/// Error returned when a stream finds no memory in time.
#[derive(Debug)]
pub struct OutOfMemory;

impl StreamMemory {
    /// Creates a pool of this size.
    pub fn new(pool_bytes: usize) -> Rc<StreamMemory> {
        Rc::new(StreamMemory { pool_bytes, used_bytes: Cell::new(0), freed: Event::new() })
    }
}

/// One stream's use of memory; dropping it returns the memory to the pool.
pub struct StreamMemoryUse {
    memory: Rc<StreamMemory>,
    /// Bytes of events that are arriving.
    receiving: Cell<usize>,
    /// Bytes of events in the queue.
    queued: Cell<usize>,
    /// Bytes of events that are being written to the client.
    writing: Cell<usize>,
}

impl StreamMemoryUse {
    /// Creates the use of a stream of which nothing has arrived.
    pub fn new(memory: &Rc<StreamMemory>) -> Rc<StreamMemoryUse> {
        Rc::new(StreamMemoryUse {
            memory: memory.clone(),
            receiving: Cell::default(),
            queued: Cell::default(),
            writing: Cell::default(),
        })
    }

    /// Waits until a stream of which `pending_bytes` bytes of an event have arrived may read more.
    pub async fn reserve(&self, pending_bytes: usize) -> Result<(), OutOfMemory> {
        let bytes = BUFFER_GROWTH * pending_bytes;
        if self.try_receive(bytes) {
            return Ok(());
        }
        let reserved = async {
            loop {
                let freed = self.memory.freed.listen();
                if self.try_receive(bytes) {
                    return;
                }
                freed.await;
            }
        };
        within(MEMORY_WAIT_S, reserved).await.ok_or(OutOfMemory)
    }

    /// Returns the bytes in the queue.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued.get()
    }

    /// Moves bytes that have arrived to the queue.
    pub(super) fn set_queued(&self, bytes: usize) {
        self.set(&self.queued, self.queued.get() + bytes);
    }

    /// Moves bytes from the queue to what is being written.
    pub(super) fn set_taken(&self, bytes: usize) {
        self.set(&self.writing, self.writing.get() + bytes);
        self.set(&self.queued, self.queued.get().saturating_sub(bytes));
    }

    /// Notes that all that was taken from the queue is written.
    pub(super) fn set_written(&self) {
        self.set(&self.writing, 0);
    }

    fn try_receive(&self, bytes: usize) -> bool {
        let before = self.pooled_bytes();
        let after = pooled(self.queued.get() + self.writing.get() + bytes);
        let is_granted =
            after <= before || self.memory.used_bytes.get() - before + after <= self.memory.pool_bytes;
        if is_granted {
            self.set(&self.receiving, bytes);
        }
        is_granted
    }

    fn set(&self, part: &Cell<usize>, bytes: usize) {
        let before = self.pooled_bytes();
        part.set(bytes);
        let after = self.pooled_bytes();
        self.memory.used_bytes.set(self.memory.used_bytes.get() - before + after);
        if after < before {
            self.memory.freed.notify(usize::MAX);
        }
    }

    fn pooled_bytes(&self) -> usize {
        pooled(self.receiving.get() + self.queued.get() + self.writing.get())
    }
}

/// Returns how many of these bytes come from the pool.
fn pooled(bytes: usize) -> usize {
    bytes.saturating_sub(GUARANTEED_BYTES)
}

impl Drop for StreamMemoryUse {
    fn drop(&mut self) {
        self.memory.used_bytes.set(self.memory.used_bytes.get() - self.pooled_bytes());
        self.memory.freed.notify(usize::MAX);
    }
}
