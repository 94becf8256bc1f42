//! A node: the I/O-free [`core`] around the decision module, and the sockets, timers and files that act for it.
//! All of a node runs on one thread; `docs/design-node.md` says why.

pub mod client;
pub mod core;
mod driver;
pub use crate::core::life::Exit;
pub use driver::Order;
mod engines;
mod meter;
mod repeat;
mod server;
mod watch;

pub use meter::Meter;

use crate::core::life::Life;
use crate::core::{Core, Door, Figures};
use async_channel::{bounded, unbounded};
use nickelgw::interface::Deployment;
use nickelgw_chat::core::{budget, repeats};
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
    pub most_connections: usize,
    pub most_body_bytes: usize,
    /// For a request's head, and for its body, to come in whole.
    pub head_s: f64,
    pub body_s: f64,
    pub connect_s: f64,
    pub probe_s: f64,
    /// Connections kept open to an engine while unused, how many and how long.
    pub most_idle: usize,
    pub idle_s: f64,
    /// Requests that may wait for the core; one more is refused.
    pub most_waiting: usize,
    /// A client that takes nothing of its stream for so long has left.
    pub client_stall_s: f64,
    /// What a refused client is told.
    pub come_back_s: f64,
    /// What the system holds of an answer for a client that reads slowly, on each connection; 0: its own default.
    pub send_buffer: usize,
}

/// All that a node is started with.
pub struct Start {
    pub name: String,
    pub zone: String,
    pub deployment: Deployment,
    pub figures: Figures,
    pub door: Door,
    pub limits: Limits,
    /// host:port of the engine list.
    pub list: String,
    pub last_list: Option<PathBuf>,
    pub meter: Option<Arc<Mutex<Meter>>>,
    pub tls: TlsStart,
    pub repeats: repeats::Figures,
    pub retries: budget::Figures,
    pub life: crate::core::life::Figures,
    /// What the process is told to do, in service.
    pub orders: async_channel::Receiver<Order>,
    /// Called once, when it can serve.
    pub on_serving: Option<Box<dyn FnOnce() + Send>>,
}

/// Keys and trust, looked at once already: what was not sound then keeps the node from starting.
#[derive(Default)]
pub struct TlsStart {
    /// Towards engines; none: plain.
    pub engines: Option<nickelgw_tls::Client>,
    /// On the chat port; none: plain.
    pub chat: Option<nickelgw_tls::Server>,
    pub reload_s: f64,
    /// Handshakes under way at once: of the node, and towards one engine.
    pub at_once: usize,
    pub at_once_engine: usize,
    pub retire_gap_s: f64,
}

/// Seconds since 1970.
pub(crate) fn unix_now() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0.0, |d| d.as_secs_f64())
}

/// Seconds since the node began.
#[derive(Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub fn now(self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }
}

pub(crate) fn seconds(s: f64) -> Duration {
    // Unbounded patience is bounded by what a timer can hold.
    Duration::from_secs_f64(s.clamp(0.0, 86_400.0))
}

/// The future's result, or none when so many seconds have passed.
pub(crate) async fn within<T>(s: f64, f: impl std::future::Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(f.await) }, async {
        Timer::after(seconds(s)).await;
        None
    })
    .await
}

/// Serves until its life ends or the future is dropped. Everything it began ends with it.
pub async fn run(listener: TcpListener, start: Start) -> std::io::Result<Exit> {
    let clock = Clock(Instant::now());
    let listener = smol::Async::new(listener)?;
    let ex = Rc::new(LocalExecutor::new());
    let (to_core, words) = bounded(1024);
    let (gone, left) = unbounded();
    let (poke, poked) = bounded(1);
    let limits = Rc::new(start.limits);
    let tls = start.tls.engines.map(|c| client::Tls(Arc::new(Mutex::new(c))));
    let plain = tls.is_none();
    let figures = pool::Figures {
        // A connection without a handshake costs little; engines' own limits bound it.
        at_once: if plain { 1024 } else { start.tls.at_once },
        at_once_engine: if plain { 256 } else { start.tls.at_once_engine },
        most_idle: limits.most_idle,
        idle_s: limits.idle_s,
        retire_gap_s: start.tls.retire_gap_s,
        ..pool::Figures::default()
    };
    let connections = client::Pool::new(ex.clone(), limits.connect_s, figures, tls);
    let reload_s = start.tls.reload_s;
    let tending = ex.spawn(connections.clone().tend(reload_s));
    let engines = engines::Engines::new(connections, &start.name, &start.zone, limits.clone());
    let seed = start.deployment.seed ^ u64::from(start.deployment.node);
    let mut core = Core::new(start.deployment, start.figures);
    let mut life = Life::new(start.life);
    let doors = driver::Doors::new();
    let mut on_serving = start.on_serving;
    if let Some(list) = watch::last(start.last_list.as_deref()) {
        tracing::info!(engines = list.engines.len(), revision = list.revision, "served from the last list");
        core.list_unproved(clock.now(), &list);
        life.heard();
        doors.healthy.set(true);
        on_serving.take().into_iter().for_each(|say| say());
    }
    let watch = watch::Watch {
        address: start.list.clone(),
        node: start.name.clone(),
        last: start.last_list,
        words: to_core.clone(),
        poked,
        clock,
    };
    let watching = ex.spawn(watch.run(engines.clone()));
    let names = Rc::new(start.door.models.iter().map(|m| m.name.clone()).collect::<Vec<_>>());
    let waiting = Rc::new(std::cell::Cell::new(0));
    let driver = driver::Driver {
        core,
        clock,
        ex: ex.clone(),
        engines,
        to_core: to_core.clone(),
        words,
        left,
        poke,
        waiting: waiting.clone(),
        jobs: Default::default(),
        sends: Default::default(),
        meter: start.meter,
        life,
        doors: doors.clone(),
        on_serving,
        list: start.list,
    };
    let driving = driver.run();
    let server = Rc::new(server::Server {
        door: start.door,
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
        budget: RefCell::new(budget::Budget::new(start.retries, seed)),
        repeats: repeat::Relays::new(start.repeats),
    });
    let repeating = ex.spawn(repeat::tend(server.clone()));
    let looking = ex.spawn(server::look(server.clone(), reload_s));
    let (orders, told) = (start.orders, server.to_core.clone());
    let ordering = ex.spawn(async move {
        while let Ok(order) = orders.recv().await {
            let _ = told.send(driver::Word::new(driver::Said::Order(order))).await;
        }
    });
    let accepting = ex.spawn(server::accept(listener, server, ex.clone()));
    let exit = ex.run(driving).await;
    drop((watching, tending, looking, repeating, ordering, accepting));
    Ok(exit)
}
