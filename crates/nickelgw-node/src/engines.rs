//! Sends to engines: what the core orders is put on the wire, and how it ended is read off it.

use crate::client::{whole, Connection, Peer, Pool};
use crate::event_loop::{ResponseSink, TimedEvent};
use crate::{seconds, within, Limits};
use async_channel::{bounded, Sender};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST, TE};
use hyper::{Method, Request};
use nickelgw_node_core::ledger::ReservationId;
use nickelgw_node_core::{AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult, Endpoint, Reservation};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{decode_request_body, prefill_request_body, KvTransfer, PrefillResponse};
use nickelgw_protocol::load::LoadReport;
use nickelgw_protocol::sse::{Event, EventDecoder};
use nickelgw_protocol::{
    ATTEMPT_ID_HEADER, LOAD_METRICS_FORMAT_HEADER, LOAD_METRICS_HEADER, NODE_HEADER, REQUEST_ID_HEADER,
    ZONE_HEADER,
};
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;

pub struct Engines {
    pub pool: Rc<Pool>,
    node: String,
    zone: String,
    pub limits: Rc<Limits>,
}

fn report(headers: &HeaderMap) -> Option<LoadReport> {
    // A report that cannot be read is as none: it rides on an answer that counts without it.
    LoadReport::parse(headers.get(LOAD_METRICS_HEADER)?.to_str().ok()?).ok()
}

/// Its time is over: before anything went out that is an engine which could not be reached.
fn late(out: &Cell<bool>) -> AttemptOutcome {
    match out.get() {
        true => AttemptOutcome::TimedOut,
        false => AttemptOutcome::ConnectFailed,
    }
}

/// Where the writer finds the state, and what lets it fetch it.
fn transfer(s: &Reservation, grant: &Option<String>) -> KvTransfer {
    KvTransfer {
        do_remote_prefill: true,
        remote_request_id: Some(s.name.to_string()),
        remote_engine_id: Some(s.prefill_engine.id.clone()),
        remote_host: Some(s.prefill_engine.address.clone()),
        remote_tls_name: s.prefill_engine.tls_name.clone(),
        remote_grant: grant.clone(),
        ..KvTransfer::default()
    }
}

/// What a stream has come to, and the load told with it.
type Ended = (AttemptOutcome, Option<LoadReport>);

impl Engines {
    pub fn new(pool: Rc<Pool>, node: &str, zone: &str, limits: Rc<Limits>) -> Rc<Engines> {
        Rc::new(Engines { pool, node: node.into(), zone: zone.into(), limits })
    }

