//! The chat API's sockets: requests are read within limits and handed to the core, answers written as they come.

use crate::client::looked;
use crate::event_loop::{ClientRequest, Event, ListenerState, Reply, TimedEvent};
use crate::idempotency::ResponseSharing;
use crate::persistence::StoreWriter;
use crate::{seconds, within, Clock, Limits};
use async_channel::{bounded, Receiver, Sender};
use bytes::Bytes;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use nickelgw_chat::core::retry_budget::{RetryBudget, RetryVerdict};
use nickelgw_node_core::{Admission, AdmittedRequest, RejectReason, RequestId};
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use nickelgw_protocol::{Malformed, REQUEST_ID_HEADER};
use serde_json::json;
use smol::io::{self, AsyncRead, AsyncWrite};
use smol::{Async, LocalExecutor};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

pub struct Server {
    pub door: Admission,
    pub limits: Rc<Limits>,
    pub to_core: Sender<TimedEvent>,
    pub gone: Sender<RequestId>,
    pub waiting: Rc<Cell<usize>>,
    pub name: String,
    pub serial: RefCell<u64>,
    pub models: Rc<Vec<String>>,
    pub doors: Rc<ListenerState>,
    pub tls: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    pub clock: Clock,
    pub ex: Rc<LocalExecutor<'static>>,
    pub budget: RefCell<RetryBudget>,
    pub repeats: ResponseSharing,
    pub keeper: Rc<StoreWriter>,
    pub parked: Option<Rc<crate::deferred::DeferredRequests>>,
}

pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;
pub type Answer = Response<AnswerBody>;

/// Says that the client has gone, unless its answer was whole by then.
pub struct Gone {
    pub ticket: Option<RequestId>,
    to: Sender<RequestId>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(t) = self.ticket.take() {
            let _ = self.to.try_send(t);
        }
    }
}

