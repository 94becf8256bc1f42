//! Client of the measurements, which calls engines through the node or directly.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use nickelgw_node::client::{Connection, Peer, Pool};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{decode_request_body, prefill_request_body, PrefillResponse};
use nickelgw_protocol::sse::{Event, EventDecoder};
use nickelgw_protocol::{ATTEMPT_ID_HEADER, REQUEST_ID_HEADER};
use nickelgw_tls::core::pool::PoolConfig;
use serde_json::json;
use smol::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT_S: f64 = 2.0;
/// Number of distinct prompt prefixes, which the requests share.
const PREFIXES: usize = 8;

/// Path that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// A call to the node.
    ThroughNode,
    /// Prefill and decode calls that the client makes to the engines itself.
    Direct,
}

/// Address of an engine, and the name in its certificate.
pub(super) struct EngineAddress {
    pub(super) address: String,
    /// Name in its certificate; `None` if it is called without TLS.
    pub(super) tls_name: Option<String>,
}

impl EngineAddress {
    fn peer(&self) -> Peer<'_> {
        Peer { address: &self.address, tls_name: self.tls_name.as_deref(), sent: None }
    }
}

/// Latencies of a completed response, in seconds from the request's intended start.
pub(super) struct Latency {
    pub(super) first_token_s: f64,
    pub(super) total_s: f64,
}

/// Client that calls a node or its engines.
pub(super) struct BenchClient {
    pool: Rc<Pool>,
    pub(super) node: String,
    pub(super) prefill_engines: Vec<EngineAddress>,
    pub(super) decode_engines: Vec<EngineAddress>,
    direct_requests: Cell<usize>,
}

/// Returns the configuration of a connection pool that never makes a request wait.
pub(super) fn unlimited_pool() -> PoolConfig {
    PoolConfig { max_handshakes: 4096, max_handshakes_per_engine: 4096, ..PoolConfig::default() }
}

impl BenchClient {
    pub(super) fn new(
        executor: &Rc<LocalExecutor<'static>>,
        config: PoolConfig,
        tls: Option<nickelgw_node::client::Tls>,
        node: String,
    ) -> BenchClient {
        BenchClient {
            pool: Pool::new(executor.clone(), CONNECT_TIMEOUT_S, config, tls),
            node,
            prefill_engines: Vec::new(),
            decode_engines: Vec::new(),
            direct_requests: Cell::new(0),
        }
    }

    /// Sends a request and reads its response to the end; `None` if it does not complete.
    pub(super) async fn send(
        &self,
        route: Route,
        number: usize,
        output_tokens: usize,
        intended: Instant,
    ) -> Option<Latency> {
        let body = chat_body(number, output_tokens);
        match route {
            Route::ThroughNode => self.send_through_node(number, body, intended).await,
            Route::Direct => self.send_directly(number, body, intended).await,
        }
    }

    async fn send_through_node(&self, number: usize, body: Bytes, intended: Instant) -> Option<Latency> {
        let request = chat_request(&self.node, &format!("b{number}"), body)?;
        self.stream(Peer::plain(&self.node), &request, intended).await
    }

    async fn send_directly(&self, number: usize, body: Bytes, intended: Instant) -> Option<Latency> {
        let chat = ChatRequest::parse(&body).ok()?;
        let count = self.direct_requests.get() + 1;
        self.direct_requests.set(count);
        let prefill_engine = &self.prefill_engines[number % PREFIXES % self.prefill_engines.len()];
        let decode_engine = &self.decode_engines[count % self.decode_engines.len()];
        let id = format!("d{number}-{count}");
        let prefill = chat_request(&prefill_engine.address, &id, prefill_request_body(&chat).ok()?)?;
        let (status, _, body) = self.pool.fetch(prefill_engine.peer(), &prefill).await.ok()?;
        if status != 200 {
            return None;
        }
        let state = PrefillResponse::parse(&body).ok()?.kv_transfer_params;
        let decode =
            chat_request(&decode_engine.address, &id, decode_request_body(&chat, Some(&state)).ok()?)?;
        self.stream(decode_engine.peer(), &decode, intended).await
    }

    async fn stream(
        &self,
        peer: Peer<'_>,
        request: &Request<Full<Bytes>>,
        intended: Instant,
    ) -> Option<Latency> {
        let (response, connection) = self.pool.call(peer, request).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let mut body = response.into_body();
        let (mut events, mut first_token_s, mut is_done) = (EventDecoder::default(), None, false);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                events.push(&data);
            }
            while let Some(event) = events.next_event().ok()? {
                first_token_s = first_token_s.or(Some(intended.elapsed().as_secs_f64()));
                is_done |= event == Event::Done;
            }
        }
        self.pool.return_connection(connection);
        let first_token_s = first_token_s?;
        is_done.then(|| Latency { first_token_s, total_s: intended.elapsed().as_secs_f64() })
    }

    /// Opens a new connection to an engine. It is not returned to the pool, so that no other request uses it.
    pub(super) async fn open_connection(&self, engine: &EngineAddress) -> Option<Connection> {
        let request = Request::builder().uri("/health").header("host", &engine.address);
        let request = request.body(Full::default()).ok()?;
        let (response, connection) = self.pool.call(engine.peer(), &request).await.ok()?;
        response.into_body().collect().await.ok()?;
        Some(connection)
    }
}

fn chat_body(number: usize, output_tokens: usize) -> Bytes {
    let user = format!("[{number}] {}", "word ".repeat(60));
    let system = format!("beginning {} {}", number % PREFIXES, "text ".repeat(100));
    Bytes::from(
        json!({"model": "chat", "stream": true, "max_tokens": output_tokens,
            "messages": [{"role": "system", "content": system}, {"role": "user", "content": user}]})
        .to_string(),
    )
}

fn chat_request(address: &str, id: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder().method(Method::POST).uri("/v1/chat/completions");
    let request = request.header("host", address).header("content-type", "application/json");
    let request =
        request.header("te", "trailers").header(REQUEST_ID_HEADER, id).header(ATTEMPT_ID_HEADER, id);
    request.body(Full::new(body)).ok()
}
