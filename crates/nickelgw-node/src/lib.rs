//! A node: the I/O-free [`core`] around the decision module, and the sockets, timers and files that act for it.
//! All of a node runs on one thread; `docs/design-node.md` says why.

mod admin;
mod background;
pub mod client;
mod event_loop;
pub use event_loop::ProcessSignal;
pub use nickelgw_node_core::shutdown::Exit;
mod deferred;
pub mod discovery;
mod endpoint_watch;
mod engines;
mod gossip;
mod idempotency;
mod latency_metrics;
mod persistence;
mod server;

pub use deferred::{DeferredQueueConfig, MAX_ATTEMPTS};
pub use gossip::{GossipOptions, GossipSockets};
pub use latency_metrics::LatencyMetrics;

use async_channel::{bounded, unbounded};
use nickelgw::interface::Deployment;
use nickelgw_background_tasks::core::{TaskClass, TaskSpec};
use nickelgw_chat::core::idempotency::IdempotencyConfig;
use nickelgw_chat::core::retry_budget;
use nickelgw_node_core::shutdown::ProcessLifecycle;
use nickelgw_node_core::{Admission, CoreConfig, NodeCore};
use nickelgw_registry::core::endpoint_view::EndpointView;
use nickelgw_store::core::{retention, RecordKind};
use nickelgw_tls::core::pool;
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limits of the shell; each is a setting, with its default in `node.proto`.
#[derive(Clone, Debug)]
pub struct Limits {
    pub max_connections: usize,
    pub max_body_bytes: usize,
    /// For a request's head, and for its body, to come in whole.
    pub head_timeout_s: f64,
    pub body_timeout_s: f64,
    pub connect_timeout_s: f64,
    pub probe_timeout_s: f64,
    /// Connections kept open to an engine while unused, how many and how long.
    pub max_idle_connections: usize,
    pub idle_timeout_s: f64,
    /// Requests that may wait for the core; one more is refused.
    pub max_queued: usize,
    /// A client that takes nothing of its stream for so long has left.
    pub client_stall_timeout_s: f64,
    /// What a refused client is told.
    pub retry_after_s: f64,
    /// What the system holds of an answer for a client that reads slowly, on each connection; 0: its own default.
    pub send_buffer: usize,
}

/// All that a node is started with.
pub struct NodeOptions {
    pub name: String,
    pub zone: String,
    pub deployment: Deployment,
    pub core_config: CoreConfig,
    pub admission: Admission,
    pub limits: Limits,
    pub endpoint_source: EndpointSource,
    pub endpoint_cache: Option<PathBuf>,
    /// File that keeps what the next process is to know.
    pub store: Option<PathBuf>,
    /// The operators' port.
    pub admin: Option<TcpListener>,
    /// Or its address, to be had once the process before has gone.
    pub admin_address: Option<String>,
    pub latency: Option<Arc<Mutex<LatencyMetrics>>>,
    pub tls: TlsOptions,
    pub idempotency: IdempotencyConfig,
    pub retry_budget: retry_budget::RetryBudgetConfig,
    pub shutdown: nickelgw_node_core::shutdown::ShutdownConfig,
    /// What the process is told to do, in service.
    pub signals: async_channel::Receiver<ProcessSignal>,
    /// What is doubted of the fleet.
    pub view_config: nickelgw_registry::core::endpoint_view::EndpointViewConfig,
    /// Called once, when it can serve.
    pub on_serving: Option<Box<dyn FnOnce() + Send>>,
    /// Where offline inferences are kept; none: they are not taken.
    pub deferred: Option<DeferredQueueConfig>,
    /// What nodes tell each other; none: each goes by what it sees itself.
    pub gossip: Option<GossipOptions>,
    /// Accepts nothing before it can serve: another process listens on the same socket meanwhile.
    pub accept_when_ready: bool,
}

/// Where engine lines come from.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// host:port of the engine list.
    List(String),
    /// A file of the same form, watched.
    File(PathBuf),
    Registry(discovery::RegistryOptions),
}

