//! Stand-in of an etcd-v3 registry behind its JSON gateway: range, watch, transactions that claim, leases, compaction; and
//! on demand restarts, silence, refusals, stale answers and a roll-back.

use crate::record::{unix_now, Record};
use crate::serve::{body, error, header, json, serve, Answer, Cut, Streamed};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use nickelgw_protocol::NODE_HEADER;
use serde_json::{json, Value};
use smol::Timer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Held {
    value: Vec<u8>,
    create: u64,
    modified: u64,
    lease: i64,
}

type Keys = BTreeMap<Vec<u8>, Held>;

#[derive(Default)]
struct State {
    revision: u64,
    keys: Keys,
    /// Events after the last compaction: revision, key, and what was put; none: deleted.
    log: Vec<(u64, Vec<u8>, Option<Held>)>,
    compacted: u64,
    /// Time to live, and until when.
    leases: BTreeMap<i64, (f64, f64)>,
    next_lease: i64,
    silent_until: f64,
    refuse_until: f64,
    slow_s: f64,
    /// Watches say nothing, not even progress.
    stall_until: f64,
    /// Ranges answer from what was, as a member that lags does.
    stale_until: f64,
    stale: (u64, Keys),
    saved: Option<(u64, Keys)>,
    /// All connections end when it changes.
    boot: u64,
    /// A restore begins a new cluster.
    restored: u64,
    /// Name and password that are asked for, and the token given last: none is taken that is older.
    user: Option<(String, String)>,
    token: u64,
}

impl State {
    fn cluster(&self) -> String {
        (14_841_639_068_965_178_418 + self.restored).to_string()
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let create = self.keys.get(&key).map_or(self.revision, |h| h.create);
        let held = Held { value, create, modified: self.revision, lease };
        self.keys.insert(key.clone(), held.clone());
        self.log.push((self.revision, key, Some(held)));
    }

    fn delete(&mut self, keys: Vec<Vec<u8>>) {
        let there: Vec<Vec<u8>> = keys.into_iter().filter(|k| self.keys.remove(k).is_some()).collect();
        if there.is_empty() {
            return;
        }
        // One revision for all that one call deletes.
        self.revision += 1;
        let at = self.revision;
        self.log.extend(there.into_iter().map(|k| (at, k, None)));
    }

    fn expire(&mut self, now: f64) {
        let over: Vec<i64> = self.leases.iter().filter(|(_, l)| now >= l.1).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let keys = self.keys.iter().filter(|(_, h)| h.lease == id).map(|(k, _)| k.clone()).collect();
            self.delete(keys);
        }
    }
}

/// Notes what a node has been told of the engines, as the list does.
fn told(record: &Record, node: &str, revision: u64, keys: &Keys) {
    let lines: Vec<Value> = keys.values().filter_map(|h| serde_json::from_slice(&h.value).ok()).collect();
    let of = |state: &str| -> Vec<Value> {
        lines.iter().filter(|l| l["state"] == state).map(|l| l["id"].clone()).collect()
    };
    record.note(
        "told",
        json!({"node": node, "revision": revision, "in": of("in"), "draining": of("draining")}),
    );
}

fn bytes(v: &Value) -> Vec<u8> {
    BASE64_STANDARD.decode(v.as_str().unwrap_or("")).unwrap_or_default()
}

fn number(v: &Value) -> i64 {
    v.as_str().and_then(|s| s.parse().ok()).or(v.as_i64()).unwrap_or(0)
}

fn pair(key: &[u8], h: &Held) -> Value {
    json!({"key": BASE64_STANDARD.encode(key), "value": BASE64_STANDARD.encode(&h.value),
        "create_revision": h.create.to_string(), "mod_revision": h.modified.to_string(), "lease": h.lease.to_string()})
}

fn failed(status: u16, code: u32, message: &str) -> Answer {
    json(status, json!({"error": message, "code": code, "message": message}))
}

const PROGRESS_S: f64 = 1.0;

/// Serves until dropped.
pub async fn run(listener: TcpListener, record: Record) -> std::io::Result<()> {
    let state = Rc::new(RefCell::new(State { revision: 1, ..State::default() }));
    let ex = Rc::new(smol::LocalExecutor::new());
    let (of, spawner) = (state.clone(), ex.clone());
    let handle = move |r| handle(r, of.clone(), spawner.clone(), record.clone());
    let expiry = async {
        loop {
            Timer::after(Duration::from_millis(50)).await;
            state.borrow_mut().expire(unix_now());
        }
    };
    ex.run(futures_lite::future::or(serve(listener, None, Rc::new(handle)), expiry)).await
}

