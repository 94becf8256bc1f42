//! Prefill or decode engine that serves HTTP. Work takes the time given by the engine's model, KV states are
//! transferred as bytes, and tests cause faults by `POST /control`.

mod completion;
mod control;
mod decode;
mod faults;
mod generation;
mod kv_fetch;
mod kv_serve;
mod model;
mod prefill;
mod slots;

use crate::engine_config::EngineConfig;
use crate::http::{
    error_response, header_text, json_response, serve, ConnectionClosed, HttpResponse, CONTROL_PATH,
};
use crate::recorder::{unix_now, Recorder};
use crate::timing::sleep_s;
use crate::tls::TlsEndpoint;
use async_channel::{Receiver, Sender};
use faults::Faults;
use hyper::body::Incoming;
use hyper::{Method, Request};
use model::EngineModel;
use nanorand::{Rng, WyRand};
use nickelgw_chat::core::grant::{GrantChecker, GrantKey};
use nickelgw_protocol::load::{
    LoadReport, INFLIGHT_REQUESTS_METRIC, PENDING_PROMPT_TOKENS_METRIC, QUEUED_REQUESTS_METRIC,
};
use nickelgw_protocol::{LOAD_METRICS_HEADER, NODE_HEADER, ZONE_HEADER};
use serde_json::json;
use slots::SlotQueue;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;

/// Time between checks for expired reservations.
const EXPIRY_INTERVAL_S: f64 = 0.25;

/// Running engine.
struct Engine {
    model: RefCell<EngineModel>,
    slot_queue: RefCell<SlotQueue>,
    faults: RefCell<Faults>,
    random: RefCell<WyRand>,
    recorder: Recorder,
    address: String,
    /// Channel on which a message ends the engine.
    exit: Sender<()>,
    executor: LocalExecutor<'static>,
    /// Number of streams begun so far.
    streams: Cell<u64>,
    grants: Option<RefCell<GrantChecker>>,
    tls: Option<Rc<TlsEndpoint>>,
}

/// Route of a request to the engine, other than completions and control calls.
enum Route<'a> {
    Health,
    ReleaseOrphans,
    ReleaseState(&'a str),
    FetchState(&'a str),
    NotFound,
}

impl Route<'_> {
    fn parse<'a>(method: &Method, path: &'a str) -> Route<'a> {
        match (method, path, path.strip_prefix("/v1/states/")) {
            (&Method::GET, "/health", _) => Route::Health,
            (&Method::DELETE, "/v1/states", _) => Route::ReleaseOrphans,
            (&Method::DELETE, _, Some(name)) => Route::ReleaseState(name),
            (&Method::GET, _, Some(name)) => Route::FetchState(name),
            _ => Route::NotFound,
        }
    }
}

/// Runs an engine until a fault ends it or the future is dropped.
pub async fn run(
    listener: TcpListener,
    config: EngineConfig,
    recorder: Recorder,
    seed: u64,
) -> std::io::Result<()> {
    let address = listener.local_addr()?.to_string();
    let (exit, exited) = async_channel::bounded(1);
    record_start(&recorder, &config);
    let engine = Rc::new(Engine::new(config, recorder, seed, address, exit));
    let serving = engine.clone();
    let handle = Rc::new(move |request| serving.clone().handle(request));
    let serve = serve(listener, engine.tls.clone(), handle);
    let work = engine.executor.run(futures_lite::future::or(serve, engine.expire_reservations()));
    futures_lite::future::or(wait_for_exit(exited), work).await
}

fn record_start(recorder: &Recorder, config: &EngineConfig) {
    let fields = json!({
        "zone": config.zone,
        "cell": config.cell,
        "role": config.role,
        "cold": config.slow_start,
        "slots": config.slots,
        "cold_from": config.slow_start_speed,
        "warm_s": config.slow_start_s,
        "tip_multiple": config.overload_multiple,
        "tip_window_s": config.overload_window_s,
        "memory_tokens": config.memory_tokens,
    });
    recorder.record("start", fields);
}

async fn wait_for_exit(exited: Receiver<()>) -> std::io::Result<()> {
    let _ = exited.recv().await;
    Ok(())
}

