//! Makes calls to engines (attempts, probes and releases) and reports the end of each to the event loop.

mod attempt;
mod decode_stream;

pub use attempt::Attempt;

use crate::client::{Peer, Pool};
use crate::clock::within;
use crate::events::{Event, TimedEvent};
use crate::limits::Limits;
use async_channel::Sender;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HOST};
use hyper::http::request::Builder;
use hyper::{Method, Request};
use nickelgw_node_core::{AttemptOutcome, Endpoint, ReleaseCall, ReleaseOutcome};
use nickelgw_protocol::load::LoadReport;
use nickelgw_protocol::{LOAD_METRICS_FORMAT_HEADER, LOAD_METRICS_HEADER, NODE_HEADER, ZONE_HEADER};
use std::cell::Cell;
use std::rc::Rc;

/// Client for a node's calls to engines.
pub struct EngineClient {
    /// Connections to engines and to the source of the endpoint list.
    pub pool: Rc<Pool>,
    node: String,
    zone: String,
    limits: Rc<Limits>,
    events: Sender<TimedEvent>,
}

/// Parses the load report in an engine's response. A malformed report is ignored: the response counts without
/// it.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    LoadReport::parse(headers.get(LOAD_METRICS_HEADER)?.to_str().ok()?).ok()
}

impl EngineClient {
    /// Creates the client of a node with this name and zone.
    pub fn new(
        pool: Rc<Pool>,
        node: &str,
        zone: &str,
        limits: Rc<Limits>,
        events: Sender<TimedEvent>,
    ) -> Rc<EngineClient> {
        Rc::new(EngineClient { pool, node: node.into(), zone: zone.into(), limits, events })
    }

    fn peer<'a>(&self, endpoint: &'a Endpoint, sent: Option<&'a Cell<bool>>) -> Peer<'a> {
        let host = || endpoint.address.rsplit_once(':').map_or(&*endpoint.address, |(host, _)| host);
        let tls_name = || endpoint.tls_name.as_deref().unwrap_or_else(host);
        Peer { address: &endpoint.address, tls_name: self.pool.tls.is_some().then(tls_name), sent }
    }

    /// Starts a request with the headers that every call of the node carries.
    pub fn request(&self, method: Method, address: &str, path: &str) -> Builder {
        let builder = Request::builder().method(method).uri(path).header(HOST, address);
        builder
            .header(NODE_HEADER, &self.node)
            .header(ZONE_HEADER, &self.zone)
            .header(LOAD_METRICS_FORMAT_HEADER, "JSON")
    }

    /// Reports an event to the event loop. Waits while the queue is full: no event is dropped.
    async fn report(&self, event: Event) {
        let _ = self.events.send(TimedEvent::new(event)).await;
    }

    /// Makes a short call without a body, which fails after the probe timeout.
    async fn short_call(
        &self,
        method: Method,
        endpoint: &Endpoint,
        path: &str,
    ) -> Result<(u16, HeaderMap, Bytes), AttemptOutcome> {
        let request = self.request(method, &endpoint.address, path).body(Full::default());
        let request = request.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let fetch = self.pool.fetch(self.peer(endpoint, None), &request);
        within(self.limits.probe_timeout_s, fetch).await.unwrap_or(Err(AttemptOutcome::TimedOut))
    }

    /// Probes the engine's health and reports the outcome.
    pub async fn probe(self: Rc<Self>, endpoint: Rc<Endpoint>) {
        let (outcome, load) = match self.short_call(Method::GET, &endpoint, "/health").await {
            Err(outcome) => (outcome, None),
            Ok((200, headers, _)) => (AttemptOutcome::Completed, load_report(&headers)),
            Ok((status, headers, body)) => {
                (AttemptOutcome::from_status(status, &body), load_report(&headers))
            }
        };
        self.report(Event::ProbeFinished { endpoint, outcome, load }).await;
    }

    /// Returns whether an engine responds to a probe, regardless of the status.
    pub async fn is_reachable(&self, endpoint: &Endpoint) -> bool {
        self.short_call(Method::GET, endpoint, "/health").await.is_ok()
    }

    /// Releases what earlier processes of this node reserved at a prefill engine. `incarnation` names this
    /// process, whose reservations are kept.
    pub async fn release_orphans(self: Rc<Self>, endpoint: Rc<Endpoint>, incarnation: String) {
        let path = format!("/v1/states?except={incarnation}");
        let response = self.short_call(Method::DELETE, &endpoint, &path).await;
        // An engine that does not support the call is not called again: its own time limit releases the
        // reservations.
        let confirmed = matches!(response, Ok((200 | 204 | 404 | 405 | 501, _, _)));
        self.report(Event::OrphanCleanupFinished { endpoint, confirmed }).await;
    }

    /// Releases a reservation at its prefill engine.
    pub async fn release(self: Rc<Self>, call: ReleaseCall) {
        let path = format!("/v1/states/{}", call.reservation.name);
        let outcome = match self.short_call(Method::DELETE, &call.endpoint, &path).await {
            // Not found counts as released: the reservation was fetched or never existed.
            Ok((200 | 204 | 404, _, _)) => ReleaseOutcome::Confirmed,
            Ok(_) => ReleaseOutcome::Refused,
            Err(_) => ReleaseOutcome::Unanswered,
        };
        self.report(Event::ReleaseFinished { call: call.id, outcome }).await;
    }
}
