//! Scripted clients of a rehearsal.

use super::stage::RehearsalFleet;
use crate::timing::sleep_s;
use nanorand::{Rng, WyRand};
use nickelgw_settings::proto::{Limits, ModelRoute, Traffic};
use nickelgw_test_servers::client::{self, ChatCall, DisconnectAt};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::json;
use smol::{LocalExecutor, Task};
use std::rc::Rc;

type Executor = Rc<LocalExecutor<'static>>;

/// Number of the prefix that requests with a hot key share, in addition to the prefixes of their kind of
/// traffic.
const HOT_PREFIX: u64 = 999_999;
/// Distance between the prefix numbers of two kinds of traffic, which must not share a prefix.
const PREFIXES_PER_TRAFFIC: u64 = 1_000_000;
/// Share of a prompt that is its prefix, if it has one.
const PREFIX_SHARE: f64 = 0.6;
/// Share of such a prompt that follows its prefix.
const SUFFIX_SHARE: f64 = 0.4;
/// Largest number of tokens that the chat format adds to a prompt.
const FORMAT_TOKENS: f64 = 16.0;
/// Delay with which slow clients read each event.
const SLOW_EVENT_S: f64 = 0.05;
/// Number of retries of clients that abuse retries.
const ABUSIVE_RETRIES: u32 = 5;
/// Time that a client waits for the response to a malformed request, beyond the node's own body timeout.
const MALFORMED_MARGIN_S: f64 = 2.0;

/// Draws a number from 0 to 1.
fn uniform(random: &mut WyRand) -> f64 {
    random.generate::<u32>() as f64 / u32::MAX as f64
}

/// Returns a text of about this many tokens; equal salts give equal texts.
fn text_of(tokens: f64, salt: u64) -> String {
    let mut text = format!("[{salt}] ");
    while (text.len() as f64) < 4.0 * tokens - 16.0 {
        text.push_str("line of a text ");
    }
    text
}

/// Rules by which a client retries.
struct RetryPolicy {
    max_retries: u32,
    min_wait_s: f64,
    /// Whether the client ignores Retry-After.
    is_impatient: bool,
}

/// Behaviour drawn for a client.
enum Behaviour {
    /// The client sends a malformed request.
    Malformed,
    /// The client sends a chat request and may disconnect early.
    Chat(DisconnectAt),
}

/// Runs the open-loop arrivals of one kind of traffic: each request starts at its time, regardless of the
/// outcome of earlier requests.
pub(super) async fn run_traffic(
    fleet: Rc<RehearsalFleet>,
    number: usize,
    traffic: Traffic,
    executor: Executor,
) {
    let mut arrivals = Arrivals::new(&fleet, number, traffic);
    let mut clients: Vec<Task<()>> = Vec::new();
    while let Some(arrival) = arrivals.next() {
        sleep_s(arrival.at_s - fleet.elapsed_s()).await;
        clients.extend(arrivals.start_client(&arrival, &executor));
    }
    for client in clients {
        client.await;
    }
}

/// Time at which a request is to start, in seconds since the day began, and its number.
struct Arrival {
    at_s: f64,
    number: u64,
}

/// Draws the arrivals of one kind of traffic and the behaviour of their clients. Another order of the draws
/// would give other clients for the same seed.
struct Arrivals {
    fleet: Rc<RehearsalFleet>,
    traffic_number: usize,
    traffic: Traffic,
    route: ModelRoute,
    tenant_key: Option<String>,
    random: WyRand,
    /// Time of the last arrival that was drawn, including those that were thinned out.
    at_s: f64,
    next_number: u64,
    max_rate_multiple: f64,
    day_began_unix_s: f64,
}