/// Keys and trust, looked at once already: what was not sound then keeps the node from starting.
#[derive(Default)]
pub struct TlsOptions {
    /// Towards engines; none: plain.
    pub engines: Option<nickelgw_tls::Client>,
    /// On the chat port; none: plain.
    pub chat: Option<nickelgw_tls::Server>,
    pub reload_s: f64,
    /// Handshakes under way at once: of the node, and towards one engine.
    pub max_handshakes: usize,
    pub max_handshakes_per_engine: usize,
    pub retire_gap_s: f64,
}

/// Seconds since 1970.
pub(crate) fn unix_now() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0.0, |d| d.as_secs_f64())
}

/// Seconds since the node began.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn now(self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }
}

pub fn seconds(s: f64) -> Duration {
    // Unbounded patience is bounded by what a timer can hold.
    Duration::from_secs_f64(s.clamp(0.0, 86_400.0))
}

/// The future's result, or none when so many seconds have passed.
pub async fn within<T>(s: f64, f: impl std::future::Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(f.await) }, async {
        Timer::after(seconds(s)).await;
        None
    })
    .await
}

/// Serves until its life ends or the future is dropped. Everything it began ends with it.
pub async fn run(listener: TcpListener, start: NodeOptions) -> std::io::Result<Exit> {
    let clock = Clock(Instant::now());
    let listener = smol::Async::new(listener)?;
    let ex = Rc::new(LocalExecutor::new());
    let (to_core, words) = bounded(1024);
    let (gone, left) = unbounded();
    let (poke, poked) = bounded(1);
    let limits = Rc::new(start.limits);
    let tls = start.tls.engines.map(|c| client::Tls(Arc::new(Mutex::new(c))));
    let plain = tls.is_none();
    let figures = pool::PoolConfig {
        // A connection without a handshake costs little; engines' own limits bound it.
        max_handshakes: if plain { 1024 } else { start.tls.max_handshakes },
        max_handshakes_per_engine: if plain { 256 } else { start.tls.max_handshakes_per_engine },
        max_idle: limits.max_idle_connections,
        idle_timeout_s: limits.idle_timeout_s,
        retire_interval_s: start.tls.retire_gap_s,
        ..pool::PoolConfig::default()
    };
    let connections = client::Pool::new(ex.clone(), limits.connect_timeout_s, figures, tls);
    let reload_s = start.tls.reload_s;
    let tending = ex.spawn(connections.clone().tend());
    let looked = connections.clone();
    let engines = engines::Engines::new(connections, &start.name, &start.zone, limits.clone());
    let seed = start.deployment.seed ^ u64::from(start.deployment.node);
    let boot = start.core_config.incarnation.clone();
    let (keeper, found) = persistence::StoreWriter::open(start.store, clock);
    let repeats = start.deployment.routes.iter().map(deferred::repeat).collect();
    let mut core = NodeCore::new(start.deployment, start.core_config);
    let doors = event_loop::ListenerState::new();
    let met = bounded(1);
    let whole = Rc::new(std::cell::Cell::new(true));
    let fleet_of_nodes = start.gossip.map(|t| {
        core.join_fleet(&t.gossip.own().name, t.zones, t.gossip.round_s(), seed);
        let accord = Rc::new(RefCell::new(t.gossip));
        let (words, closing) = (to_core.clone(), doors.accept_until.1.clone());
        (
            accord.clone(),
            ex.spawn(gossip::run(t.sockets, accord, words, clock, closing, met.clone(), whole.clone())),
        )
    });
    let accord = fleet_of_nodes.as_ref().map(|f| f.0.clone());
    let parked = start.deferred.map(|lot| {
        deferred::DeferredRequests::open(lot, repeats, clock, &start.admission, accord.clone(), whole)
    });
    let keepers: Vec<_> = std::iter::once(&keeper).chain(parked.iter().map(|p| &p.keeper)).cloned().collect();
    let relays = idempotency::ResponseSharing::new(start.idempotency);
    for f in found {
        match f.kind {
            RecordKind::IdempotencyKey => {
                relays.restore(clock.now() - f.age_s.unwrap_or(0.0), &f.key, &f.value)
            }
            RecordKind::LearnedState => {
                let trust = retention::learned_state_weight(f.age_s.unwrap_or(f64::INFINITY));
                let read = core.restore_state(&f.value, trust);
                tracing::info!(trust, read, "what the process before had learnt");
            }
            RecordKind::EndpointList | RecordKind::DeferredRequest => {}
        }
    }
    let mut life = ProcessLifecycle::new(start.shutdown);
    let (gate, opened) = bounded::<()>(1);
    let (say, patient) = (start.on_serving, start.accept_when_ready);
    let mut on_serving: Option<Box<dyn FnOnce() + Send>> = Some(Box::new(move || {
        gate.close();
        say.into_iter().for_each(|say| say());
    }));
    let fleet = Rc::new(discovery::EndpointDirectory {
        view: RefCell::new(EndpointView::new(start.view_config)),
        engines: engines.clone(),
        words: to_core.clone(),
        clock,
        last: start.endpoint_cache.clone(),
        ex: ex.clone(),
        told: std::cell::Cell::new(0),
        written: Default::default(),
    });
    if let Some(list) = endpoint_watch::last(start.endpoint_cache.as_deref()) {
        tracing::info!(engines = list.engines.len(), revision = list.revision, "served from the last list");
        core.restore_endpoints(clock.now(), &list);
        // What a source says next is reconciled with it: an empty first word is doubted too.
        fleet.view.borrow_mut().replace_all(clock.now(), 0, list.engines, false);
        fleet.view.borrow_mut().take_changes();
        life.endpoints_known();
        doors.healthy.set(true);
        on_serving.take().into_iter().for_each(|say| say());
    }
    let mut sources = Vec::new();
    let mut following = vec![ex.spawn(fleet.clone().tend())];
    match start.endpoint_source {
        EndpointSource::List(address) => {
            sources.push(address.clone());
            let name = start.name.clone();
            let watch = endpoint_watch::Watch {
                address,
                node: name,
                fleet: fleet.clone(),
                words: to_core.clone(),
                poked,
                clock,
            };
            following.push(ex.spawn(watch.run(engines.clone())));
        }
        EndpointSource::File(path) => following.push(ex.spawn(fleet.clone().follow_file(path))),
        EndpointSource::Registry(registry) => {
            sources = registry.endpoints.clone();
            if registry.nodes.is_some() {
                // Until it has a place it uses nothing of what all share.
                core.set_fleet_position(clock.now(), None);
            }
            let (name, token) = (start.name.clone(), RefCell::new(None));
            let client = Rc::new(discovery::RegistryClient { registry, name, fleet: fleet.clone(), token });
            following.push(ex.spawn(client.clone().follow(seed)));
            following.push(ex.spawn(client.hold_place(seed)));
        }
    }
    let names = Rc::new(start.admission.models.iter().map(|m| m.name.clone()).collect::<Vec<_>>());
    let waiting = Rc::new(std::cell::Cell::new(0));
    let driver = event_loop::EventLoop {
        core,
        met: met.0,
        clock,
        ex: ex.clone(),
        engines,
        events: to_core.clone(),
        incoming_events: words,
        disconnected_clients: left,
        list_wakeup: poke,
        waiting: waiting.clone(),
        clients: Default::default(),
        attempts: Default::default(),
        latency: start.latency,
        lifecycle: life,
        incarnation: boot,
        store_writers: keepers.clone(),
        listener: doors.clone(),
        on_serving,
        sources,
    };
    let driving = driver.run();
    let server = Rc::new(server::Server {
        door: start.admission,
        limits,
        to_core,
        gone,
        waiting,
        name: start.name,
        serial: RefCell::new(0),
        models: names,
        doors,
        tls: start.tls.chat.map(|s| Arc::new(Mutex::new(s))),
        clock,
        ex: ex.clone(),
        budget: RefCell::new(retry_budget::RetryBudget::new(start.retry_budget, seed)),
        repeats: relays,
        keeper: keeper.clone(),
        parked: parked.clone(),
    });
    let keeping: Vec<_> = keepers.iter().map(|k| ex.spawn(k.clone().run())).collect();
    let replaying = ex.spawn(server.clone().replay());
    let behind = background::Background::new(ex.clone(), clock, seed);
    chores(&behind, &server, looked, reload_s);
    let admin = Rc::new(admin::Admin {
        to_core: server.to_core.clone(),
        doors: server.doors.clone(),
        behind: behind.clone(),
        keeper: keeper.clone(),
        accord,
        parked,
        clock,
    });
    let operators = ex.spawn(admin::run(start.admin, start.admin_address, admin, ex.clone()));
    let chores = ex.spawn(behind.run());
    let (orders, told) = (start.signals, server.to_core.clone());
    let ordering = ex.spawn(async move {
        while let Ok(order) = orders.recv().await {
            let _ = told.send(event_loop::TimedEvent::new(event_loop::Event::Signal(order))).await;
        }
    });
    let of = ex.clone();
    let accepting = ex.spawn(async move {
        if patient {
            let _ = opened.recv().await;
        }
        server::accept(listener, server, of).await;
    });
    let exit = ex.run(driving).await;
    drop((operators, replaying, fleet_of_nodes, following, tending, chores, ordering, accepting, keeping));
    for k in keepers {
        ex.run(k.flush()).await;
    }
    Ok(exit)
}