    fn peer<'a>(&self, place: &'a Endpoint) -> Peer<'a> {
        let host = || place.address.rsplit_once(':').map_or(&*place.address, |a| a.0);
        let name = self.pool.tls.is_some().then(|| place.tls_name.as_deref().unwrap_or_else(host));
        Peer { address: &place.address, name, out: None }
    }

    fn peer_out<'a>(&self, place: &'a Endpoint, out: &'a Cell<bool>) -> Peer<'a> {
        Peer { out: Some(out), ..self.peer(place) }
    }

    pub fn request(&self, method: Method, address: &str, path: &str) -> hyper::http::request::Builder {
        let b = Request::builder().method(method).uri(path).header(HOST, address);
        b.header(NODE_HEADER, &self.node)
            .header(ZONE_HEADER, &self.zone)
            .header(LOAD_METRICS_FORMAT_HEADER, "JSON")
    }

    fn completion(&self, order: &AttemptRequest, id: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let b = self.request(Method::POST, &order.engine.address, "/v1/chat/completions");
        let b = b.header(CONTENT_TYPE, "application/json").header(TE, "trailers");
        b.header(REQUEST_ID_HEADER, id).header(ATTEMPT_ID_HEADER, &order.name).body(Full::new(body)).ok()
    }

    /// Makes one send and tells the core how it ends. Dropped, it closes its connection.
    /// `out` is set once something of it may have gone out.
    pub async fn send(
        self: Rc<Self>,
        order: AttemptRequest,
        id: Rc<str>,
        chat: Rc<ChatRequest>,
        words: Sender<TimedEvent>,
        out: Rc<Cell<bool>>,
    ) {
        let (ticket, send) = (order.request, order.attempt);
        let (end, sink) = match &order.kind {
            AttemptKind::Prefill => (self.read(&order, &id, &chat, &out).await, None),
            AttemptKind::Decode { reservation: state, grant, .. } => {
                let kv = state.as_ref().map(|s| transfer(s, grant));
                self.write(&order, &id, &chat, kv, &words, &out).await
            }
        };
        // A full queue holds the task up; the event is never dropped.
        let _ = words
            .send(TimedEvent::new(crate::event_loop::Event::AttemptEnded { ticket, send, result: end, sink }))
            .await;
    }

    async fn read(
        &self,
        order: &AttemptRequest,
        id: &str,
        chat: &ChatRequest,
        out: &Cell<bool>,
    ) -> AttemptResult {
        let request = prefill_request_body(chat).ok().and_then(|body| self.completion(order, id, body));
        let Some(request) = request else { return AttemptResult::default() };
        let answer =
            within(order.timeout_s, self.pool.fetch(self.peer_out(&order.engine, out), &request)).await;
        let (status, headers, body) = match answer {
            None => return AttemptResult { outcome: late(out), ..AttemptResult::default() },
            Some(Err(cause)) => return AttemptResult { outcome: cause, ..AttemptResult::default() },
            Some(Ok(a)) => a,
        };
        let load = report(&headers);
        if status != 200 {
            return AttemptResult {
                outcome: AttemptOutcome::from_status(status, &body),
                load,
                cached_tokens: 0.0,
            };
        }
        match PrefillResponse::parse(&body) {
            Ok(a) if a.kv_transfer_params.remote_request_id.as_deref() == Some(&order.name) => {
                let kept = a.usage.prompt_tokens_details.unwrap_or_default().cached_tokens as f64;
                AttemptResult { outcome: AttemptOutcome::Prefilled, load, cached_tokens: kept }
            }
            _ => AttemptResult { outcome: AttemptOutcome::Malformed, load, cached_tokens: 0.0 },
        }
    }

    async fn write(
        &self,
        order: &AttemptRequest,
        id: &str,
        chat: &ChatRequest,
        kv: Option<KvTransfer>,
        words: &Sender<TimedEvent>,
        out: &Cell<bool>,
    ) -> (AttemptResult, Option<ResponseSink>) {
        let AttemptKind::Decode { idle_timeout_s: idle_s, .. } = order.kind else {
            return (AttemptResult::default(), None);
        };
        let ended = |cause, load| (AttemptResult { outcome: cause, load, cached_tokens: 0.0 }, None);
        let request =
            decode_request_body(chat, kv.as_ref()).ok().and_then(|body| self.completion(order, id, body));
        let Some(request) = request else { return ended(AttemptOutcome::NotDelivered, None) };
        let mut patience = Timer::after(seconds(order.timeout_s));
        let begun =
            futures_lite::future::or(async { Some(self.begin(&order.engine, &request, out).await) }, async {
                (&mut patience).await;
                None
            });
        let mut stream = match begun.await {
            None => return ended(late(out), None),
            Some(Err((cause, load))) => return ended(cause, load),
            Some(Ok(s)) => s,
        };
        let (grant, granted) = bounded(1);
        let (ticket, send) = (order.request, order.attempt);
        let began = crate::event_loop::Event::ResponseStarted { request_id: ticket, attempt: send, grant };
        if words.send(TimedEvent::new(began)).await.is_err() {
            return ended(AttemptOutcome::Cancelled, None);
        }
        // Too late: another has the client, or it has gone. The core knows this send as ended already.
        let Ok(mut sink) = granted.recv().await else { return ended(AttemptOutcome::Cancelled, None) };
        let stall = self.limits.client_stall_timeout_s;
        let (cause, load) = stream.pump(&mut sink, idle_s, stall).await;
        // With something left unread on it, the next answer would begin with that.
        if cause == AttemptOutcome::Completed && stream.at_end {
            self.pool.give_back(stream.conn);
        }
        (AttemptResult { outcome: cause, load, cached_tokens: 0.0 }, Some(sink))
    }

    /// Up to the first event of the stream.
    async fn begin(
        &self,
        place: &Endpoint,
        request: &Request<Full<Bytes>>,
        out: &Cell<bool>,
    ) -> Result<Stream, Ended> {
        let (response, conn) =
            self.pool.call(self.peer_out(place, out), request).await.map_err(|c| (c, None))?;
        let (head, body) = response.into_parts();
        let load = report(&head.headers);
        let status = head.status.as_u16();
        if status != 200 {
            let body = whole(body).await.map_err(|c| (c, load.clone()))?;
            self.pool.give_back(conn);
            return Err((AttemptOutcome::from_status(status, &body), load));
        }
        let kind = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or("");
        if !kind.starts_with("text/event-stream") {
            return Err((AttemptOutcome::Malformed, load));
        }
        let mut s = Stream {
            body,
            events: EventDecoder::default(),
            first: None,
            trailers: None,
            at_end: false,
            conn,
        };
        match s.next().await {
            Ok(Some(first)) => s.first = Some(first),
            Ok(None) => return Err((AttemptOutcome::Malformed, load)),
            Err(cause) => return Err((cause, load)),
        }
        Ok(s)
    }

    /// A short call without a body, answered within a probe's time or not at all.
    async fn short(
        &self,
        method: Method,
        place: &Endpoint,
        path: &str,
    ) -> Result<(u16, HeaderMap, Bytes), AttemptOutcome> {
        let built = self.request(method, &place.address, path).body(Full::default());
        let request = built.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let answer = within(self.limits.probe_timeout_s, self.pool.fetch(self.peer(place), &request)).await;
        answer.unwrap_or(Err(AttemptOutcome::TimedOut))
    }

    pub async fn probe(self: Rc<Self>, place: Rc<Endpoint>, words: Sender<TimedEvent>) {
        let (cause, load) = match self.short(Method::GET, &place, "/health").await {
            Err(cause) => (cause, None),
            Ok((200, headers, _)) => (AttemptOutcome::Completed, report(&headers)),
            Ok((status, headers, body)) => (AttemptOutcome::from_status(status, &body), report(&headers)),
        };
        let _ = words
            .send(TimedEvent::new(crate::event_loop::Event::ProbeFinished { endpoint: place, cause, load }))
            .await;
    }

    /// Whether an engine answers its probe at all, however it does.
    pub async fn answers(&self, place: &Endpoint) -> bool {
        self.short(Method::GET, place, "/health").await.is_ok()
    }

    /// Whatever this node's earlier processes left at the reader is let go of; `boot`: what is this one's stays.
    pub async fn sweep(self: Rc<Self>, place: Rc<Endpoint>, boot: String, words: Sender<TimedEvent>) {
        let path = format!("/v1/states?except={boot}");
        let answer = self.short(Method::DELETE, &place, &path).await;
        // A reader that does not know the call will not learn it: its own limit frees them.
        let done = matches!(answer, Ok((200 | 204 | 404 | 405 | 501, _, _)));
        let _ = words
            .send(TimedEvent::new(crate::event_loop::Event::OrphanCleanupFinished { place, done }))
            .await;
    }

    pub async fn let_go(self: Rc<Self>, call: ReservationId, state: Reservation, words: Sender<TimedEvent>) {
        let path = format!("/v1/states/{}", state.name);
        let answer = self.short(Method::DELETE, &state.prefill_engine, &path).await;
        // Not found is let go too: fetched, or never there.
        let done = matches!(answer, Ok((200 | 204 | 404, _, _)));
        let _ = words
            .send(TimedEvent::new(crate::event_loop::Event::ReleaseFinished { reservation_id: call, done }))
            .await;
    }
}

