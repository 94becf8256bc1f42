//! The node's file: what the shelf wants written is written on a thread that may wait, and who waits is told.

use crate::{unix_now, Clock};
use async_channel::{bounded, Receiver, Sender};
use nickelgw_store::core::write_buffer::{RestoredRecord, Waiter, WriteBuffer, WriteBufferConfig};
use nickelgw_store::core::RecordKind;
use nickelgw_store::{open_or_recreate, Store, StoreError};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct StoreWriter {
    shelf: RefCell<WriteBuffer>,
    store: RefCell<Option<Arc<Store>>>,
    path: Option<PathBuf>,
    waiters: RefCell<HashMap<Waiter, Sender<bool>>>,
    next: Cell<u64>,
    bell: (Sender<()>, Receiver<()>),
    /// Given up to the process that takes over.
    released: Cell<bool>,
    clock: Clock,
}

/// A process that hands over needs a moment to let go of the file.
const LET_GO: Duration = Duration::from_secs(2);

impl StoreWriter {
    /// Opens the file; blocking, before anything is served.
    pub fn open(path: Option<PathBuf>, clock: Clock) -> (Rc<StoreWriter>, Vec<RestoredRecord>) {
        let mut shelf = WriteBuffer::new(WriteBufferConfig::default());
        let (mut store, mut found) = (None, Vec::new());
        if let Some(path) = &path {
            let from = Instant::now();
            let opened = loop {
                let opened = open_or_recreate(path);
                if !matches!(opened.error, Some(StoreError::Locked)) || from.elapsed() > LET_GO {
                    break opened;
                }
                std::thread::sleep(Duration::from_millis(20));
            };
            match &opened.error {
                Some(p @ StoreError::Damaged(_)) => {
                    tracing::warn!(file = %path.display(), "the store is {p}; it is put aside, nothing of it is used")
                }
                Some(p) => tracing::warn!(file = %path.display(), "the store is {p}; nothing is kept"),
                None => {}
            }
            found = shelf.restore(clock.now(), unix_now(), opened.records);
            store = opened.store.map(Arc::new);
            tracing::info!(records = found.len(), unsound = shelf.counters.damaged, "the store was read");
        }
        let keeper = StoreWriter {
            shelf: RefCell::new(shelf),
            store: RefCell::new(store),
            path,
            waiters: RefCell::default(),
            next: Cell::new(0),
            bell: bounded(1),
            released: Cell::new(false),
            clock,
        };
        (Rc::new(keeper), found)
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Another process has the file now, or is about to: what must be on disk before it runs cannot run here.
    pub fn is_released(&self) -> bool {
        self.released.get()
    }

    pub fn put(&self, kind: RecordKind, key: &[u8], value: &[u8]) {
        if self.store.borrow().is_some() {
            self.shelf.borrow_mut().put(self.clock.now(), unix_now(), (kind, key), value, None);
            let _ = self.bell.0.try_send(());
        }
    }

    pub fn remove(&self, kind: RecordKind, key: &[u8]) {
        self.shelf.borrow_mut().remove(self.clock.now(), kind, key);
    }

    /// True once it is on disk, or where nothing is kept at all.
    pub async fn put_and_wait(&self, kind: RecordKind, key: &[u8], value: &[u8]) -> bool {
        if self.store.borrow().is_none() {
            return self.path.is_none();
        }
        self.next.set(self.next.get() + 1);
        let w = Waiter(self.next.get());
        let (told, done) = bounded(1);
        self.waiters.borrow_mut().insert(w, told);
        self.shelf.borrow_mut().put(self.clock.now(), unix_now(), (kind, key), value, Some(w));
        let _ = self.bell.0.try_send(());
        done.recv().await.unwrap_or(false)
    }

    pub fn counters(&self) -> nickelgw_store::core::write_buffer::StoreCounters {
        self.shelf.borrow().counters
    }

    pub fn expire(&self) {
        self.shelf.borrow_mut().expire(self.clock.now(), unix_now());
        let _ = self.bell.0.try_send(());
    }

    /// Lets go of the file for another process, or takes it back.
    pub fn release(&self, release: bool) {
        self.released.set(release);
        let _ = self.bell.0.try_send(());
    }

    pub async fn run(self: Rc<Self>) {
        if self.path.is_none() {
            return;
        }
        loop {
            if self.released.get() && self.store.borrow().is_some() {
                self.flush().await;
                // The last handle closes the file.
                let store = self.store.borrow_mut().take();
                smol::unblock(move || drop(store)).await;
            }
            if !self.released.get() && self.store.borrow().is_none() {
                if let Some(path) = self.path.clone() {
                    let opened = smol::unblock(move || Store::open(&path)).await;
                    *self.store.borrow_mut() = opened.ok().map(|(s, _)| Arc::new(s));
                }
            }
            let wake = self.commit().await;
            let wait = wake.map_or(1.0, |w| (w - self.clock.now()).clamp(0.0005, 1.0));
            crate::within(wait, self.bell.1.recv()).await;
        }
    }

    /// Makes the commit that is due, if one is; gives when the next will be.
    async fn commit(&self) -> Option<f64> {
        let (batch, wake) = self.shelf.borrow_mut().poll_batch(self.clock.now());
        let Some(batch) = batch else { return wake };
        let store = self.store.borrow().clone();
        let number = batch.number;
        let done = match store {
            None => false,
            Some(store) => {
                let written = smol::unblock(move || store.commit(&batch)).await;
                if let Err(e) = &written {
                    tracing::warn!(error = %e, "the store was not written");
                }
                written.is_ok()
            }
        };
        let told = self.shelf.borrow_mut().commit_finished(self.clock.now(), number, done);
        for (w, done) in told {
            if let Some(to) = self.waiters.borrow_mut().remove(&w) {
                let _ = to.try_send(done);
            }
        }
        Some(self.clock.now())
    }

    /// What is left to write, before the process ends; bounded by a few tries.
    pub async fn flush(&self) {
        for _ in 0..200 {
            if self.store.borrow().is_none() || self.shelf.borrow().is_clean() {
                return;
            }
            self.commit().await;
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}
