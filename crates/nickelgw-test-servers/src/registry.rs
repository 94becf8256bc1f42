//! Registry with the JSON gateway API of etcd v3: ranges, watches, transactions, leases and compaction. By
//! control calls, tests make it restart, stall, fail, answer with stale data or restore a snapshot.

mod api;
mod control;
mod state;
mod watch;

use crate::http::{
    error_response, header_text, json_response, read_body, serve, ConnectionClosed, HttpResponse,
    CONTROL_PATH,
};
use crate::recorder::{unix_now, Recorder};
use crate::timing::sleep_s;
use hyper::body::Incoming;
use hyper::Request;
use nickelgw_protocol::NODE_HEADER;
use serde_json::{json, Value};
use smol::LocalExecutor;
use state::{KeyMap, State};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

/// Time between checks for expired leases.
const EXPIRY_INTERVAL_S: f64 = 0.05;

/// Call to the registry.
struct Call {
    path: String,
    node: String,
    token: String,
    body: Value,
}

/// State shared by all connections.
#[derive(Clone)]
struct Registry {
    state: Rc<RefCell<State>>,
    executor: Rc<LocalExecutor<'static>>,
    recorder: Recorder,
}

/// gRPC error, as the JSON gateway reports it.
struct GrpcError {
    http_status: u16,
    code: u32,
    message: &'static str,
}

const NO_LEADER: GrpcError = GrpcError { http_status: 503, code: 14, message: "etcdserver: no leader" };
const AUTHENTICATION_FAILED: GrpcError = GrpcError {
    http_status: 400,
    code: 3,
    message: "etcdserver: authentication failed, invalid user ID or password",
};
const INVALID_TOKEN: GrpcError =
    GrpcError { http_status: 401, code: 16, message: "etcdserver: invalid auth token" };
const LEASE_NOT_FOUND: GrpcError =
    GrpcError { http_status: 404, code: 5, message: "etcdserver: requested lease not found" };

impl GrpcError {
    fn response(&self) -> HttpResponse {
        let body = json!({"error": self.message, "code": self.code, "message": self.message});
        json_response(self.http_status, body)
    }
}

/// Runs the registry until the future is dropped.
pub async fn run(listener: TcpListener, recorder: Recorder) -> std::io::Result<()> {
    let state = Rc::new(RefCell::new(State { revision: 1, ..State::default() }));
    let executor = Rc::new(LocalExecutor::new());
    let registry = Registry { state: state.clone(), executor: executor.clone(), recorder };
    let handle = move |request| registry.clone().handle(request);
    let expire_leases = async {
        loop {
            sleep_s(EXPIRY_INTERVAL_S).await;
            state.borrow_mut().expire_leases(unix_now());
        }
    };
    executor.run(futures_lite::future::or(serve(listener, None, Rc::new(handle)), expire_leases)).await
}

impl Registry {
    async fn handle(self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionClosed> {
        let path = request.uri().path().to_string();
        let node = header_text(request.headers(), NODE_HEADER).to_string();
        let token = header_text(request.headers(), "authorization").to_string();
        let Ok(body) = serde_json::from_slice::<Value>(&read_body(request).await?) else {
            return Ok(error_response(400, "bad_json"));
        };
        let call = Call { path, node, token, body };
        if call.path == CONTROL_PATH {
            return Ok(self.control(&call.body));
        }
        self.wait_while_silent().await;
        if let Some(error) = self.check_access(&call) {
            return Ok(error.response());
        }
        self.dispatch(call)
    }

    async fn wait_while_silent(&self) {
        let (silent_until, delay_s) = {
            let state = self.state.borrow();
            (state.silent_until, state.delay_s)
        };
        sleep_s((silent_until - unix_now()).max(0.0) + delay_s).await;
    }

    /// Returns the error for a call that a fault fails or that has no valid token.
    fn check_access(&self, call: &Call) -> Option<GrpcError> {
        let state = self.state.borrow();
        if unix_now() < state.fail_until {
            return Some(NO_LEADER);
        }
        let needs_token = state.credentials.is_some() && call.path != "/v3/auth/authenticate";
        (needs_token && call.token != state.token()).then_some(INVALID_TOKEN)
    }

    fn dispatch(&self, call: Call) -> Result<HttpResponse, ConnectionClosed> {
        if call.path == "/v3/watch" {
            self.state.borrow_mut().expire_leases(unix_now());
            return self.start_watch(call);
        }
        let mut state = self.state.borrow_mut();
        if call.path == "/v3/auth/authenticate" {
            return Ok(api::authenticate(&state, &call.body));
        }
        state.expire_leases(unix_now());
        Ok(match call.path.as_str() {
            "/v3/kv/range" => api::range(&state, &call, &self.recorder),
            "/v3/kv/txn" => api::transaction(&mut state, &call.body),
            "/v3/lease/grant" => api::grant_lease(&mut state, &call.body),
            "/v3/lease/keepalive" => api::keep_lease_alive(&mut state, &call.body),
            _ => error_response(404, "not_found"),
        })
    }
}

/// Records which engines were sent to a node, in the same format as the endpoint list server.
fn record_engines(recorder: &Recorder, node: &str, revision: u64, keys: &KeyMap) {
    let engines: Vec<Value> =
        keys.values().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect();
    let ids = |state: &str| -> Vec<Value> {
        engines.iter().filter(|engine| engine["state"] == state).map(|engine| engine["id"].clone()).collect()
    };
    let fields = json!({"node": node, "revision": revision, "in": ids("in"), "draining": ids("draining")});
    recorder.record("told", fields);
}
