//! One node of the simulated fleet: its decision module, and the mapping of request handles to the
//! simulator's request numbers.

use crate::actions::ActionWriter;
use nickelgw::decide::Router;
use nickelgw::interface::*;
use nickelgw_platform_config::fields::{flag, integer, number, number_or, text, ConfigError};
use nickelgw_platform_config::{object, position_of, MachineKind, PlatformConfig};
use serde_json::Value;
use std::collections::HashMap;

/// Value of `remark` for an attempt that a decode engine rejected because it held no reservation.
const REMARK_RESERVATION_MISSING: f64 = 1.0;

/// One simulated node.
pub struct Node {
    router: Router,
    config: NodeConfig,
    requests: RequestNumbers,
    /// Time of the wake-up that was requested from the simulator; infinite if there is none.
    wake_at: f64,
}

/// Names that events use for the items of the deployment, by index.
struct NodeConfig {
    routes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_kinds: Vec<MachineKind>,
}

/// Mapping between the simulator's request numbers and the decision module's handles.
#[derive(Default)]
pub struct RequestNumbers {
    handle_by_number: HashMap<u64, RequestHandle>,
    /// Simulated requests by handle.
    requests: Vec<SimulatedRequest>,
}

#[derive(Clone, Default)]
struct SimulatedRequest {
    number: u64,
    /// Number of attempts so far.
    attempts: u64,
}

impl RequestNumbers {
    fn insert(&mut self, number: u64, request: RequestHandle) {
        let index = request.0 as usize;
        let len = self.requests.len().max(index + 1);
        self.requests.resize(len, SimulatedRequest::default());
        self.requests[index] = SimulatedRequest { number, attempts: 0 };
        self.handle_by_number.insert(number, request);
    }

    fn handle_of(&self, number: u64) -> Option<RequestHandle> {
        self.handle_by_number.get(&number).copied()
    }

    /// Returns the simulator's number of a request.
    pub fn number_of(&self, request: RequestHandle) -> u64 {
        self.requests[request.0 as usize].number
    }

    fn record_attempt(&mut self, request: RequestHandle) {
        self.requests[request.0 as usize].attempts += 1;
    }

    fn attempts_of(&self, request: RequestHandle) -> u64 {
        self.requests[request.0 as usize].attempts
    }

    fn remove(&mut self, request: RequestHandle) {
        let number = self.number_of(request);
        self.handle_by_number.remove(&number);
    }
}

