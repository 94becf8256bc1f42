//! The admin port: serves metrics, health and request traces. It speaks plain HTTP and is meant for the
//! loopback interface or a protected network.

mod metrics;

use crate::background::Background;
use crate::clock::{seconds, within, Clock};
use crate::deferred::DeferredRequests;
use crate::events::{Event, TimedEvent};
use crate::http_response::{json_response, HttpResponse};
use crate::listener_state::ListenerState;
use crate::metrics_snapshot::MetricsSnapshot;
use crate::persistence::StoreWriter;
use async_channel::{bounded, Sender};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};
use nickelgw_gossip::core::Gossip;
use serde_json::json;
use smol::lock::Semaphore;
use smol::{Async, LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

/// Largest number of connections served at the same time; further ones wait in the system's backlog.
const MAX_CONNECTIONS: usize = 16;
/// Longest lifetime of a connection, whether or not requests arrive on it.
const CONNECTION_TIMEOUT_S: f64 = 30.0;
/// Delay before a failed bind is retried.
const BIND_RETRY_S: f64 = 0.5;
/// Delay between a failed accept and the next attempt.
const ACCEPT_RETRY_S: f64 = 0.05;
/// Longest request id that is looked up; longer ones are cut.
const MAX_REQUEST_ID_CHARS: usize = 64;

const TEXT: &str = "text/plain; charset=utf-8";
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Server of the admin port, with the parts of the node that it reports on.
pub struct Admin {
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// State of the chat listener: health and open connections.
    pub listener: Rc<ListenerState>,
    /// The node's background tasks.
    pub background: Rc<Background>,
    /// Writer of the node's store.
    pub store_writer: Rc<StoreWriter>,
    /// Gossip between nodes; `None` if it is off.
    pub gossip: Option<Rc<RefCell<Gossip>>>,
    /// Queue of deferred requests; `None` if they are off.
    pub deferred: Option<Rc<DeferredRequests>>,
    /// The node's clock.
    pub clock: Clock,
}

fn response(status: u16, content_type: &'static str, body: String) -> HttpResponse {
    let mut response = json_response(status, body.into());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

impl Admin {
    async fn snapshot(&self) -> Option<MetricsSnapshot> {
        let (reply_to, replied) = bounded(1);
        self.events.send(TimedEvent::new(Event::CollectMetrics { reply_to })).await.ok()?;
        replied.recv().await.ok()
    }

    async fn trace(&self, request_id: &str) -> Option<String> {
        let (reply_to, replied) = bounded(1);
        let request_id = request_id.chars().take(MAX_REQUEST_ID_CHARS).collect();
        self.events.send(TimedEvent::new(Event::Explain { request_id, reply_to })).await.ok()?;
        replied.recv().await.ok().flatten()
    }

    async fn serve_metrics(&self) -> HttpResponse {
        let snapshot = self.snapshot().await;
        match snapshot.and_then(|snapshot| self.encode_metrics(snapshot)) {
            Some(metrics) => response(200, OPENMETRICS, metrics),
            None => response(503, TEXT, "the node is stopping\n".into()),
        }
    }

    async fn serve_trace(&self, request_id: &str) -> HttpResponse {
        match self.trace(request_id).await {
            Some(trace) => response(200, TEXT, trace),
            None => {
                let message =
                    "no story of it is kept: it went well and was not sampled, or is too long ago\n";
                response(404, TEXT, message.into())
            }
        }
    }

    fn serve_health(&self) -> HttpResponse {
        let healthy = self.listener.healthy.get();
        let status = if healthy { 200 } else { 503 };
        json_response(status, json!({ "healthy": healthy }).to_string().into())
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> HttpResponse {
        if request.method() != Method::GET {
            return response(405, TEXT, "GET only\n".into());
        }
        match request.uri().path() {
            "/metrics" => self.serve_metrics().await,
            "/healthz" => self.serve_health(),
            path => match path.strip_prefix("/why/") {
                Some(request_id) => self.serve_trace(request_id).await,
                None => response(404, TEXT, "metrics, healthz, why/REQUEST-ID\n".into()),
            },
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let service = service_fn(move |request| {
            let admin = self.clone();
            async move { Ok::<_, Infallible>(admin.serve(request).await) }
        });
        let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
        let _ = within(CONNECTION_TIMEOUT_S, connection).await;
    }
}

/// Serves on the listener. If there is none, binds the address first and retries until it is free, as the
/// previous process may still hold it.
pub async fn run(
    mut listener: Option<TcpListener>,
    address: Option<String>,
    admin: Rc<Admin>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let (None, Some(address)) = (&listener, &address) {
        listener = TcpListener::bind(address).ok();
        Timer::after(seconds(BIND_RETRY_S)).await;
    }
    if let Some(listener) = listener {
        accept(listener, admin, executor).await;
    }
}

async fn accept(listener: TcpListener, admin: Rc<Admin>, executor: Rc<LocalExecutor<'static>>) {
    let Ok(listener) = Async::new(listener) else { return };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(seconds(ACCEPT_RETRY_S)).await;
            continue;
        };
        let admin = admin.clone();
        executor
            .spawn(async move {
                admin.serve_connection(stream).await;
                drop(permit);
            })
            .detach();
    }
}
