//! Endpoint list server. Nodes fetch whole lists by long poll. Changes become visible after a lag, and tests
//! can stall the server.

use crate::http::{
    error_response, json_response, read_body, response, serve, ConnectionClosed, HttpResponse, CONTROL_PATH,
};
use crate::recorder::{unix_now, Recorder};
use hyper::body::Incoming;
use hyper::{Method, Request, Uri};
use nickelgw_protocol::list::{EndpointEntry, EndpointList, EngineState};
use serde_json::{json, Value};
use smol::Timer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Time between checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const JSON: &str = "application/json";

/// Change of the list.
enum Change {
    Put(EndpointEntry),
    Remove(String),
}

/// Change that becomes visible at a later time.
struct PendingChange {
    visible_at: f64,
    change: Change,
}

/// Visible list and pending changes.
struct ListState {
    revision: u64,
    entries: BTreeMap<String, EndpointEntry>,
    pending: Vec<PendingChange>,
    stalled_until: f64,
}

impl ListState {
    /// Applies the pending changes whose time has come, unless the server is stalled.
    fn apply_pending(&mut self, now: f64) {
        if now < self.stalled_until {
            return;
        }
        let (visible, pending) = self.pending.drain(..).partition(|change| change.visible_at <= now);
        self.pending = pending;
        let visible: Vec<PendingChange> = visible;
        for PendingChange { change, .. } in visible {
            self.revision += 1;
            match change {
                Change::Put(entry) => drop(self.entries.insert(entry.id.clone(), entry)),
                Change::Remove(id) => drop(self.entries.remove(&id)),
            }
        }
    }

    fn list(&self) -> EndpointList {
        EndpointList { revision: self.revision, engines: self.entries.values().cloned().collect() }
    }
}

/// Parameters of a long poll.
struct PollQuery {
    /// Revision of the list that the node already has.
    after: f64,
    wait_s: f64,
    node: String,
}

impl PollQuery {
    fn parse(uri: &Uri) -> PollQuery {
        let number = |name| query_parameter(uri, name).and_then(|value| value.parse().ok()).unwrap_or(0.0);
        PollQuery {
            after: number("after"),
            wait_s: number("wait_s"),
            node: query_parameter(uri, "node").unwrap_or_default(),
        }
    }
}

fn query_parameter(uri: &Uri, name: &str) -> Option<String> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
}

/// Runs the server until the future is dropped. Changes become visible after `lag_s` seconds.
pub async fn run(
    listener: TcpListener,
    engines: Vec<EndpointEntry>,
    lag_s: f64,
    recorder: Recorder,
) -> std::io::Result<()> {
    let entries = engines.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
    let state = ListState { revision: 1, entries, pending: Vec::new(), stalled_until: 0.0 };
    let state = Rc::new(RefCell::new(state));
    let handle = move |request| handle(request, state.clone(), lag_s, recorder.clone());
    serve(listener, None, Rc::new(handle)).await
}

async fn handle(
    request: Request<Incoming>,
    state: Rc<RefCell<ListState>>,
    lag_s: f64,
    recorder: Recorder,
) -> Result<HttpResponse, ConnectionClosed> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/engines") => poll(&PollQuery::parse(request.uri()), &state, &recorder).await,
        (&Method::POST, CONTROL_PATH) => control(request, &state, lag_s).await,
        _ => Ok(error_response(404, "not_found")),
    }
}

async fn poll(
    query: &PollQuery,
    state: &RefCell<ListState>,
    recorder: &Recorder,
) -> Result<HttpResponse, ConnectionClosed> {
    let until = unix_now() + query.wait_s;
    loop {
        let now = unix_now();
        if let Some(list) = changed_list(query, state, now) {
            record_list(&list, &query.node, recorder);
            let body = serde_json::to_vec(&list).map_err(|_| ConnectionClosed)?;
            return Ok(response(200, JSON, body));
        }
        if now >= until && now >= state.borrow().stalled_until {
            return Ok(response(204, JSON, ""));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the list if the server is not stalled and the list has changed. A poll without a waiting time gets
/// the list even if it has not changed.
fn changed_list(query: &PollQuery, state: &RefCell<ListState>, now: f64) -> Option<EndpointList> {
    let mut state = state.borrow_mut();
    state.apply_pending(now);
    let is_stalled = now < state.stalled_until;
    let has_changed = state.revision as f64 > query.after || query.wait_s == 0.0;
    (!is_stalled && has_changed).then(|| state.list())
}

/// Records which engines were sent to a node.
fn record_list(list: &EndpointList, node: &str, recorder: &Recorder) {
    let ids = |state: EngineState| -> Vec<&str> {
        let entries = list.engines.iter().filter(|entry| entry.state == state);
        entries.map(|entry| entry.id.as_str()).collect()
    };
    let fields = json!({
        "node": node,
        "revision": list.revision,
        "in": ids(EngineState::Active),
        "draining": ids(EngineState::Draining),
    });
    recorder.record("told", fields);
}

async fn control(
    request: Request<Incoming>,
    state: &RefCell<ListState>,
    lag_s: f64,
) -> Result<HttpResponse, ConnectionClosed> {
    let Ok(command) = serde_json::from_slice::<Value>(&read_body(request).await?) else {
        return Ok(error_response(400, "bad_json"));
    };
    let now = unix_now();
    let mut state = state.borrow_mut();
    if let Some(stall_s) = command["stall_s"].as_f64() {
        state.stalled_until = now + stall_s;
    }
    let visible_at = now + command["lag_s"].as_f64().unwrap_or(lag_s);
    if let Ok(entry) = serde_json::from_value::<EndpointEntry>(command["line"].clone()) {
        state.pending.push(PendingChange { visible_at, change: Change::Put(entry) });
    }
    if let Some(id) = command["remove"].as_str() {
        state.pending.push(PendingChange { visible_at, change: Change::Remove(id.to_string()) });
    }
    Ok(json_response(200, json!({"revision": state.revision})))
}
