//! One instance: its router, and which request each handle stands for.

use nickelgw::decide::Router;
use nickelgw::interface::*;
use nickelgw_platform_config::fields::{flag, integer, number, number_or, text, ConfigError};
use nickelgw_platform_config::{object, position_of, PlatformConfig};
use serde_json::{json, Value};
use std::collections::HashMap;

pub struct Node {
    router: Router,
    routes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<(String, EngineRole, f64)>,
    by_request: HashMap<u64, RequestHandle>,
    /// By handle: the request it stands for, and how many sends it has had.
    taken: Vec<(u64, u64)>,
    wake_at: f64,
}

fn load(event: &Value) -> Result<Option<EngineLoad>, ConfigError> {
    let Some(report) = event.get("telemetry") else { return Ok(None) };
    if !report.is_object() {
        return Err(ConfigError::field(event, "telemetry", "an object"));
    }
    let value = |name: &str| report.get(name).map(|_| number(report, name)).transpose();
    nickelgw_platform_config::load(value).map(Some)
}

fn outcome(event: &Value) -> Result<Outcome, ConfigError> {
    Ok(match text(event, "how")? {
        "served" => Outcome::Completed,
        "prefilled" => Outcome::Prefilled,
        "server_error" => Outcome::EngineError,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotDelivered,
        _ => return Err(ConfigError::field(event, "how", "a known outcome")),
    })
}

impl Node {
    pub fn new(event: &Value) -> Result<Node, ConfigError> {
        let told = PlatformConfig::parse(object(event, "options")?, integer(event, "prng")?)?;
        Ok(Node {
            router: Router::new(told.deployment),
            routes: told.routes,
            tenants: told.tenants,
            zones: told.zones,
            kinds: told.machine_kinds,
            by_request: HashMap::new(),
            taken: Vec::new(),
            wake_at: f64::INFINITY,
        })
    }

    pub fn membership(&mut self, now: f64, event: &Value, page: &[Value]) -> Result<(), ConfigError> {
        let full = match text(event, "how")? {
            "full" | "cached" => true,
            "delta" => false,
            _ => return Err(ConfigError::field(event, "how", "delta, full, cached or failed")),
        };
        let mut lines = Vec::new();
        for entry in page {
            let kind = text(entry, "family_type")?;
            let kind = self.kinds.iter().find(|k| k.0 == kind);
            let kind =
                kind.ok_or_else(|| ConfigError::field(entry, "family_type", "a kind from the settings"))?;
            let started = number_or(entry, "up_since_s", 0.0)?;
            lines.push(EngineEntry {
                id: text(entry, "engine")?.to_string(),
                zone: position_of(&self.zones, entry, "campus")? as u32,
                cell: number_or(entry, "unit_group", 0.0)? as u32,
                role: kind.1,
                memory_tokens: kind.2,
                lifecycle: match text(entry, "state")? {
                    "IN" => Lifecycle::Active,
                    "LAME" => Lifecycle::Draining,
                    "OUT" => Lifecycle::Removed,
                    _ => return Err(ConfigError::field(entry, "state", "IN, LAME or OUT")),
                },
                started_at: (started > 0.0).then_some(started),
            });
        }
        self.router.update_endpoints(now, &lines, full);
        Ok(())
    }