impl Arrivals {
    fn new(fleet: &Rc<RehearsalFleet>, traffic_number: usize, traffic: Traffic) -> Arrivals {
        let day = &fleet.day;
        let route = day.model_route.iter().find(|route| route.model == traffic.model);
        let tenant = day.tenant.iter().find(|tenant| tenant.name == traffic.tenant());
        Arrivals {
            fleet: fleet.clone(),
            traffic_number,
            route: route.cloned().unwrap_or_default(),
            tenant_key: tenant.map(|tenant| tenant.key.clone()),
            random: WyRand::new_seed(fleet.seed.wrapping_mul(1000) + traffic_number as u64),
            at_s: traffic.from_s(),
            next_number: 0,
            // Arrivals are drawn at the highest rate and thinned, so that a burst does not change the other
            // draws.
            max_rate_multiple: fleet.script.max_rate_multiple(),
            day_began_unix_s: unix_now() - fleet.elapsed_s(),
            traffic,
        }
    }

    /// Returns the next arrival that is not thinned out; `None` after the end of the traffic.
    fn next(&mut self) -> Option<Arrival> {
        let end_s = self.traffic.to_s().min(self.fleet.day.length_s);
        loop {
            let number = self.next_number;
            self.next_number += 1;
            let rate_per_s = self.traffic.rate_per_s * self.max_rate_multiple;
            self.at_s -= uniform(&mut self.random).max(1e-9).ln() / rate_per_s;
            if self.at_s >= end_s {
                return None;
            }
            let threshold = uniform(&mut self.random) * self.max_rate_multiple;
            if threshold <= self.fleet.script.rate_multiple(self.at_s) {
                return Some(Arrival { at_s: self.at_s, number });
            }
        }
    }

    /// Starts the client of an arrival; `None` if no node is running.
    fn start_client(&mut self, arrival: &Arrival, executor: &Executor) -> Option<Task<()>> {
        let node = self.fleet.running_node(self.random.generate::<u32>() as usize)?;
        let mut request = ChatCall { node: node.name, address: node.address, ..ChatCall::default() };
        let prompt_tokens = self.draw_prompt(arrival, &mut request);
        let record = self.fleet.record.for_source("client");
        let disconnect = match self.draw_behaviour() {
            Behaviour::Malformed => {
                let limits = self.fleet.day.limits.unwrap_or_default();
                let client = send_malformed(request.address, arrival.number, limits, record);
                return Some(executor.spawn(client));
            }
            Behaviour::Chat(disconnect) => disconnect,
        };
        self.fill_request(arrival, prompt_tokens, disconnect, &mut request);
        let policy = self.draw_retry_policy(arrival.at_s);
        let node_index = self.random.generate::<u32>() as usize;
        Some(executor.spawn(send_with_retries(self.fleet.clone(), request, policy, node_index, record)))
    }

    /// Draws the prompt; returns its length in tokens.
    fn draw_prompt(&mut self, arrival: &Arrival, request: &mut ChatCall) -> f64 {
        let tokens = self.traffic.prompt_tokens() * (0.5 + uniform(&mut self.random));
        let is_hot = uniform(&mut self.random) < self.fleet.script.hot_key_share(arrival.at_s);
        let prefixes = u64::from(self.traffic.beginnings());
        let drawn_prefix = if prefixes > 0 { self.random.generate::<u64>() % prefixes } else { 0 };
        if !is_hot && prefixes == 0 {
            request.prompt = text_of(tokens, arrival.number);
            return tokens;
        }
        let prefix = if is_hot { HOT_PREFIX } else { drawn_prefix };
        let salt = PREFIXES_PER_TRAFFIC * self.traffic_number as u64 + prefix;
        request.system = text_of(PREFIX_SHARE * tokens, salt);
        request.prompt = text_of(SUFFIX_SHARE * tokens, arrival.number);
        tokens
    }

    fn draw_behaviour(&mut self) -> Behaviour {
        let waiting = self.traffic.leave_waiting_share();
        let leaving = waiting + self.traffic.leave_streaming_share();
        let malformed = leaving + self.traffic.malformed_share();
        let drawn = uniform(&mut self.random);
        if drawn >= leaving && drawn < malformed {
            return Behaviour::Malformed;
        }
        Behaviour::Chat(if drawn < waiting {
            DisconnectAt::WaitingFor(0.02 + 0.2 * uniform(&mut self.random))
        } else if drawn < leaving {
            DisconnectAt::EventCount(1 + (10.0 * uniform(&mut self.random)) as usize)
        } else {
            DisconnectAt::Never
        })
    }

