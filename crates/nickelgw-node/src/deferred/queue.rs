//! The queue of deferred requests and the store file that keeps it.

use super::concurrency::ConcurrencyLimit;
use crate::clock::{seconds, unix_now, Clock};
use crate::persistence::StoreWriter;
use async_channel::{bounded, Receiver, Sender};
use nickelgw::interface::{Idempotency, IdempotencyScope, ModelRoute};
use nickelgw_deferred::core::record::DeferredRecord;
use nickelgw_deferred::core::{
    DeferredCounters, DeferredLimits, DeferredQueue, RecordWrite, RetryPolicy, Ticket,
};
use nickelgw_gossip::core::record::name_hash;
use nickelgw_gossip::core::{Gossip, PeerRecord};
use nickelgw_node_core::admission::Tenant;
use nickelgw_node_core::Admission;
use nickelgw_store::core::RecordKind;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::rc::Rc;

/// Delay before a failed write to the store is retried.
const DISK_RETRY_S: f64 = 0.2;
/// Largest number of runs of a deferred request that fails and may run again.
pub const MAX_ATTEMPTS: u32 = 8;

/// Settings of the deferred queue.
pub struct DeferredQueueConfig {
    /// Store file of the queue.
    pub file: PathBuf,
    /// Limits of the queue's size and of the waiting time.
    pub limits: DeferredLimits,
    /// Largest number of deferred requests that run at the same time.
    pub max_running: usize,
    /// Weight of each tenant, in the order of the admission's tenants; a tenant without one has weight 1.
    pub weights: Vec<f64>,
}

/// The queue of deferred requests, the writer of its store file, and the limits of its runs.
pub struct DeferredRequests {
    pub(super) queue: RefCell<DeferredQueue>,
    /// Writer of the queue's store file.
    pub store_writer: Rc<StoreWriter>,
    /// Retry policy of each model route.
    retry_policies: Vec<RetryPolicy>,
    weights: Vec<f64>,
    pub(super) concurrency: ConcurrencyLimit,
    /// Number of tickets issued by this process.
    tickets_issued: Cell<u64>,
    /// Channel that wakes the replay loop.
    pub(super) wakeup: (Sender<()>, Receiver<()>),
    pub(super) gossip: Option<Rc<RefCell<Gossip>>>,
    /// Whether no zone is evacuated or recovering. While one is, no deferred request runs: requests that wait
    /// for the zone come first.
    pub(super) all_zones_active: Rc<Cell<bool>>,
}

/// Returns whether and for how long deferred requests of a model route may run again.
pub fn retry_policy(route: &ModelRoute) -> RetryPolicy {
    match route.idempotency {
        Idempotency::Idempotent => RetryPolicy::Always,
        Idempotency::Keyed { scope: IdempotencyScope::All, window_s } => RetryPolicy::Within { window_s },
        // A narrower scope needs the engines that have received the request, which a later process does not
        // know.
        _ => RetryPolicy::Never,
    }
}

/// Returns the key of a ticket's record in the store.
pub(super) fn record_key(ticket: Ticket) -> [u8; 16] {
    ticket.to_be_bytes()
}

impl DeferredRequests {
    /// Opens the queue and loads the requests that an earlier process queued. This blocks, so it is called
    /// before the node serves.
    pub fn open(
        config: DeferredQueueConfig,
        retry_policies: Vec<RetryPolicy>,
        clock: Clock,
        admission: &Admission,
        gossip: Option<Rc<RefCell<Gossip>>>,
        all_zones_active: Rc<Cell<bool>>,
    ) -> Rc<DeferredRequests> {
        let (store_writer, records) = StoreWriter::open(Some(config.file), clock);
        let mut queue = DeferredQueue::new(config.limits);
        let records = records.into_iter().filter(|record| record.kind == RecordKind::DeferredRequest);
        let records = records
            .filter_map(|record| Some((Ticket::from_be_bytes(record.key.try_into().ok()?), record.value)));
        let policy_of = |record: &DeferredRecord| {
            let tenants = &admission.tenants;
            let is_known_tenant =
                tenants.is_empty() || tenants.iter().any(|tenant| tenant.name == record.tenant);
            let route = admission.models.iter().position(|model| model.name == record.model)?;
            retry_policies.get(route).copied().filter(|_| is_known_tenant)
        };
        for write in queue.restore(unix_now(), records, policy_of) {
            let key = record_key(write.ticket);
            match write.bytes {
                Some(bytes) => store_writer.put(RecordKind::DeferredRequest, &key, &bytes),
                None => store_writer.remove(RecordKind::DeferredRequest, &key),
            }
            // Marked as written before it is on disk: if this process ends before the write, the next one
            // restores the queue with the same result.
            queue.write_finished(write.ticket, write.version, true);
        }
        tracing::info!(deferred = queue.len(), "deferred requests loaded");
        Rc::new(DeferredRequests {
            queue: RefCell::new(queue),
            store_writer,
            retry_policies,
            weights: config.weights,
            concurrency: ConcurrencyLimit::new(config.max_running),
            tickets_issued: Cell::new(0),
            wakeup: bounded(1),
            gossip,
            all_zones_active,
        })
    }