    pub fn event(&mut self, now: f64, kind: &str, event: &Value) -> Result<(), ConfigError> {
        match kind {
            "MEMBERSHIP" => self.router.endpoint_poll_failed(now),
            "REQUEST" => {
                let org = event.get("org").filter(|v| v.is_string());
                let tenant = match org {
                    Some(_) if !self.tenants.is_empty() => Some(position_of(&self.tenants, event, "org")?),
                    _ => None,
                };
                let prefix = event.get("prefix").map(|_| text(event, "prefix")).transpose()?;
                let arrival = IncomingRequest {
                    route: position_of(&self.routes, event, "cls")?,
                    tenant,
                    deadline: number(event, "due_s")?,
                    prompt_tokens: number_or(event, "prompt_len", 0.0)?,
                    prefix_tokens: number_or(event, "n_prefix", 0.0)?,
                    session: event.get("session").map_or(Ok(""), |_| text(event, "session"))?.to_string(),
                    prefix: prefix.map(str::to_string),
                    is_background: false,
                };
                let request = integer(event, "req")?;
                let inf = self.router.admit_request(now, &arrival);
                let k = inf.0 as usize;
                self.taken.resize(self.taken.len().max(k + 1), (0, 0));
                self.taken[k] = (request, 0);
                self.by_request.insert(request, inf);
            }
            "SETTLED" => {
                let outcome = outcome(event)?;
                let remark = number_or(event, "remark", 0.0)?;
                let ending = AttemptEnd {
                    outcome,
                    elapsed_s: number_or(event, "delay_seen_s", 0.0)?,
                    request_finished: flag(event, "over")?,
                    cached_tokens: remark,
                    reservation_missing: remark == 1.0,
                };
                let load = load(event)?;
                if let Some((inf, send)) = self.send_of(event)? {
                    self.router.attempt_finished(now, inf, send, ending, load);
                }
            }
            "HEAD_RECEIVED" => {
                if let Some((inf, send)) = self.send_of(event)? {
                    self.router.first_token(now, inf, send);
                }
            }
            "HANGUP" => {
                if let Some(&inf) = self.by_request.get(&integer(event, "req")?) {
                    self.router.client_disconnected(inf);
                }
            }
            "PROBED" => {
                self.router.probe_finished(now, text(event, "engine")?, outcome(event)?, load(event)?);
            }
            "REMINDER" => self.wake_at = f64::INFINITY,
            _ => {}
        }
        Ok(())
    }

    /// The handle and send that an event speaks of; none where the inference is long over.
    fn send_of(&self, event: &Value) -> Result<Option<(RequestHandle, u32)>, ConfigError> {
        let (request, n) = (integer(event, "req")?, integer(event, "n")?);
        let Some(&inf) = self.by_request.get(&request) else { return Ok(None) };
        if n >= self.taken[inf.0 as usize].1 {
            return Err(ConfigError::field(event, "n", "the number of a send"));
        }
        Ok(Some((inf, n as u32)))
    }

    /// Writes the actions of this batch.
    pub fn act(&mut self, now: f64, i: u64, reply: &mut String) {
        let d = self.router.decide(now);
        let mut say = |action: Value| {
            reply.push_str(&action.to_string());
            reply.push('\n');
        };
        d.dispatches.iter().for_each(|s| self.taken[s.request.0 as usize].1 += 1);
        let req = |inf: RequestHandle| self.taken[inf.0 as usize].0;
        for &(inf, n) in &d.cancelled {
            say(json!({"kind": "RECALL", "i": i, "req": req(inf), "n": n}));
        }
        for s in &d.dispatches {
            let engine = self.router.engine_id(s.engine);
            let (req, patience) = (req(s.request), s.timeout_s);
            say(json!({"kind": "ATTEMPT", "i": i, "req": req, "engine": engine, "patience_s": patience}));
        }
        for &(inf, back) in &d.rejected {
            say(json!({"kind": "DENY", "i": i, "req": req(inf), "not_before_for_s": back}));
        }
        for &inf in &d.failed {
            say(json!({"kind": "ERROR", "i": i, "req": req(inf)}));
        }
        for &inf in &d.released {
            say(json!({"kind": "DROP_STATE", "i": i, "req": req(inf)}));
        }
        for &eng in &d.probes {
            say(json!({"kind": "PROBE", "i": i, "engine": self.router.engine_id(eng)}));
        }
        if d.poll_endpoints {
            say(json!({"kind": "TAIL", "i": i, "enable": true}));
        }
        if let Some(at) = d.wake_at.filter(|&at| at < self.wake_at) {
            say(json!({"kind": "REMIND", "i": i, "wait_s": (at - now).max(0.0), "ref": 0}));
            self.wake_at = at;
        }
        for inf in &d.closed {
            self.by_request.remove(&self.taken[inf.0 as usize].0);
        }
    }
}