impl Engine {
    fn new(config: EngineConfig, recorder: Recorder, seed: u64, address: String, exit: Sender<()>) -> Engine {
        let tls = config.tls.clone().map(|files| Rc::new(TlsEndpoint::new(files, recorder.clone())));
        let keys = config.grant_keys.iter().filter_map(|(number, secret)| GrantKey::of(*number, secret));
        let grants = (!config.grant_keys.is_empty()).then(|| RefCell::new(GrantChecker::new(keys)));
        Engine {
            model: RefCell::new(EngineModel::new(config, unix_now())),
            slot_queue: RefCell::default(),
            faults: RefCell::default(),
            random: RefCell::new(WyRand::new_seed(seed)),
            recorder,
            address,
            exit,
            executor: LocalExecutor::new(),
            streams: Cell::new(0),
            grants,
            tls,
        }
    }

    async fn expire_reservations(&self) -> std::io::Result<()> {
        loop {
            sleep_s(EXPIRY_INTERVAL_S).await;
            let expired = self.model.borrow().expired(unix_now());
            for name in expired {
                self.model.borrow_mut().release(&name);
                self.recorder.record("expired", json!({"state": name}));
            }
        }
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<HttpResponse, ConnectionClosed> {
        let path = request.uri().path().to_string();
        let method = request.method().clone();
        if path == CONTROL_PATH {
            return self.control(request).await;
        }
        let zone = header_text(request.headers(), ZONE_HEADER).to_string();
        let response = if method == Method::POST && path == "/v1/chat/completions" {
            // A completion first records the arrival of the attempt and waits for a network fault to end
            // after that.
            self.clone().complete(request).await?
        } else {
            self.wait_until_reachable(&zone).await;
            match Route::parse(&method, &path) {
                Route::FetchState(name) => return self.serve_state(name, request.headers()),
                route => self.respond(&route, &request),
            }
        };
        // A fault that began in the meantime delays the response as well.
        self.wait_until_reachable(&zone).await;
        Ok(self.with_load_report(response))
    }

    fn respond(&self, route: &Route, request: &Request<Incoming>) -> HttpResponse {
        let node = header_text(request.headers(), NODE_HEADER);
        match route {
            Route::Health if self.model.borrow().overloaded => error_response(500, "fallen"),
            Route::Health => json_response(200, json!({"status": "ok"})),
            Route::ReleaseOrphans => self.release_orphans(node, request.uri().query()),
            Route::ReleaseState(name) => self.release_state(name, node),
            Route::FetchState(_) | Route::NotFound => error_response(404, "not_found"),
        }
    }

    fn release_orphans(&self, node: &str, query: Option<&str>) -> HttpResponse {
        let process = query.and_then(|query| query.strip_prefix("except=")).unwrap_or("");
        let orphans = self.model.borrow().orphans_of(node, &format!("{process}-"));
        for name in &orphans {
            self.model.borrow_mut().release(name);
            self.recorder.record("let_go", json!({"state": name, "found": true, "node": node}));
        }
        json_response(200, json!({"freed": orphans.len()}))
    }

    fn release_state(&self, name: &str, node: &str) -> HttpResponse {
        let found = self.model.borrow_mut().release(name);
        self.recorder.record("let_go", json!({"state": name, "found": found, "node": node}));
        json_response(if found { 200 } else { 404 }, json!({"found": found}))
    }

    fn load_report(&self) -> LoadReport {
        let model = self.model.borrow();
        let config = &model.config;
        let mut report = LoadReport {
            mem_utilization: Some((model.memory_used / config.memory_tokens).max(0.0)),
            application_utilization: Some(model.running as f64 / config.slots as f64),
            ..LoadReport::default()
        };
        let metrics = [
            (QUEUED_REQUESTS_METRIC, model.queued as f64),
            (INFLIGHT_REQUESTS_METRIC, (model.queued + model.running) as f64),
            (PENDING_PROMPT_TOKENS_METRIC, model.queued_prompt_tokens.max(0.0)),
        ];
        report.named_metrics.extend(metrics.map(|(name, value)| (name.to_string(), value)));
        report
    }

    fn with_load_report(&self, mut response: HttpResponse) -> HttpResponse {
        if let Ok(report) = self.load_report().to_header().parse() {
            response.headers_mut().insert(LOAD_METRICS_HEADER, report);
        }
        response
    }

    /// Waits while a fault makes the engine unreachable for a caller in `zone`: silence, a partition between
    /// the zones, or a pause.
    async fn wait_until_reachable(&self, zone: &str) {
        loop {
            let now = unix_now();
            let until = {
                let own_zone = &self.model.borrow().config.zone;
                self.faults.borrow().unreachable_until(now, zone, own_zone)
            };
            if until <= now {
                return;
            }
            sleep_s(until - now).await;
        }
    }

    /// Draws a random number from 0 to 1.
    fn draw(&self) -> f64 {
        self.random.borrow_mut().generate::<u32>() as f64 / u32::MAX as f64
    }
}