    /// Returns the number of waiting requests of all tenants.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().waiting().map(|(_, count)| count).sum()
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.concurrency.running()
    }

    /// Returns the counters of requests by outcome.
    pub fn counters(&self) -> DeferredCounters {
        self.queue.borrow().counters
    }

    pub(super) fn new_ticket(&self) -> Ticket {
        self.tickets_issued.set(self.tickets_issued.get() + 1);
        // Each new `RandomState` has its own random seed.
        let random = || RandomState::new().hash_one(self.tickets_issued.get());
        Ticket::from(random()) << 64 | Ticket::from(random())
    }

    pub(super) fn retry_policy(&self, route: usize) -> Option<RetryPolicy> {
        self.retry_policies.get(route).copied()
    }

    pub(super) fn wake(&self) {
        let _ = self.wakeup.0.try_send(());
    }

    /// Writes a record, retrying until it is on disk or a newer version of it exists. Returns without waiting
    /// if the write removes the record.
    pub(super) async fn write(&self, write: RecordWrite) {
        let key = record_key(write.ticket);
        let Some(bytes) = write.bytes else {
            return self.store_writer.remove(RecordKind::DeferredRequest, &key);
        };
        // Checked before each try: if the disk fails for a while, a late retry could overwrite a newer
        // record.
        while self.queue.borrow().is_latest(write.ticket, write.version) {
            if self.store_writer.put_and_wait(RecordKind::DeferredRequest, &key, &bytes).await {
                return self.queue.borrow_mut().write_finished(write.ticket, write.version, true);
            }
            Timer::after(seconds(DISK_RETRY_S)).await;
        }
    }

    /// Returns a tenant's share of the runs at this node: its weight, scaled by the part of its waiting
    /// requests in the whole fleet that wait here. A tenant with requests at one node gets as much in total
    /// as one with requests at five.
    pub(super) fn share(&self, tenants: &[Tenant], name: &str) -> f64 {
        let index = tenants.iter().position(|tenant| tenant.name == name);
        let weight = index.and_then(|index| self.weights.get(index)).copied().unwrap_or(1.0);
        let waiting_here =
            self.queue.borrow().waiting().find(|(tenant, _)| *tenant == name).map_or(0, |(_, count)| count);
        nickelgw_deferred::core::local_weight(weight, waiting_here, self.waiting_elsewhere(name))
    }

    /// Returns the number of requests of a tenant that wait at other nodes, as last published by them.
    fn waiting_elsewhere(&self, tenant: &str) -> u64 {
        let Some(gossip) = &self.gossip else { return 0 };
        let tenant_hash = name_hash(tenant) as u32;
        let waiting_at = |peer: &PeerRecord| {
            let by_tenant = peer.record.deferred_by_tenant.iter();
            let of_tenant = by_tenant.filter(|entry| entry.0 == tenant_hash);
            of_tenant.map(|entry| u64::from(entry.1)).sum::<u64>()
        };
        gossip.borrow().live_peers(self.store_writer.now()).map(waiting_at).sum()
    }

    /// Publishes to the other nodes how many requests of each tenant wait here.
    pub(super) fn publish_waiting(&self) {
        let Some(gossip) = &self.gossip else { return };
        let queue = self.queue.borrow();
        let entry =
            |(tenant, count): (&str, usize)| (name_hash(tenant) as u32, count.min(u32::MAX as usize) as u32);
        gossip.borrow_mut().publish_deferred(queue.waiting().map(entry).collect());
    }
}