/// A write's answer as it comes.
struct Stream {
    body: Incoming,
    events: EventDecoder,
    first: Option<Event>,
    trailers: Option<HeaderMap>,
    at_end: bool,
    conn: Connection,
}

impl Stream {
    /// The next event; none at the end of the body.
    async fn next(&mut self) -> Result<Option<Event>, AttemptOutcome> {
        loop {
            if let Some(e) = self.events.next_event().map_err(|_| AttemptOutcome::Malformed)? {
                let sound = match &e {
                    Event::Done => true,
                    Event::Data { data, .. } => serde_json::from_slice::<serde::de::IgnoredAny>(data).is_ok(),
                };
                return if sound { Ok(Some(e)) } else { Err(AttemptOutcome::Malformed) };
            }
            match self.body.frame().await {
                None if self.events.has_incomplete_event() => return Err(AttemptOutcome::Malformed),
                None => {
                    self.at_end = true;
                    return Ok(None);
                }
                Some(Err(_)) => return Err(AttemptOutcome::ConnectionLost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.events.push(&data),
                    Err(frame) => self.trailers = frame.into_trailers().ok(),
                },
            }
        }
    }

    /// Passes events on until the stream ends, and says how it ended.
    async fn pump(&mut self, sink: &mut ResponseSink, idle_s: f64, stall_s: f64) -> Ended {
        let mut idle = Timer::after(seconds(idle_s));
        loop {
            let event = match self.first.take() {
                Some(e) => Ok(Some(e)),
                None => {
                    idle.set_after(seconds(idle_s));
                    let next = futures_lite::future::or(async { Some(self.next().await) }, async {
                        (&mut idle).await;
                        None
                    });
                    let Some(next) = next.await else { return (AttemptOutcome::TimedOut, None) };
                    next
                }
            };
            match event {
                // Ended without [DONE]: cut, whatever the framing says.
                Ok(None) => return (AttemptOutcome::ConnectionLost, None),
                Err(cause) => return (cause, None),
                Ok(Some(Event::Done)) => {
                    let rest = within(idle_s, self.next()).await;
                    let load = self.trailers.as_ref().and_then(report);
                    return match rest {
                        Some(Ok(None)) => (AttemptOutcome::Completed, load),
                        // The answer is whole; what follows it is not passed on.
                        _ => (AttemptOutcome::Completed, None),
                    };
                }
                Ok(Some(Event::Data { data, .. })) if data.starts_with(b"{\"error\"") => {
                    return (AttemptOutcome::ErrorStatus(200), None);
                }
                Ok(Some(Event::Data { frame, data })) => match within(stall_s, sink.pass(frame, &data)).await
                {
                    Some(Ok(())) => {}
                    Some(Err(cause)) => return (cause, None),
                    None => return (AttemptOutcome::Cancelled, None),
                },
            }
        }
    }
}
