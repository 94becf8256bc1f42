//! The directory of endpoints. Endpoint sources update its view; changes of the view are sent to the core and
//! written to the cache on disk.

use super::cache;
use crate::clock::{seconds, Clock};
use crate::engines::EngineClient;
use crate::events::{Event, TimedEvent};
use async_channel::Sender;
use nickelgw_node_core::Endpoint;
use nickelgw_protocol::list::{EndpointEntry, EndpointList};
use nickelgw_registry::core::endpoint_view::EndpointView;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

/// Interval at which the timeouts of the view are checked.
const TICK_INTERVAL_S: f64 = 0.25;

/// The node's view of the fleet's endpoints.
pub struct EndpointDirectory {
    /// View of the endpoints, which reconciles the reports of the endpoint source.
    pub view: RefCell<EndpointView>,
    /// Client that probes suspect endpoints and calls the endpoint sources.
    pub engines: Rc<EngineClient>,
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// The node's clock.
    pub clock: Clock,
    /// File that caches the list; `None` if it is not cached.
    pub cache: Option<PathBuf>,
    executor: Rc<LocalExecutor<'static>>,
    /// Revision of the last list sent to the core. The registry's own revision may go back, this one never
    /// does.
    published_revision: Cell<u64>,
    /// Revision of the list on disk. Locked during a write, so that an older list never replaces a newer one.
    cached_revision: smol::lock::Mutex<u64>,
}

impl EndpointDirectory {
    /// Creates an empty directory that caches its list in the file `cache`, if given.
    pub fn new(
        view: EndpointView,
        engines: Rc<EngineClient>,
        events: Sender<TimedEvent>,
        clock: Clock,
        cache: Option<PathBuf>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<EndpointDirectory> {
        Rc::new(EndpointDirectory {
            view: RefCell::new(view),
            engines,
            events,
            clock,
            cache,
            executor,
            published_revision: Cell::new(0),
            cached_revision: Default::default(),
        })
    }

    /// Fills the view from a cached list. The source's first report is reconciled with it, so that even an
    /// empty first list is treated as suspect.
    pub fn restore(&self, entries: Vec<EndpointEntry>) {
        let mut view = self.view.borrow_mut();
        view.replace_all(self.clock.now(), 0, entries, false);
        view.take_changes();
    }

    /// Handles a report of the whole list by the source. `rolled_back` says whether the source itself was
    /// restored from a backup.
    pub async fn replace_all(self: &Rc<Self>, revision: u64, entries: Vec<EndpointEntry>, rolled_back: bool) {
        self.view.borrow_mut().replace_all(self.clock.now(), revision, entries, rolled_back);
        self.reconcile().await;
    }

    /// Probes suspect endpoints and publishes the view if it has changed.
    pub async fn reconcile(self: &Rc<Self>) {
        let suspects = {
            let mut view = self.view.borrow_mut();
            view.tick(self.clock.now());
            view.take_probes()
        };
        for entry in suspects {
            self.executor.spawn(self.clone().probe(entry)).detach();
        }
        self.publish().await;
    }

    async fn probe(self: Rc<Self>, entry: EndpointEntry) {
        let endpoint = Endpoint { id: entry.id, address: entry.address, tls_name: entry.tls_name };
        // Probes twice, as one lost packet must not remove an engine.
        let is_reachable =
            self.engines.is_reachable(&endpoint).await || self.engines.is_reachable(&endpoint).await;
        self.view.borrow_mut().probe_finished(self.clock.now(), &endpoint.id, is_reachable);
        self.publish().await;
    }

    /// Sends the list to the core and writes it to disk, if it has changed.
    async fn publish(&self) {
        let changed = self.view.borrow_mut().take_changes();
        let Some(engines) = changed else { return };
        let revision = self.published_revision.get() + 1;
        self.published_revision.set(revision);
        let list = EndpointList { revision, engines };
        let bytes = serde_json::to_vec(&list).unwrap_or_default();
        let replaced = self.view.borrow_mut().take_replaced();
        let event = TimedEvent::new(Event::EndpointsUpdated { list, replaced });
        if self.events.send(event).await.is_ok() {
            self.write_cache(revision, bytes).await;
        }
    }

    async fn write_cache(&self, revision: u64, bytes: Vec<u8>) {
        let Some(path) = self.cache.clone() else { return };
        let mut cached_revision = self.cached_revision.lock().await;
        if *cached_revision > revision {
            return;
        }
        *cached_revision = revision;
        let stored = smol::unblock(move || cache::store(&path, &bytes)).await;
        if let Err(error) = stored {
            tracing::warn!(%error, "endpoint cache write failed");
        }
    }

    /// Checks the timeouts of the view periodically until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            Timer::after(seconds(TICK_INTERVAL_S)).await;
            self.reconcile().await;
        }
    }
}
