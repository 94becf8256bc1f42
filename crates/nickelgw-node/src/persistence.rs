//! Writes the node's store. Writes are buffered, committed in batches on a thread that may block, and
//! confirmed to the tasks that wait for them.

use crate::clock::{unix_now, within, Clock};
use async_channel::{bounded, Receiver, Sender};
use nickelgw_store::core::write_buffer::{
    RestoredRecord, StoreCounters, Waiter, WriteBuffer, WriteBufferConfig,
};
use nickelgw_store::core::RecordKind;
use nickelgw_store::{open_or_recreate, Opened, Store, StoreError};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long to wait for the lock of the store file, which a process that hands over may still hold, and how
/// often to retry.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
const LOCK_POLL: Duration = Duration::from_millis(20);
/// Shortest and longest sleep between two commits.
const MIN_SLEEP_S: f64 = 0.0005;
const MAX_SLEEP_S: f64 = 1.0;
/// Largest number of commits of a flush, and the delay after each.
const FLUSH_ATTEMPTS: usize = 200;
const FLUSH_RETRY: Duration = Duration::from_millis(10);

/// Writer of one store file.
pub struct StoreWriter {
    buffer: RefCell<WriteBuffer>,
    store: RefCell<Option<Arc<Store>>>,
    path: Option<PathBuf>,
    waiters: RefCell<HashMap<Waiter, Sender<bool>>>,
    next_waiter: Cell<u64>,
    wakeup: (Sender<()>, Receiver<()>),
    /// Whether the file has been closed, or is about to be closed, for the successor process.
    released: Cell<bool>,
    clock: Clock,
}

/// Opens the store, waiting up to [`LOCK_TIMEOUT`] for another process to release it.
fn open_when_unlocked(path: &Path) -> Opened {
    let started_at = Instant::now();
    loop {
        let opened = open_or_recreate(path);
        if !matches!(opened.error, Some(StoreError::Locked)) || started_at.elapsed() > LOCK_TIMEOUT {
            return opened;
        }
        std::thread::sleep(LOCK_POLL);
    }
}

impl StoreWriter {
    /// Opens the file and loads its records. This blocks, so it is called before the node serves.
    pub fn open(path: Option<PathBuf>, clock: Clock) -> (Rc<StoreWriter>, Vec<RestoredRecord>) {
        let mut buffer = WriteBuffer::new(WriteBufferConfig::default());
        let (mut store, mut restored) = (None, Vec::new());
        if let Some(path) = &path {
            let opened = open_when_unlocked(path);
            let file = path.display();
            match &opened.error {
                Some(problem @ StoreError::Damaged(_)) => {
                    tracing::warn!(%file, %problem, "store corrupt; moved aside and not used")
                }
                Some(problem) => tracing::warn!(%file, %problem, "store unavailable; nothing is persisted"),
                None => {}
            }
            restored = buffer.restore(clock.now(), unix_now(), opened.records);
            store = opened.store.map(Arc::new);
            tracing::info!(records = restored.len(), corrupt = buffer.counters.damaged, "store loaded");
        }
        let writer = StoreWriter {
            buffer: RefCell::new(buffer),
            store: RefCell::new(store),
            path,
            waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            wakeup: bounded(1),
            released: Cell::new(false),
            clock,
        };
        (Rc::new(writer), restored)
    }

    /// Returns the time in seconds on the clock by which the store's writes are timed.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Returns whether another process has the file open or is about to open it. A request that must be on
    /// disk before it runs cannot run in this process then.
    pub fn is_released(&self) -> bool {
        self.released.get()
    }

    fn is_open(&self) -> bool {
        self.store.borrow().is_some()
    }

    fn wake(&self) {
        let _ = self.wakeup.0.try_send(());
    }

    /// Buffers a record for the next commit.
    pub fn put(&self, kind: RecordKind, key: &[u8], value: &[u8]) {
        if self.is_open() {
            self.buffer.borrow_mut().put(self.clock.now(), unix_now(), (kind, key), value, None);
            self.wake();
        }
    }

    /// Buffers the removal of a record for the next commit.
    pub fn remove(&self, kind: RecordKind, key: &[u8]) {
        self.buffer.borrow_mut().remove(self.clock.now(), kind, key);
    }

    /// Buffers a record and waits for its commit. Returns true once the record is on disk, or if the node has
    /// no store file.
    pub async fn put_and_wait(&self, kind: RecordKind, key: &[u8], value: &[u8]) -> bool {
        if !self.is_open() {
            return self.path.is_none();
        }
        self.next_waiter.set(self.next_waiter.get() + 1);
        let waiter = Waiter(self.next_waiter.get());
        let (sender, committed) = bounded(1);
        self.waiters.borrow_mut().insert(waiter, sender);
        self.buffer.borrow_mut().put(self.clock.now(), unix_now(), (kind, key), value, Some(waiter));
        self.wake();
        committed.recv().await.unwrap_or(false)
    }

    /// Returns the store's counters.
    pub fn counters(&self) -> StoreCounters {
        self.buffer.borrow().counters
    }

    /// Removes the records whose retention time is over.
    pub fn expire(&self) {
        self.buffer.borrow_mut().expire(self.clock.now(), unix_now());
        self.wake();
    }

    /// Closes the file for another process if `released` is true, or opens it again.
    pub fn set_released(&self, released: bool) {
        self.released.set(released);
        self.wake();
    }

    /// Commits batches as they become due; runs until dropped.
    pub async fn run(self: Rc<Self>) {
        let Some(path) = self.path.clone() else { return };
        loop {
            if self.released.get() && self.is_open() {
                self.flush().await;
                // Dropping the last handle closes the file.
                let store = self.store.borrow_mut().take();
                smol::unblock(move || drop(store)).await;
            }
            if !self.released.get() && !self.is_open() {
                let path = path.clone();
                let opened = smol::unblock(move || Store::open(&path)).await;
                *self.store.borrow_mut() = opened.ok().map(|(store, _)| Arc::new(store));
            }
            let wake_at = self.commit().await;
            let sleep_s = wake_at
                .map_or(MAX_SLEEP_S, |wake_at| (wake_at - self.clock.now()).clamp(MIN_SLEEP_S, MAX_SLEEP_S));
            within(sleep_s, self.wakeup.1.recv()).await;
        }
    }

    /// Commits the batch that is due, if any. Returns when the next one is due.
    async fn commit(&self) -> Option<f64> {
        let (batch, wake_at) = self.buffer.borrow_mut().poll_batch(self.clock.now());
        let Some(batch) = batch else { return wake_at };
        let store = self.store.borrow().clone();
        let number = batch.number;
        let is_committed = match store {
            None => false,
            Some(store) => {
                let committed = smol::unblock(move || store.commit(&batch)).await;
                if let Err(error) = &committed {
                    tracing::warn!(%error, "store write failed");
                }
                committed.is_ok()
            }
        };
        let confirmed = self.buffer.borrow_mut().commit_finished(self.clock.now(), number, is_committed);
        for (waiter, is_committed) in confirmed {
            if let Some(sender) = self.waiters.borrow_mut().remove(&waiter) {
                let _ = sender.try_send(is_committed);
            }
        }
        Some(self.clock.now())
    }

    /// Commits everything that is buffered, before the file is closed or the process ends. Stops after
    /// [`FLUSH_ATTEMPTS`] commits.
    pub async fn flush(&self) {
        for _ in 0..FLUSH_ATTEMPTS {
            if !self.is_open() || self.buffer.borrow().is_clean() {
                return;
            }
            self.commit().await;
            Timer::after(FLUSH_RETRY).await;
        }
    }
}