/// A streamed answer's body.
struct Streamed {
    from: Pin<Box<Receiver<Bytes>>>,
    gone: Gone,
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        use futures_lite::Stream;
        match self.from.as_mut().poll_next(cx) {
            Poll::Ready(Some(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(None) => {
                self.gone.ticket = None;
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

fn full(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes))
}

pub fn json_answer(status: u16, body: Bytes) -> Answer {
    let mut r = Response::new(full(body));
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    r
}

fn error(e: &ApiError) -> Answer {
    let mut r = json_answer(e.status, e.body());
    if let Some(v) = e.retry_after_header().and_then(|s| HeaderValue::from_str(&s).ok()) {
        r.headers_mut().insert(RETRY_AFTER, v);
    }
    if let Some(s) = e.retry_after_s {
        let ms = format!("{}", (s * 1e3).ceil());
        r.headers_mut().extend(HeaderValue::from_str(&ms).ok().map(|v| (MS, v)));
    }
    r
}

/// Heeded by OpenAI's own client libraries before the coarser `retry-after`.
const MS: hyper::header::HeaderName = hyper::header::HeaderName::from_static("retry-after-ms");
const TIMEOUT: &str = "x-request-timeout-ms";
const KEY: &str = "idempotency-key";
/// A client's own count of its retries: OpenAI's libraries tell the first.
const RETRY_COUNTS: [&str; 2] = ["x-stainless-retry-count", "x-retry-count"];

fn model(name: &String) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "nickelgw"})
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

fn plain_id(id: &str) -> bool {
    (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Accepts until dropped, or nothing more is to be accepted. Beyond the limit a connection is told to come back and
/// closed.
pub async fn accept(listener: Async<TcpListener>, server: Rc<Server>, ex: Rc<LocalExecutor<'static>>) {
    let closing = server.doors.accept_until.1.clone();
    loop {
        let next = async { Some(listener.accept().await) };
        let closed = async {
            let _ = closing.recv().await;
            None
        };
        let stream = match futures_lite::future::or(closed, next).await {
            None => return,
            Some(Ok((stream, _))) => stream,
            // Out of descriptors, or the peer went while it waited: the next may do.
            Some(Err(e)) => {
                tracing::warn!(error = %e, "a connection was not accepted");
                smol::Timer::after(seconds(0.01)).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        if server.limits.send_buffer > 0 {
            // Else the system takes megabytes for a client that reads nothing, and nobody is slowed.
            let _ = socket2::SockRef::from(stream.get_ref()).set_send_buffer_size(server.limits.send_buffer);
        }
        if server.doors.connections.get() >= server.limits.max_connections {
            let busy = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n\
                         content-length: 0\r\n\r\n";
            use std::io::Write;
            let _ = stream.get_ref().write(busy);
            continue;
        }
        ex.spawn(connection(stream, server.clone())).detach();
    }
}

/// Counts a connection while it stands.
struct Standing(Rc<ListenerState>);

impl Drop for Standing {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(stream: Async<TcpStream>, server: Rc<Server>) {
    server.doors.connections.set(server.doors.connections.get() + 1);
    let _standing = Standing(server.doors.clone());
    let blocked = Rc::new(Cell::new(None));
    let stall_s = server.limits.client_stall_timeout_s;
    let stream = Watched { inner: stream, blocked: blocked.clone() };
    let serving = async {
        match server.accepted() {
            None => http(stream, server.clone()).await,
            Some(config) => {
                let hands = TlsAcceptor::from(config).accept(stream);
                match within(server.limits.head_timeout_s, hands).await {
                    Some(Ok(stream)) => http(stream, server.clone()).await,
                    other => {
                        let why = other.and_then(|o| o.err()).map(|e| e.to_string());
                        tracing::debug!(why, "no handshake on the chat port");
                    }
                }
            }
        }
    };
    let stalled = async {
        stalled(&blocked, stall_s).await;
        tracing::info!("a client that took nothing was cut off");
    };
    futures_lite::future::or(serving, stalled).await;
}

/// Serves requests one after the other; once unused connections are to go, no further one.
async fn http(stream: impl AsyncRead + AsyncWrite + Unpin, server: Rc<Server>) {
    let served = server.clone();
    let service = hyper::service::service_fn(move |r| {
        let server = served.clone();
        async move { Ok::<_, Infallible>(server.serve(r).await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(SmolTimer::new()).header_read_timeout(seconds(server.limits.head_timeout_s));
    http.max_buf_size(64 * 1024);
    let mut conn = std::pin::pin!(http.serve_connection(FuturesIo::new(stream), service));
    let idling = server.doors.keep_alive_until.1.clone();
    let told = async {
        let _ = idling.recv().await;
        None
    };
    let mut ended = futures_lite::future::or(async { Some(conn.as_mut().await) }, told).await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        ended = Some(conn.await);
    }
    if let Some(Err(e)) = ended {
        tracing::debug!(error = %e, "connection ended");
    }
}

/// A client's connection, and since when it has taken nothing of what is written to it.
struct Watched<S> {
    inner: S,
    blocked: Rc<Cell<Option<Instant>>>,
}

impl<S> Watched<S> {
    fn note<T>(&self, p: Poll<T>) -> Poll<T> {
        self.blocked.set(if p.is_pending() { self.blocked.get().or(Some(Instant::now())) } else { None });
        p
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, to)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let p = Pin::new(&mut self.inner).poll_write(cx, from);
        self.note(p)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Ends when the client has taken nothing for too long: without it, what is buffered for it would be held for good.
async fn stalled(blocked: &Cell<Option<Instant>>, stall_s: f64) {
    loop {
        smol::Timer::after(seconds((stall_s / 4.0).max(0.01))).await;
        if blocked.get().is_some_and(|since| since.elapsed() >= seconds(stall_s)) {
            return;
        }
    }
}

/// Looks at the chat port's files; connections that stand keep what they began with.
pub async fn look(server: Rc<Server>) {
    let Some(tls) = server.tls.clone() else { return };
    looked("chat", tls, nickelgw_tls::Server::reload_if_changed).await;
}

/// A request that has passed the door.
pub struct Asked {
    pub ask: AdmittedRequest,
    pub id: Rc<str>,
    pub chat: Rc<ChatRequest>,
    pub since: Instant,
    pub digest: [u8; 32],
    pub marked: Option<u32>,
}

pub fn answer(reply: Reply, mut gone: Gone) -> Result<Answer, ApiError> {
    match reply {
        Reply::Stream(from) => Ok(streamed(Box::pin(Streamed { from: Box::pin(from), gone }))),
        Reply::Unary(body) => {
            gone.ticket = None;
            Ok(json_answer(200, body))
        }
        Reply::Error(e) => {
            gone.ticket = None;
            Err(e)
        }
    }
}

pub fn streamed(body: AnswerBody) -> Answer {
    let mut r = Response::new(body);
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    r.headers_mut().insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    r
}

impl Server {
    /// What a new connection's handshake is made with; none: the port is plain.
    fn accepted(&self) -> Option<Arc<ServerConfig>> {
        self.tls.as_ref()?.lock().unwrap_or_else(|e| e.into_inner()).config()
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let id =
            request.headers().get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok()).filter(|id| plain_id(id));
        let id: Rc<str> = match id {
            Some(id) => id.into(),
            None => {
                *self.serial.borrow_mut() += 1;
                format!("{}-{:x}-{}", self.name, std::process::id(), self.serial.borrow()).into()
            }
        };
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => match self.clone().chat(request, id.clone()).await {
                Ok(a) => a,
                Err(e) => {
                    tracing::info!(request = %id, status = e.status, code = e.code, "refused");
                    error(&e)
                }
            },
            (&Method::GET, "/v1/models") => {
                let list: Vec<_> = self.models.iter().map(model).collect();
                json_answer(200, json!({"object": "list", "data": list}).to_string().into())
            }
            (&Method::GET, path) if path.starts_with("/v1/models/") => {
                match self.models.iter().find(|m| path[11..] == ***m) {
                    Some(m) => json_answer(200, model(m).to_string().into()),
                    None => {
                        let mut e =
                            ApiError::new(404, "invalid_request_error", "model_not_found", "no such model");
                        e.param = Some("model");
                        error(&e)
                    }
                }
            }
            (&Method::GET, path) if path.starts_with(crate::deferred::PATH) => {
                let ticket = &path[crate::deferred::PATH.len()..];
                self.parked(bearer(request.headers()), ticket).unwrap_or_else(|e| error(&e))
            }
            // Before a list is heard there is no engine to send to: a front layer does better to wait.
            (&Method::GET, "/healthz") if !self.doors.healthy.get() => {
                let why = if self.doors.closing_connections.get() { "leaving" } else { "no list yet" };
                json_answer(503, json!({ "status": why }).to_string().into())
            }
            (&Method::GET, "/healthz") => {
                let connections = self.doors.connections.get();
                json_answer(200, json!({"status": "ok", "connections": connections}).to_string().into())
            }
            (_, path) => {
                let word = format!("no such call: {}", path.chars().take(64).collect::<String>());
                error(&ApiError::new(404, "invalid_request_error", "not_found", word))
            }
        };
        answer.headers_mut().extend(HeaderValue::from_str(&id).ok().map(|v| (ID, v)));
        if self.doors.closing_connections.get() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn chat(self: Rc<Self>, request: Request<Incoming>, id: Rc<str>) -> Result<Answer, ApiError> {
        let since = Instant::now();
        let (head, body) = request.into_parts();
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let bearer = bearer(&head.headers);
        let timeout = header(TIMEOUT).and_then(|v| v.parse::<f64>().ok()).map(|ms| ms / 1e3);
        let body = self.body(body).await?;
        let chat = ChatRequest::parse(&body).map_err(|m| ApiError::invalid_request(&m))?;
        let ask = self.door.admit(&chat, bearer, timeout).map_err(|r| r.error(self.limits.retry_after_s))?;
        if chat.fields.contains_key(crate::deferred::FIELD) {
            return self.park(chat, &ask).await;
        }
        let digest = *blake3::hash(&body).as_bytes();
        let marked = RETRY_COUNTS.iter().find_map(|n| header(n)).and_then(|v| v.parse::<u32>().ok());
        let asked = Asked { ask, id, chat: Rc::new(chat), since, digest, marked };
        match header(KEY) {
            None => {
                self.judge(&asked)?;
                let (reply, gone) = self.run(asked).await?;
                answer(reply, gone)
            }
            Some(key) if key.is_empty() || key.len() > 255 => {
                let m = Malformed::field("idempotency-key", "must have 1 to 255 characters");
                Err(ApiError::invalid_request(&m))
            }
            Some(key) => {
                let key = key.to_string();
                self.keyed(asked, &key).await
            }
        }
    }

    /// Whether the budget of retries lets it in.
    pub fn judge(&self, a: &Asked) -> Result<(), ApiError> {
        let mut body = [0; 16];
        body.copy_from_slice(&a.digest[..16]);
        let tenant = a.ask.tenant.unwrap_or(usize::MAX);
        let verdict = self.budget.borrow_mut().admit(self.clock.now(), tenant, a.ask.route, a.marked, body);
        match verdict {
            RetryVerdict::FirstAttempt | RetryVerdict::Retry => Ok(()),
            RetryVerdict::Rejected { retry_after_s } => {
                let word = "too many retries of late; come back later";
                Err(ApiError::new(429, "rate_limit_error", "retry_budget", word)
                    .with_retry_after(retry_after_s))
            }
        }
    }

    /// Has it taken, and waits for its answer or the beginning of it.
    pub async fn run(&self, a: Asked) -> Result<(Reply, Gone), ApiError> {
        let behind = || RejectReason::QueueFull.error(self.limits.retry_after_s);
        if self.waiting.get() >= self.limits.max_queued {
            return Err(behind());
        }
        let (tenant, route) = (a.ask.tenant.unwrap_or(usize::MAX), a.ask.route);
        let (reply, replied) = bounded(1);
        let (taken, ticket) = bounded(1);
        let job = ClientRequest { id: a.id, chat: a.chat, reply, since: a.since, stream: None };
        self.waiting.set(self.waiting.get() + 1);
        let word = TimedEvent::new(Event::Accept { request: a.ask, client: job, accepted: taken });
        if self.to_core.try_send(word).is_err() {
            self.waiting.set(self.waiting.get() - 1);
            return Err(behind());
        }
        // Dropped by the client's going from here on, the ticket's guard tells the core.
        let mut gone = Gone { ticket: None, to: self.gone.clone() };
        let lost = || ApiError::new(500, "server_error", "node_stopping", "the node is stopping");
        gone.ticket = ticket.recv().await.ok();
        let reply = replied.recv().await.map_err(|_| lost())?;
        if !matches!(reply, Reply::Error(_)) {
            self.budget.borrow_mut().response_started(tenant, route);
        }
        Ok((reply, gone))
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, ApiError> {
        let most = self.limits.max_body_bytes;
        let wrong = |status, code, word: String| ApiError::new(status, "invalid_request_error", code, word);
        if body.size_hint().lower() > most as u64 {
            return Err(wrong(413, "body_too_large", format!("the body is over {most} bytes")));
        }
        match within(self.limits.body_timeout_s, Limited::new(body, most).collect()).await {
            None => Err(wrong(408, "body_too_slow", "the body did not come in time".into())),
            Some(Ok(b)) => Ok(b.to_bytes()),
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                Err(wrong(413, "body_too_large", format!("the body is over {most} bytes")))
            }
            Some(Err(_)) => Err(wrong(400, "body_cut", "the body ended early".into())),
        }
    }
}

const ID: hyper::header::HeaderName = hyper::header::HeaderName::from_static(REQUEST_ID_HEADER);