/// How often what was learnt is kept, and what is too old is dropped.
const LEARNT_S: f64 = 2.0;
const EXPIRE_S: f64 = 30.0;

/// What no request waits for.
fn chores(
    behind: &Rc<background::Background>,
    server: &Rc<server::Server>,
    pool: Rc<client::Pool>,
    reload_s: f64,
) {
    use background::Done;
    let spec = |class, interval_s| TaskSpec {
        class,
        interval_s: Some(interval_s),
        deadline_s: interval_s,
        timeout_s: 10.0,
        estimated_s: 1e-4,
        estimated_bytes: 0.0,
    };
    let of = server.clone();
    behind.add("repeats", spec(TaskClass::Required, 0.1), move || {
        let of = of.clone();
        async move {
            idempotency::tend(of).await;
            Done { bytes: 0.0, done: true }
        }
    });
    let of = server.clone();
    behind.add("certificates", spec(TaskClass::Maintenance, reload_s.max(0.01)), move || {
        let (of, pool) = (of.clone(), pool.clone());
        async move {
            pool.look().await;
            server::look(of).await;
            Done { bytes: 0.0, done: true }
        }
    });
    let of = server.clone();
    behind.add("learnt", spec(TaskClass::Maintenance, LEARNT_S), move || {
        let of = of.clone();
        async move {
            let (to, learnt) = bounded(1);
            let asked = of
                .to_core
                .send(event_loop::TimedEvent::new(event_loop::Event::SaveLearnedState { reply_to: to }))
                .await;
            let Ok(bytes) = learnt.recv().await else { return Done { bytes: 0.0, done: asked.is_ok() } };
            of.keeper.put(RecordKind::LearnedState, b"", &bytes);
            Done { bytes: bytes.len() as f64, done: true }
        }
    });
    let of = server.clone();
    behind.add("expire", spec(TaskClass::Idle, EXPIRE_S), move || {
        let of = of.clone();
        async move {
            of.keeper.expire();
            Done { bytes: 0.0, done: true }
        }
    });
    let me = Rc::downgrade(behind);
    behind.add("account", spec(TaskClass::Idle, EXPIRE_S), move || {
        let me = me.clone();
        async move {
            if let Some(me) = me.upgrade() {
                for (task, waits_s) in me.overdue() {
                    tracing::warn!(task, waits_s, "background work is overdue");
                }
                tracing::debug!(took_s = me.took_s(), "background work so far");
            }
            Done { bytes: 0.0, done: true }
        }
    });
}
