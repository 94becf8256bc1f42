//! Ends responses: last events of streams, complete responses and errors.

use super::EventLoop;
use crate::clock::within;
use crate::replies::{ClientRequest, Reply, ResponseSink};
use async_channel::Sender;
use bytes::Bytes;
use nickelgw_node_core::{AttemptOutcome, FailureReason, FinalAnswer, RequestId};
use nickelgw_protocol::chat::ApiError;
use nickelgw_protocol::sse;

fn failure_error(reason: FailureReason) -> ApiError {
    let (status, code, message) = match reason {
        FailureReason::DeadlineExceeded => (504, "timeout", "no answer began in time"),
        FailureReason::AttemptsFailed => (502, "engines_failed", "the engines asked did not answer"),
        FailureReason::ShuttingDown => {
            (503, "node_stopping", "the node stops; what came of the answer is not whole")
        }
        FailureReason::StreamBroken => {
            (502, "stream_broken", "the answer broke off; what came of it is not whole")
        }
    };
    ApiError::new(status, "server_error", code, message)
}

fn error_event(reason: FailureReason) -> Bytes {
    sse::encode_event(&failure_error(reason).body())
}

impl EventLoop {
    /// Sends the last event of a stream in a separate task, because it may have to wait for the client.
    fn send_last_event(&self, events: Sender<Bytes>, event: Bytes) {
        let stall_timeout_s = self.limits.client_stall_timeout_s;
        let send = async move { drop(within(stall_timeout_s, events.send(event)).await) };
        self.executor.spawn(send).detach();
    }

    /// Ends a response that has begun, because its attempt has ended.
    pub(super) fn finish_response(
        &self,
        sink: ResponseSink,
        client: &ClientRequest,
        outcome: AttemptOutcome,
    ) {
        let is_complete = outcome == AttemptOutcome::Completed;
        match sink {
            ResponseSink::Stream { events, .. } if is_complete => {
                self.send_last_event(events, sse::done_event())
            }
            ResponseSink::Stream { events, .. } => {
                self.send_last_event(events, error_event(FailureReason::StreamBroken))
            }
            ResponseSink::Unary(response) => {
                let reply = match is_complete {
                    true => Reply::Unary(response.body(&client.chat.model)),
                    false => Reply::Error(failure_error(FailureReason::StreamBroken)),
                };
                let _ = client.reply.try_send(reply);
            }
        }
        let answer = match outcome {
            AttemptOutcome::Completed => "completed",
            AttemptOutcome::Cancelled => "left",
            _ => "errored",
        };
        self.log_finished(client, answer);
    }

    /// Sends the core's final answer, unless the response has already ended with its attempt.
    pub(super) fn send_final_answer(&mut self, request_id: RequestId, answer: FinalAnswer) {
        let Some(client) = self.clients.remove(&request_id) else { return };
        if let (Some(events), FinalAnswer::Failed(reason)) = (client.stream.clone(), answer) {
            // The core cancels the attempt as well, so that no further event follows.
            self.send_last_event(events, error_event(reason));
            return self.log_finished(&client, "errored");
        }
        let (error, answer) = match answer {
            FinalAnswer::Rejected { retry_after_s } => {
                let mut error = ApiError::new(503, "server_error", "shed", "no engine has room in time");
                error.retry_after_s = retry_after_s;
                (error, "shed")
            }
            FinalAnswer::Failed(reason) => (failure_error(reason), "errored"),
            // Does not occur for a response that has not begun.
            FinalAnswer::Completed => (failure_error(FailureReason::AttemptsFailed), "errored"),
        };
        let _ = client.reply.try_send(Reply::Error(error));
        self.log_finished(&client, answer);
    }

    pub(super) fn log_finished(&self, client: &ClientRequest, answer: &str) {
        let ms = client.received_at.elapsed().as_secs_f64() * 1e3;
        tracing::info!(request = %client.id, model = %client.chat.model, answer, ms, "request finished");
    }
}