async fn handle(
    request: Request<Incoming>,
    state: Rc<RefCell<State>>,
    ex: Rc<smol::LocalExecutor<'static>>,
    record: Record,
) -> Result<Answer, Cut> {
    let path = request.uri().path().to_string();
    let node = header(request.headers(), NODE_HEADER).to_string();
    let token = header(request.headers(), "authorization").to_string();
    let Ok(v) = serde_json::from_slice::<Value>(&body(request).await?) else {
        return Ok(error(400, "bad_json"));
    };
    if path == "/control" {
        return Ok(control(&v, &mut state.borrow_mut(), &record));
    }
    let (silent, slow) = (state.borrow().silent_until, state.borrow().slow_s);
    let wait = (silent - unix_now()).max(0.0) + slow;
    Timer::after(Duration::from_secs_f64(wait)).await;
    if unix_now() < state.borrow().refuse_until {
        return Ok(failed(503, 14, "etcdserver: no leader"));
    }
    let mut s = state.borrow_mut();
    if path == "/v3/auth/authenticate" {
        let right =
            s.user.as_ref().is_some_and(|u| v["name"] == u.0.as_str() && v["password"] == u.1.as_str());
        if !right {
            return Ok(failed(400, 3, "etcdserver: authentication failed, invalid user ID or password"));
        }
        return Ok(json(200, json!({"token": format!("token.{}", s.token)})));
    }
    if s.user.is_some() && token != format!("token.{}", s.token) {
        return Ok(failed(401, 16, "etcdserver: invalid auth token"));
    }
    s.expire(unix_now());
    let cluster = s.cluster();
    let head = json!({"cluster_id": cluster, "revision": s.revision.to_string()});
    Ok(match path.as_str() {
        "/v3/kv/range" => {
            let (from, to) = (bytes(&v["key"]), bytes(&v["range_end"]));
            let lags = unix_now() < s.stale_until;
            let (revision, keys) = if lags { (s.stale.0, &s.stale.1) } else { (s.revision, &s.keys) };
            // Its own engines, not the places of nodes.
            if !from.ends_with(b"nodes/") {
                told(&record, &node, revision, keys);
            }
            let kvs: Vec<Value> = keys.range(from..to).map(|(k, h)| pair(k, h)).collect();
            json(
                200,
                json!({"header": {"cluster_id": cluster, "revision": revision.to_string()}, "kvs": kvs, "count": kvs.len().to_string()}),
            )
        }
        "/v3/lease/grant" => {
            s.next_lease += 1;
            let (id, ttl) = (s.next_lease, number(&v["TTL"]).max(1));
            s.leases.insert(id, (ttl as f64, unix_now() + ttl as f64));
            json(200, json!({"header": head, "ID": id.to_string(), "TTL": ttl.to_string()}))
        }
        "/v3/lease/keepalive" => {
            let id = number(&v["ID"]);
            let ttl = s.leases.get_mut(&id).map(|l| {
                l.1 = unix_now() + l.0;
                l.0 as i64
            });
            json(
                200,
                json!({"result": {"header": head, "ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string()}}),
            )
        }
        "/v3/kv/txn" => {
            let free = v["compare"]
                .as_array()
                .into_iter()
                .flatten()
                .all(|c| !s.keys.contains_key(&bytes(&c["key"])));
            let puts = v["success"].as_array().cloned().unwrap_or_default();
            for p in puts.iter().filter(|_| free).map(|p| &p["request_put"]) {
                let lease = number(&p["lease"]);
                if lease != 0 && !s.leases.contains_key(&lease) {
                    return Ok(failed(404, 5, "etcdserver: requested lease not found"));
                }
                s.put(bytes(&p["key"]), bytes(&p["value"]), lease);
            }
            json(200, json!({"header": {"revision": s.revision.to_string()}, "succeeded": free}))
        }
        "/v3/watch" => {
            let w = &v["create_request"];
            let (from, to) = (bytes(&w["key"]), bytes(&w["range_end"]));
            let start = number(&w["start_revision"]).max(0) as u64;
            drop(s);
            let (out, frames) = async_channel::bounded(16);
            ex.spawn(watch(state, (from, to), start, out, record, node)).detach();
            let b = Response::builder().header("content-type", "application/json");
            return b.body(Streamed { from: Box::pin(frames) }.boxed()).map_err(|_| Cut);
        }
        _ => error(404, "not_found"),
    })
}

async fn watch(
    state: Rc<RefCell<State>>,
    (from, to): (Vec<u8>, Vec<u8>),
    start: u64,
    out: async_channel::Sender<Frame<Bytes>>,
    record: Record,
    node: String,
) {
    let say = async |v: Value| out.send(Frame::data(Bytes::from(format!("{v}\n")))).await.is_ok();
    let boot = state.borrow().boot;
    let (mut next, mut quiet) = (start, 0.0);
    let revision = state.borrow().revision;
    let cluster = state.borrow().cluster();
    let head = |r: u64| json!({"cluster_id": cluster, "revision": r.to_string()});
    if !say(json!({"result": {"header": head(revision), "watch_id": "0", "created": true}})).await {
        return;
    }
    loop {
        let (events, at, compacted, ended, stalled) = {
            let s = state.borrow();
            let wanted = |l: &&(u64, Vec<u8>, Option<Held>)| l.0 >= next && l.1 >= from && l.1 < to;
            let event = |l: &(u64, Vec<u8>, Option<Held>)| match &l.2 {
                Some(h) => json!({"kv": pair(&l.1, h)}),
                None => {
                    json!({"type": "DELETE", "kv": {"key": BASE64_STANDARD.encode(&l.1), "mod_revision": l.0.to_string()}})
                }
            };
            // All of one revision in one message.
            let first = s.log.iter().find(wanted).map(|l| l.0);
            let events: Vec<Value> =
                s.log.iter().filter(wanted).filter(|l| Some(l.0) == first).map(event).collect();
            let now = unix_now();
            let stalled = now < s.stall_until || now < s.silent_until;
            (events, first.unwrap_or(s.revision), s.compacted, s.boot != boot, stalled)
        };
        if ended {
            return;
        }
        if next > 0 && next < compacted {
            let v = json!({"result": {"canceled": true, "compact_revision": compacted.to_string()}});
            say(v).await;
            return;
        }
        if !events.is_empty() && !stalled {
            (next, quiet) = (at + 1, 0.0);
            {
                let s = state.borrow();
                // With the last event it knows all that there is.
                if !s.log.iter().any(|l| l.0 > at && l.1 >= from && l.1 < to) {
                    told(&record, &node, at, &s.keys);
                }
            }
            if !say(json!({"result": {"header": head(at), "events": events}})).await {
                return;
            }
            continue;
        }
        quiet += 0.01;
        if quiet >= PROGRESS_S && !stalled {
            quiet = 0.0;
            if !say(json!({"result": {"header": head(at)}})).await {
                return;
            }
        }
        if out.is_closed() {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

fn control(v: &Value, s: &mut State, record: &Record) -> Answer {
    let until = unix_now() + v["for_s"].as_f64().unwrap_or(0.0);
    let key = v["key"].as_str().unwrap_or("").as_bytes().to_vec();
    match v["order"].as_str().unwrap_or("") {
        "put" => s.put(key, v["value"].to_string().into_bytes(), 0),
        "delete" => s.delete(vec![key]),
        // A delete and a put of one key, which a watch hears in one go.
        "replace" => {
            s.delete(vec![key.clone()]);
            s.put(key, v["value"].to_string().into_bytes(), 0);
        }
        "empty" => {
            let all = s.keys.keys().filter(|k| k.starts_with(&key)).cloned().collect();
            s.delete(all);
        }
        "compact" => {
            s.compacted = s.revision;
            // What is at the revision itself is kept.
            let compacted = s.compacted;
            s.log.retain(|l| l.0 >= compacted);
        }
        "restart" => {
            s.boot += 1;
            s.silent_until = until;
        }
        "silence" => s.silent_until = until,
        "refuse" => s.refuse_until = until,
        // Asks for a user from now on; again: tokens given before are void.
        "auth" => {
            s.token += 1;
            let of = |f: &str| v[f].as_str().unwrap_or("").to_string();
            s.user = Some((of("user"), of("password")));
            s.boot += 1;
        }
        "slow" => s.slow_s = v["for_s"].as_f64().unwrap_or(0.0),
        "stall" => s.stall_until = until,
        "save" => s.saved = Some((s.revision, s.keys.clone())),
        "stale" => {
            s.stale_until = until;
            s.stale = s.saved.clone().unwrap_or_default();
        }
        // Restored from what was saved: the revision goes back.
        "roll_back" => {
            if let Some((revision, keys)) = s.saved.clone() {
                (s.revision, s.keys, s.compacted) = (revision, keys, revision);
                s.restored += 1;
                s.log.clear();
                s.boot += 1;
            }
        }
        _ => return error(400, "unknown_order"),
    }
    record.note("registry", json!({"order": v["order"], "revision": s.revision}));
    json(200, json!({"revision": s.revision, "keys": s.keys.len(), "leases": s.leases.len()}))
}