fn load(event: &Value) -> Result<Option<EngineLoad>, ConfigError> {
    let Some(report) = event.get("telemetry") else { return Ok(None) };
    if !report.is_object() {
        return Err(ConfigError::field(event, "telemetry", "an object"));
    }
    let value = |name: &str| report.get(name).map(|_| number(report, name)).transpose();
    nickelgw_platform_config::read_engine_load(value).map(Some)
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

fn lifecycle(entry: &Value) -> Result<Lifecycle, ConfigError> {
    match text(entry, "state")? {
        "IN" => Ok(Lifecycle::Active),
        "LAME" => Ok(Lifecycle::Draining),
        "OUT" => Ok(Lifecycle::Removed),
        _ => Err(ConfigError::field(entry, "state", "IN, LAME or OUT")),
    }
}

fn attempt_end(event: &Value) -> Result<AttemptEnd, ConfigError> {
    let outcome = outcome(event)?;
    let elapsed_s = number_or(event, "delay_seen_s", 0.0)?;
    let request_finished = flag(event, "over")?;
    // The meaning of `remark` depends on the outcome.
    let remark = number_or(event, "remark", 0.0)?;
    Ok(AttemptEnd {
        outcome,
        elapsed_s,
        request_finished,
        cached_tokens: if outcome == Outcome::Prefilled { remark } else { 0.0 },
        reservation_missing: outcome == Outcome::Rejected && remark == REMARK_RESERVATION_MISSING,
    })
}

impl NodeConfig {
    fn engine_entry(&self, entry: &Value) -> Result<EngineEntry, ConfigError> {
        let kind = text(entry, "family_type")?;
        let kind = self.machine_kinds.iter().find(|machine_kind| machine_kind.name == kind);
        let kind =
            kind.ok_or_else(|| ConfigError::field(entry, "family_type", "a kind from the settings"))?;
        let started_at = number_or(entry, "up_since_s", 0.0)?;
        Ok(EngineEntry {
            id: text(entry, "engine")?.to_string(),
            zone: position_of(&self.zones, entry, "campus")? as u32,
            cell: number_or(entry, "unit_group", 0.0)? as u32,
            role: kind.role,
            memory_tokens: kind.memory_tokens,
            lifecycle: lifecycle(entry)?,
            started_at: (started_at > 0.0).then_some(started_at),
        })
    }

    fn incoming_request(&self, now: f64, event: &Value) -> Result<IncomingRequest, ConfigError> {
        let has_tenant = event.get("org").is_some_and(Value::is_string) && !self.tenants.is_empty();
        let tenant = if has_tenant { Some(position_of(&self.tenants, event, "org")?) } else { None };
        let prefix = event.get("prefix").map(|_| text(event, "prefix")).transpose()?;
        Ok(IncomingRequest {
            route: position_of(&self.routes, event, "cls")?,
            tenant,
            arrived_at: now,
            deadline: number(event, "due_s")?,
            prompt_tokens: number_or(event, "prompt_len", 0.0)?,
            prefix_tokens: number_or(event, "n_prefix", 0.0)?,
            session: event.get("session").map_or(Ok(""), |_| text(event, "session"))?.to_string(),
            prefix: prefix.map(str::to_string),
            is_background: false,
        })
    }
}

impl Node {
    /// Creates a node from its PROVISION event.
    pub fn new(event: &Value) -> Result<Node, ConfigError> {
        let config = PlatformConfig::parse(object(event, "options")?, integer(event, "prng")?)?;
        Ok(Node {
            router: Router::new(config.deployment),
            config: NodeConfig {
                routes: config.routes,
                tenants: config.tenants,
                zones: config.zones,
                machine_kinds: config.machine_kinds,
            },
            requests: RequestNumbers::default(),
            wake_at: f64::INFINITY,
        })
    }

    /// Applies a MEMBERSHIP event with the page that it refers to.
    pub fn update_endpoints(&mut self, now: f64, event: &Value, page: &[Value]) -> Result<(), ConfigError> {
        let is_full = match text(event, "how")? {
            "full" | "cached" => true,
            "delta" => false,
            _ => return Err(ConfigError::field(event, "how", "delta, full, cached or failed")),
        };
        let entries = page.iter().map(|entry| self.config.engine_entry(entry));
        let entries = entries.collect::<Result<Vec<EngineEntry>, ConfigError>>()?;
        self.router.update_endpoints(now, &entries, is_full);
        Ok(())
    }

    /// Handles any other event for a node, including a MEMBERSHIP event that reports a failed fetch. Events
    /// of unknown kinds are skipped.
    pub fn handle(&mut self, now: f64, kind: &str, event: &Value) -> Result<(), ConfigError> {
        match kind {
            "MEMBERSHIP" => self.router.endpoint_poll_failed(now),
            "REQUEST" => {
                let incoming = self.config.incoming_request(now, event)?;
                let number = integer(event, "req")?;
                let request = self.router.admit_request(now, &incoming);
                self.requests.insert(number, request);
            }
            "SETTLED" => {
                let end = attempt_end(event)?;
                let load = load(event)?;
                if let Some((request, attempt)) = self.attempt_of(event)? {
                    self.router.attempt_finished(now, request, attempt, end, load);
                }
            }
            "HEAD_RECEIVED" => {
                if let Some((request, attempt)) = self.attempt_of(event)? {
                    self.router.first_token(now, request, attempt);
                }
            }
            "HANGUP" => {
                if let Some(request) = self.requests.handle_of(integer(event, "req")?) {
                    self.router.client_disconnected(request);
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

    /// Returns the attempt that an event refers to; `None` if the request is closed.
    fn attempt_of(&self, event: &Value) -> Result<Option<(RequestHandle, u32)>, ConfigError> {
        let (number, attempt) = (integer(event, "req")?, integer(event, "n")?);
        let Some(request) = self.requests.handle_of(number) else { return Ok(None) };
        if attempt >= self.requests.attempts_of(request) {
            return Err(ConfigError::field(event, "n", "the number of an attempt of this request"));
        }
        Ok(Some((request, attempt as u32)))
    }

    /// Writes the actions for the events of this batch.
    pub fn write_actions(&mut self, now: f64, node: u64, reply: &mut String) {
        let decisions = self.router.decide(now);
        for dispatch in &decisions.dispatches {
            self.requests.record_attempt(dispatch.request);
        }
        let mut actions = ActionWriter { node, router: &self.router, requests: &self.requests, reply };
        actions.write(&decisions);
        if let Some(at) = decisions.wake_at.filter(|&at| at < self.wake_at) {
            actions.write_wake((at - now).max(0.0));
            self.wake_at = at;
        }
        for &request in &decisions.closed {
            self.requests.remove(request);
        }
    }
}
