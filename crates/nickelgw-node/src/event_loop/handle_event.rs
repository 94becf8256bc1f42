//! Applies each event to the core and to the open requests.

use super::EventLoop;
use crate::events::{Event, ProcessSignal};
use crate::replies::{ClientRequest, Reply, ResponseSink};
use async_channel::Sender;
use nickelgw_gossip::core::PeerRecord;
use nickelgw_node_core::trace::RequestTrace;
use nickelgw_node_core::zone_failover::ZoneRound;
use nickelgw_node_core::{AdmittedRequest, AttemptOutcome, AttemptResult, Endpoint, RequestId};
use nickelgw_protocol::list::EndpointList;
use nickelgw_protocol::load::LoadReport;

impl EventLoop {
    pub(super) fn handle_event(&mut self, now: f64, event: Event) {
        match event {
            Event::Signal(signal) => self.handle_signal(now, signal),
            Event::Accept { request, client, accepted } => {
                self.accept_request(now, &request, client, accepted)
            }
            Event::ResponseStarted { request_id, attempt, reply_to } => {
                self.response_started(now, request_id, attempt, reply_to)
            }
            Event::AttemptEnded { request_id, attempt, result, sink } => {
                self.attempt_ended(now, request_id, attempt, result, sink)
            }
            Event::ProbeFinished { endpoint, outcome, load } => {
                self.probe_finished(now, &endpoint, outcome, load)
            }
            Event::ReleaseFinished { call, outcome } => self.core.release_finished(now, call, outcome),
            Event::OrphanCleanupFinished { endpoint, confirmed } => {
                self.core.orphan_cleanup_finished(now, &endpoint.address, confirmed)
            }
            Event::FleetPosition(position) => {
                self.core.set_fleet_position(now, position.number.zip(position.node_count))
            }
            Event::ZoneRound { peers, reply_to } => self.zone_round(now, &peers, &reply_to),
            Event::CollectMetrics { reply_to } => drop(reply_to.try_send(self.snapshot())),
            Event::Explain { request_id, reply_to } => {
                let trace = self.core.request_trace(&request_id).map(RequestTrace::describe);
                drop(reply_to.try_send(trace))
            }
            Event::SaveLearnedState { reply_to } => drop(reply_to.try_send(self.core.learned_state(now))),
            Event::EndpointsUpdated { list, replaced } => self.endpoints_updated(now, &list, &replaced),
            Event::EndpointPollFailed => self.core.endpoint_poll_failed(now),
        }
    }

    pub(super) fn client_disconnected(&mut self, now: f64, request_id: RequestId) {
        self.core.client_disconnected(now, request_id);
        if let Some(client) = self.clients.remove(&request_id) {
            self.log_finished(&client, "left");
        }
    }

    fn handle_signal(&mut self, now: f64, signal: ProcessSignal) {
        match signal {
            ProcessSignal::SkipStage => self.lifecycle.skip_stage(now),
            ProcessSignal::ReleaseStore => self.set_stores_released(true),
            ProcessSignal::ResumeStore => self.set_stores_released(false),
            ProcessSignal::Drain => self.lifecycle.begin_drain(now, false),
            ProcessSignal::DrainHandedOver => {
                self.listener.handed_over.set(true);
                self.lifecycle.begin_drain(now, true);
            }
        }
    }

    fn set_stores_released(&self, released: bool) {
        for store_writer in &self.store_writers {
            store_writer.set_released(released);
        }
    }

    fn accept_request(
        &mut self,
        now: f64,
        request: &AdmittedRequest,
        client: ClientRequest,
        accepted: Sender<RequestId>,
    ) {
        self.queued.set(self.queued.get() - 1);
        // The client may have disconnected while the request was queued.
        if accepted.is_closed() {
            return;
        }
        let request_id = match self.core.accept_request(now, request) {
            Ok(request_id) => request_id,
            Err(reason) => {
                let error = reason.error(self.limits.retry_after_s);
                return drop(client.reply.try_send(Reply::Error(error)));
            }
        };
        let _ = accepted.try_send(request_id);
        let model = client.chat.model.as_str().into();
        let objective_s = self.core.ttft_objective_s(request);
        let trace = RequestTrace::new(client.id.clone(), model, now, objective_s, request.prompt_tokens);
        self.core.start_trace(request_id, trace);
        self.clients.insert(request_id, client);
    }

    fn response_started(
        &mut self,
        now: f64,
        request_id: RequestId,
        attempt: u32,
        reply_to: Sender<ResponseSink>,
    ) {
        if self.core.response_started(now, request_id, attempt) {
            if let Some(client) = self.clients.get_mut(&request_id) {
                let _ = reply_to.try_send(client.begin_response());
            }
        }
    }

    fn attempt_ended(
        &mut self,
        now: f64,
        request_id: RequestId,
        attempt: u32,
        result: AttemptResult,
        sink: Option<ResponseSink>,
    ) {
        self.attempts.remove(&(request_id, attempt));
        let is_success = matches!(result.outcome, AttemptOutcome::Prefilled | AttemptOutcome::Completed);
        if let Some(client) = self.clients.get(&request_id).filter(|_| !is_success) {
            tracing::debug!(request = %client.id, attempt, cause = ?result.outcome, "attempt ended");
        }
        if let Some(sink) = sink {
            // This drops the client's own sender, so that its stream is closed after the last event.
            if let Some(client) = self.clients.remove(&request_id) {
                self.finish_response(sink, &client, result.outcome);
            }
        }
        self.core.attempt_ended(now, request_id, attempt, result);
    }

    fn probe_finished(
        &mut self,
        now: f64,
        endpoint: &Endpoint,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        self.core.probe_finished(now, &endpoint.id, outcome, load);
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed) {
            let _ = self.channels.engine_unreachable.try_send(());
        }
    }

    fn zone_round(&mut self, now: f64, peers: &[PeerRecord], reply_to: &Sender<ZoneRound>) {
        let Some(round) = self.core.zone_round(now, peers) else { return };
        if let Some(zone_failover) = &self.core.zone_failover {
            zone_failover.log_transitions(&round.transitions);
        }
        let _ = reply_to.try_send(round);
    }

    fn endpoints_updated(&mut self, now: f64, list: &EndpointList, replaced: &[String]) {
        self.core.engines_replaced(now, replaced);
        self.core.update_endpoints(now, list);
        self.endpoints_known();
        let sources = &self.discovery_addresses;
        let is_wanted = |address: &str| {
            sources.iter().any(|source| source == address)
                || list.engines.iter().any(|engine| engine.address == address)
        };
        self.engines.pool.retain_addresses(is_wanted);
    }
}
