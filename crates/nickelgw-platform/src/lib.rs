//! A node on the operators' platform: their protocol in and out, their list, their starts and stops, around the core
//! that all fronts share. Everything runs on one thread and writes no files.

mod clients;
pub mod core;
mod counters;
mod discovery;
mod node;
mod orders;
mod socket;
pub mod start;
mod wire;

use crate::core::list::Roll;
use crate::core::request::Names;
use crate::core::told::Times;
use clients::Clients;
use nickelgw_node::seconds;
use nickelgw_node_core::{CoreConfig, NodeCore};
use node::Node;
pub use orders::{orders, Ordered, Orders};
use smol::{Async, LocalExecutor, Timer};
use socket::Memory;
use start::Start;
use std::cell::RefCell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wire::Pool;

/// A stream silent for so long is lost: a client may not be left waiting 5 s after an engine's last event.
const STREAM_IDLE_S: f64 = 4.0;
/// What is refused at a shutdown is told to come back after so long, where the settings allow it: another node takes it then.
const COME_BACK_S: f64 = 1.0;
/// A call that releases is repeated for so long: engines may be away for many seconds, and nobody else frees what stands there.
const LET_GO_S: f64 = 30.0;
/// After the order to shut down new connections still come for 0.2 to 0.4 s. Streams go on to the end: broken on purpose,
/// so that their clients ask elsewhere, they served less than half as often.
const STILL_COMING_S: f64 = 0.5;
/// What has not begun is answered so long before the process is killed.
const BEFORE_KILL_S: f64 = 0.4;
/// A configuration that cannot be read is read again so often, so long after: what discovery tells counts 4 s after SIGHUP.
const HALF_WRITTEN: usize = 20;
const AGAIN_S: f64 = 0.1;
/// Descriptors that the process has for itself: standard streams, poller and its wakers, signals, the listener, a
/// configuration that is read anew; and one more that is accepted before it is counted.
const OWN: usize = 14;
/// Parts of the others for clients' connections and for engines'; of the latter so many are kept back for calls that
/// let go of states and ask for health. Clients may rest on all of theirs: none of the rest is taken from.
const FOR_CLIENTS: f64 = 0.57;
const KEPT_BACK: f64 = 0.1;
/// Part of the memory that requests may fill.
const FOR_REQUESTS: f64 = 0.25;

/// Serves until it is told to go and has gone, or the future is dropped.
pub async fn run(
    listener: TcpListener,
    start: Start,
    config: Option<PathBuf>,
    ordered: Ordered,
) -> std::io::Result<()> {
    let began = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
    let listener = Async::new(listener)?;
    let ex = Rc::new(LocalExecutor::new());
    let names = Names { routes: start.told.routes, tenants: start.told.tenants };
    let figures = CoreConfig {
        incarnation: String::new(),
        started_at_unix_s: unix,
        zones: start.told.zones,
        max_open_requests: start.most_open,
        stream_idle_timeout_s: STREAM_IDLE_S,
        release_timeout_s: LET_GO_S,
        // What an earlier process left is freed by the platform.
        orphan_cleanup_window_s: (-1.0, -1.0),
        retry_after_s: COME_BACK_S,
        grants: None,
        fair_share: None,
        tenant_max_open: Vec::new(),
    };
    tracing::debug!(deployment = ?start.told.deployment, "begins");
    let core = NodeCore::new(start.told.deployment, figures);
    let shared = start.sockets.saturating_sub(OWN + discovery::CONNECTIONS);
    let for_clients = (FOR_CLIENTS * shared as f64) as usize;
    let for_engines = shared - for_clients;
    // A connection about to be closed at the far side would break what is sent on it.
    let idle_s = 0.6 * start.idle_s;
    let kept_back = (KEPT_BACK * for_engines as f64).ceil() as usize;
    let pool = Pool::new(start.connect_s, idle_s, for_engines, kept_back);
    let towards_discovery = Pool::new(start.connect_s, idle_s, discovery::CONNECTIONS, 0);
    let probe = if start.reports { "/load" } else { "/healthz" };
    let machine_kinds = start.told.machine_kinds.into_iter();
    let machine_kinds = machine_kinds.map(|kind| (kind.name, kind.role, kind.memory_tokens));
    let roll = Roll::new(machine_kinds.collect());
    let node = Node::new(core, roll, ex.clone(), pool.clone(), began, start.connect_s, probe);
    if let Some(known) = start.known {
        node.hear(known);
    }
    let address = Rc::new(RefCell::new(start.discovery));
    let (moved, moves) = async_channel::bounded(1);
    let memory = Memory::new((FOR_REQUESTS * start.memory_mb * 1024.0 * 1024.0) as usize);
    let clients = Clients::new(node.clone(), names, for_clients, memory);
    let times = Times::new(start.stop_within_s);
    let following =
        ex.spawn(discovery::follow(node.clone(), towards_discovery, times, address.clone(), moves));
    let tending = ex.spawn(pool.tend());
    let driving = ex.spawn(node.clone().drive());
    let counting = ex.spawn(counters::write_regularly(node.clone()));
    // Until the process ends: what is told during a shutdown counts for the sends that still go out.
    let reloading = {
        let (node, address, reload) = (node.clone(), address.clone(), ordered.reload);
        ex.spawn(async move {
            while reload.recv().await.is_ok() {
                tracing::debug!(at = node.now(), "a new configuration");
                let Some(path) = config.as_deref() else { continue };
                let mut read = start::discovery(path);
                // It may be in the middle of being written. Until it is sound the old one goes on counting.
                for _ in 0..HALF_WRITTEN {
                    if read.is_ok() || !reload.is_empty() {
                        break;
                    }
                    Timer::after(seconds(AGAIN_S)).await;
                    read = start::discovery(path);
                }
                match read {
                    Ok(now) => {
                        *address.borrow_mut() = now;
                        let _ = moved.try_send(());
                    }
                    Err(why) => tracing::warn!(why, "the configuration was not taken"),
                }
            }
        })
    };
    let (stop_accepting, stop) = async_channel::bounded(1);
    let accepting = ex.spawn(clients.clone().accept(listener, stop));
    let living = async {
        let _ = ordered.shutdown.recv().await;
        tracing::debug!(at = node.now(), open = node.open(), "told to shut down");
        let until = node.now() + (start.kill_after_s - BEFORE_KILL_S).max(STILL_COMING_S);
        clients.part();
        Timer::after(seconds(STILL_COMING_S)).await;
        stop_accepting.close();
        node.core.borrow_mut().stop_accepting();
        let mut ended = false;
        loop {
            clients.close_unused();
            if accepting.is_finished() && node.is_quiet() && clients.len() == 0 {
                tracing::debug!(at = node.now(), "gone");
                return;
            }
            if !ended && node.now() >= until {
                ended = true;
                tracing::debug!(
                    at = node.now(),
                    open = node.open(),
                    connections = clients.len(),
                    "what has not begun is given up"
                );
                node.end_waiting();
            }
            Timer::after(seconds(0.02)).await;
        }
    };
    ex.run(living).await;
    node.exits();
    counters::write(&node);
    drop((reloading, following, tending, driving, counting));
    Ok(())
}