    fn fill_request(
        &mut self,
        arrival: &Arrival,
        prompt_tokens: f64,
        disconnect: DisconnectAt,
        request: &mut ChatCall,
    ) {
        let per_token_s = self.route.target_per_1000_tokens_ms() / 1e6;
        let is_drawn_streaming = uniform(&mut self.random) < self.traffic.stream_share();
        request.stream = is_drawn_streaming || matches!(disconnect, DisconnectAt::EventCount(_));
        request.timeout_s = match request.stream {
            true => self.route.route_timeout_ms / 1e3 + 2.0 * per_token_s * (prompt_tokens + FORMAT_TOKENS),
            false => self.route.whole_timeout_ms() / 1e3,
        };
        request.request_id = format!("q{}-{}", self.traffic_number, arrival.number);
        request.model = self.traffic.model.clone();
        request.api_key = self.tenant_key.clone();
        request.max_tokens = self.traffic.max_tokens;
        request.ttft_target_s = self.route.first_token_target_ms / 1e3 + per_token_s * prompt_tokens;
        request.intended_start = self.day_began_unix_s + arrival.at_s;
        request.disconnect = disconnect;
        let is_slow = uniform(&mut self.random) < self.traffic.slow_share();
        request.read_delay_s = if is_slow { SLOW_EVENT_S } else { 0.0 };
    }

    fn draw_retry_policy(&mut self, at_s: f64) -> RetryPolicy {
        if uniform(&mut self.random) < self.fleet.script.retry_abuse_share(at_s) {
            return RetryPolicy { max_retries: ABUSIVE_RETRIES, min_wait_s: 0.0, is_impatient: true };
        }
        RetryPolicy {
            max_retries: self.traffic.retries(),
            min_wait_s: self.traffic.retry_wait_ms() / 1e3,
            is_impatient: self.traffic.impatient(),
        }
    }
}

/// Sends a request, and retries it at other nodes until it completes, its client disconnects, or no retry is
/// left.
async fn send_with_retries(
    fleet: Rc<RehearsalFleet>,
    mut request: ChatCall,
    policy: RetryPolicy,
    node_index: usize,
    record: Recorder,
) {
    let first_id = request.request_id.clone();
    for retry in 0..=policy.max_retries {
        if retry > 0 {
            let Some(node) = fleet.running_node(node_index + retry as usize) else { return };
            request.node = node.name;
            request.address = node.address;
            request.retry_count = retry;
            request.request_id = format!("{first_id}-{retry}");
            request.retry_of = Some(first_id.clone());
            request.intended_start = unix_now();
        }
        let seen = client::call(&request, &record).await;
        if seen.as_ref().is_some_and(|seen| matches!(seen.outcome.as_str(), "completed" | "left")) {
            return;
        }
        let retry_after_s = seen.and_then(|seen| seen.retry_after_s).filter(|_| !policy.is_impatient);
        sleep_s(retry_after_s.unwrap_or(0.0).max(policy.min_wait_s)).await;
    }
}

/// Runs a client that sends a malformed request. The node must answer with an error, and the request must
/// have no other effect.
async fn send_malformed(address: String, number: u64, limits: Limits, record: Recorder) {
    let head = |length: usize| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")
    };
    let oversized_length = limits.most_body_bytes() as usize + 1;
    let (kind, pieces, pause_s) = match number % 4 {
        0 => ("json", vec![head(9).into_bytes(), b"{\"model\":".to_vec()], 0.0),
        1 => ("large", vec![head(oversized_length).into_bytes(), vec![b'x'; 1024]], 0.0),
        2 => ("slow", vec![head(100).into_bytes(), b"{".to_vec(), b" ".to_vec(), b" ".to_vec()], 0.6),
        _ => ("head", vec![b"POST /v1/chat".to_vec()], 0.0),
    };
    let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
    let timeout_s = limits.body_ms() / 1e3 + MALFORMED_MARGIN_S;
    let answer = client::send_raw(&address, &pieces, pause_s, timeout_s).await;
    record.record("malformed", json!({"kind": kind, "status": client::response_status(&answer)}));
}
