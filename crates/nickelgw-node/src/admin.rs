//! The operators' port: metrics, health, and the story of a request. Plain HTTP, for loopback or a guarded network.

use crate::event_loop::{Event, ListenerState, TimedEvent};
use crate::server::{json_answer, Answer};
use crate::Clock;
use async_channel::{bounded, Sender};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request};
use nickelgw_gossip::core::record::DatagramError;
use nickelgw_gossip::core::Gossip;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::json;
use smol::{Async, LocalExecutor};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

/// What the core has counted, at the moment of asking.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    pub tally: nickelgw_node_core::RequestCounters,
    pub account: nickelgw_node_core::ledger::ReservationCounters,
    /// Broken rules, by name.
    pub violations: Vec<(&'static str, u64)>,
    pub open: usize,
    pub states: usize,
    pub held_p99_s: f64,
    pub held_longest_s: f64,
    pub stories: usize,
    /// Zones with the part of the traffic that each is given, where nodes tell each other.
    pub ways: Vec<(String, f64)>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct How {
    how: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Zone {
    zone: String,
}

type Real = Gauge<f64, AtomicU64>;

pub struct Admin {
    pub to_core: Sender<TimedEvent>,
    pub doors: Rc<ListenerState>,
    pub behind: Rc<crate::background::Background>,
    pub keeper: Rc<crate::persistence::StoreWriter>,
    pub accord: Option<Rc<RefCell<Gossip>>>,
    pub parked: Option<Rc<crate::deferred::DeferredRequests>>,
    pub clock: Clock,
}

fn whole(r: &mut Registry, name: &str, help: &str, n: usize) {
    let g = Gauge::<i64>::default();
    g.set(n as i64);
    r.register(name, help, g);
}

fn by_how(r: &mut Registry, name: &str, help: &str, all: impl IntoIterator<Item = (&'static str, u64)>) {
    let counts = Family::<How, Counter>::default();
    for (how, n) in all {
        counts.get_or_create(&How { how }).inc_by(n);
    }
    r.register(name, help, counts);
}

impl Admin {
    async fn counted(&self) -> Option<Counted> {
        let (to, from) = bounded(1);
        self.to_core.send(TimedEvent::new(Event::CollectMetrics { to })).await.ok()?;
        from.recv().await.ok()
    }

    /// Everything as it is now: counters are the core's own, set anew at each asking.
    async fn metrics(&self) -> Option<String> {
        let c = self.counted().await?;
        let mut r = Registry::with_prefix("nickelgw");
        let t = c.tally;
        let all = [
            ("completed", t.completed),
            ("shed", t.rejected),
            ("errored", t.failed),
            ("left", t.disconnected),
            ("refused", t.denied),
        ];
        by_how(&mut r, "inferences", "Inferences by how they ended; refused ones were never taken", all);
        let a = c.account;
        let all = [
            ("fetched", a.served),
            ("let_go", a.released),
            ("lost", a.lost),
            ("given_up", a.abandoned),
            ("overdue", a.overdue),
        ];
        by_how(&mut r, "states", "Held states by what became of them", all);
        by_how(&mut r, "violations", "Broken rules; any is a bug", c.violations);
        whole(&mut r, "open", "Inferences open", c.open);
        whole(&mut r, "held", "States held at readers, as the ledger has it", c.states);
        whole(&mut r, "connections", "Client connections", self.doors.connections.get());
        whole(&mut r, "stories", "Stories kept for 'why'", c.stories);
        self.together(&mut r, c.ways);
        self.parked(&mut r);
        let kept = self.keeper.counters();
        let real = |r: &mut Registry, name: &str, help: &str, unit: Unit, v: f64| {
            let g = Real::default();
            g.set(v);
            r.register_with_unit(name, help, unit, g);
        };
        real(&mut r, "held_wait_p99", "Time without a taker, 99% of states", Unit::Seconds, c.held_p99_s);
        real(&mut r, "held_wait_longest", "Longest time without a taker", Unit::Seconds, c.held_longest_s);
        real(
            &mut r,
            "background_taken",
            "Time of the node's thread taken by background work",
            Unit::Seconds,
            self.behind.took_s(),
        );
        let overdue = self.behind.overdue().iter().map(|o| o.1).fold(0.0, f64::max);
        real(
            &mut r,
            "background_overdue",
            "Longest wait of an overdue background task",
            Unit::Seconds,
            overdue,
        );
        let all = [("done", kept.commits), ("failed", kept.failed)];
        by_how(&mut r, "store_commits", "Commits to the store", all);
        real(&mut r, "store_written", "Bytes committed to the store", Unit::Bytes, kept.written_bytes as f64);
        let mut text = String::new();
        encode(&mut text, &r).ok()?;
        Some(text)
    }

    /// What nodes tell each other, and what follows for the zones.
    fn together(&self, r: &mut Registry, ways: Vec<(String, f64)>) {
        let Some(accord) = &self.accord else { return };
        let parts = Family::<Zone, Real>::default();
        for (zone, part) in ways {
            parts.get_or_create(&Zone { zone }).set(part);
        }
        r.register("zone_part", "Part of the traffic that a zone is given", parts);
        let (a, now) = (accord.borrow(), self.clock.now());
        whole(r, "nodes", "Nodes heard lately, this one too", a.node_count(now));
        let t = a.counters;
        let refused = DatagramError::ALL.iter().map(|w| (w.name(), t.rejected[*w as usize]));
        let all = [("sent", t.sent), ("heard", t.received), ("no_room", t.dropped_table_full)]
            .into_iter()
            .chain(refused);
        by_how(r, "datagrams", "Datagrams between nodes; refused ones by why", all);
        let bytes = Counter::<u64>::default();
        bytes.inc_by(t.sent_bytes);
        r.register_with_unit("datagrams_sent", "What was sent in them", Unit::Bytes, bytes);
    }

    fn parked(&self, r: &mut Registry) {
        let Some(p) = &self.parked else { return };
        let (waiting, running, t) = p.tally();
        whole(r, "parked", "Offline inferences that wait to be run", waiting);
        whole(r, "parked_running", "Offline inferences being run", running);
        let all = [
            ("taken", t.accepted),
            ("refused", t.rejected),
            ("answered", t.completed),
            ("given_up", t.expired),
            ("errored", t.failed),
        ];
        by_how(r, "parked_inferences", "Offline inferences by what became of them", all);
    }

    async fn why(&self, id: &str) -> Option<String> {
        let (to, from) = bounded(1);
        let asked = TimedEvent::new(Event::Explain { id: id.chars().take(64).collect(), to });
        self.to_core.send(asked).await.ok()?;
        from.recv().await.ok().flatten()
    }

    async fn serve(self: Rc<Self>, request: Request<hyper::body::Incoming>) -> Answer {
        let text = |status, body: String| {
            let mut a = json_answer(status, body.into());
            a.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
            a
        };
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => match self.metrics().await {
                Some(body) => {
                    let mut a = json_answer(200, body.into());
                    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                    a.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
                    a
                }
                None => text(503, "the node is stopping\n".into()),
            },
            (&Method::GET, "/healthz") => {
                let well = self.doors.healthy.get();
                json_answer(if well { 200 } else { 503 }, json!({ "healthy": well }).to_string().into())
            }
            (&Method::GET, path) => match path.strip_prefix("/why/") {
                Some(id) => match self.why(id).await {
                    Some(story) => text(200, story),
                    None => text(
                        404,
                        "no story of it is kept: it went well and was not sampled, or is too long ago\n"
                            .into(),
                    ),
                },
                None => text(404, "metrics, healthz, why/REQUEST-ID\n".into()),
            },
            _ => text(405, "GET only\n".into()),
        }
    }
}

/// Operators' connections at once; more wait in the system's queue.
const MOST: usize = 16;

/// Serves on the listener given, or on the address once it is free.
pub async fn run(
    mut listener: Option<TcpListener>,
    later: Option<String>,
    admin: Rc<Admin>,
    ex: Rc<LocalExecutor<'static>>,
) {
    while let (None, Some(address)) = (&listener, &later) {
        listener = TcpListener::bind(address).ok();
        smol::Timer::after(crate::seconds(0.5)).await;
    }
    if let Some(l) = listener {
        accept(l, admin, ex).await;
    }
}

async fn accept(listener: TcpListener, admin: Rc<Admin>, ex: Rc<LocalExecutor<'static>>) {
    let Ok(listener) = Async::new(listener) else { return };
    let places = std::sync::Arc::new(smol::lock::Semaphore::new(MOST));
    loop {
        let place = places.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(crate::seconds(0.05)).await;
            continue;
        };
        let admin = admin.clone();
        ex.spawn(async move {
            let service = hyper::service::service_fn(move |r| {
                let admin = admin.clone();
                async move { Ok::<_, Infallible>(admin.serve(r).await) }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let serving = http.serve_connection(FuturesIo::new(stream), service);
            // An operator's connection lasts no longer than this, whatever comes over it.
            let _ = crate::within(30.0, serving).await;
            drop(place);
        })
        .detach();
    }
}
