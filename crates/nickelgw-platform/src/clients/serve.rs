//! Serves one request: admits it, and writes the response of the node or of an engine.

use super::receive::ReceivedRequest;
use super::response::{connection_header, write_all, NextStep, NodeResponse};
use super::socket::{ClientSocket, Disconnection};
use super::ClientServer;
use crate::core::engine::ForwardedRequest;
use crate::core::event_stream::StreamPiece;
use crate::core::request::{CHAT_PATH, READINESS_PATH};
use crate::node::{PieceReceiver, Reply, RequestGuard};
use async_channel::Receiver;
use bytes::Bytes;
use nickelgw_node_core::AdmittedRequest;
use std::rc::Rc;

/// Size up to which queued events are written together; the last event may exceed it.
const MAX_WRITE_BYTES: usize = 4 * 1024;

/// Reason why a request is not admitted.
enum NotAdmitted {
    /// The client has disconnected.
    Disconnected,
    /// The request is refused with this response.
    Refused(NodeResponse),
}

impl ClientServer {
    /// Serves a request to the end of its response.
    pub(super) async fn serve_request(
        self: &Rc<Self>,
        socket: &Rc<ClientSocket>,
        request: ReceivedRequest,
        close: bool,
    ) -> NextStep {
        let head = &request.head;
        let response = match (head.method.as_str(), head.path()) {
            ("GET", READINESS_PATH) => self.readiness(),
            ("POST", CHAT_PATH) => match self.admit(socket, request, close) {
                Ok((guard, reply)) => return self.respond(socket, guard, reply, close).await,
                Err(NotAdmitted::Disconnected) => return NextStep::Disconnected,
                Err(NotAdmitted::Refused(response)) => response,
            },
            (_, CHAT_PATH | READINESS_PATH) => NodeResponse::new(405, "no such call", true),
            _ => NodeResponse::new(404, "no such call", true),
        };
        response.write(socket).await
    }

    /// Returns the response to a readiness probe. It closes the connection: hundreds of connections that
    /// stayed open after a probe filled the table within 2 s.
    fn readiness(&self) -> NodeResponse {
        if self.draining.get() {
            NodeResponse::new(503, "leaving", true)
        } else {
            NodeResponse::new(200, "ready", true)
        }
    }

    fn admit(
        &self,
        socket: &Rc<ClientSocket>,
        received: ReceivedRequest,
        close: bool,
    ) -> Result<(RequestGuard, Receiver<Reply>), NotAdmitted> {
        let ReceivedRequest { head, body, arrived_at, .. } = received;
        let mut request = head.to_admitted(&self.known_names, &body).map_err(|error| {
            let reason = error.to_string();
            self.node.log_malformed("client", &reason);
            NotAdmitted::Refused(NodeResponse::new(400, reason, true))
        })?;
        request.arrived_at = Some(self.node.seconds_at(arrived_at));
        let id = request.name.as_deref().unwrap_or_default();
        if self.node.is_open(id) || self.node.may_have_run(id) {
            tracing::debug!(
                at = self.node.now(),
                request = id,
                is_open = self.node.is_open(id),
                "id refused"
            );
            let response = NodeResponse::new(409, "a request with this id is open or has been sent", true);
            return Err(NotAdmitted::Refused(response));
        }
        if socket.disconnection() == Some(Disconnection::Closed) {
            // The request was pipelined by a client that has disconnected meanwhile.
            return Err(NotAdmitted::Disconnected);
        }
        if head.is_resumption() {
            tracing::debug!(at = self.node.now(), request = id, "stream resumption requested");
        }
        self.accept_request(socket, &request, ForwardedRequest::new(&head, id, body), close)
    }

    fn accept_request(
        &self,
        socket: &Rc<ClientSocket>,
        request: &AdmittedRequest,
        forwarded: ForwardedRequest,
        close: bool,
    ) -> Result<(RequestGuard, Receiver<Reply>), NotAdmitted> {
        let id = forwarded.id.clone();
        self.node.accept(request, forwarded, socket).map_err(|reason| {
            tracing::debug!(at = self.node.now(), request = %id, ?reason, "request not admitted");
            NotAdmitted::Refused(NodeResponse::new(503, "no room", close))
        })
    }

    /// Waits for the response and writes it, and watches meanwhile whether the client stays connected.
    async fn respond(
        &self,
        socket: &ClientSocket,
        mut guard: RequestGuard,
        reply: Receiver<Reply>,
        close: bool,
    ) -> NextStep {
        let first = match socket.while_connected(reply.recv()).await {
            Ok(first) => first,
            Err(Disconnection::Closed) => return NextStep::Disconnected,
            Err(Disconnection::PipelineOverflow) => {
                // Cancels the request's attempts before the response is written.
                drop(guard);
                return NodeResponse::new(413, "more than one request before its answer", true)
                    .write(socket)
                    .await;
            }
        };
        let response = match first {
            Ok(Reply::Stream(pieces)) => {
                let forwarded = forward_stream(socket, pieces, close).await;
                guard.ended = forwarded.is_ok();
                return forwarded.unwrap_or_else(|next_step| next_step);
            }
            Ok(Reply::Rejected(retry_after_s)) => {
                let response = NodeResponse::new(503, "no engine has room in time", close);
                NodeResponse { retry_after_s, ..response }
            }
            Ok(Reply::Failed) | Err(_) => NodeResponse::new(504, "no answer began in time", close),
        };
        guard.ended = true;
        // Frees the request's id before the response is written, so that the client can use the id again.
        drop(guard);
        response.write(socket).await
    }
}

/// Forwards a stream. Returns an error if the stream broke: the connection then ends without the last chunk.
async fn forward_stream(
    socket: &ClientSocket,
    pieces: PieceReceiver,
    close: bool,
) -> Result<NextStep, NextStep> {
    let connection = connection_header(close);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n{connection}transfer-encoding: chunked\r\n\r\n"
    );
    let mut parts = WriteParts::new(head.into_bytes());
    loop {
        let first = match socket.while_connected(pieces.recv()).await {
            Ok(Ok(first)) => first,
            Ok(Err(_)) | Err(Disconnection::PipelineOverflow) => return Err(NextStep::Close),
            Err(Disconnection::Closed) => return Err(NextStep::Disconnected),
        };
        let is_end = parts.add_pieces(first, &pieces);
        for part in parts.take() {
            if !write_all(socket, &part).await {
                return Err(NextStep::Disconnected);
            }
        }
        pieces.set_written();
        if is_end {
            return Ok(NextStep::after_response(true, close));
        }
    }
}

/// Parts of a stream that are written one after the other: short pieces together, a long one without a copy.
struct WriteParts {
    parts: Vec<Bytes>,
    /// The last part, to which short pieces are appended.
    last: Vec<u8>,
    length: usize,
}

impl WriteParts {
    fn new(head: Vec<u8>) -> WriteParts {
        WriteParts { parts: Vec::new(), last: head, length: 0 }
    }

    /// Adds `first` and the queued pieces as chunks, up to `MAX_WRITE_BYTES`. Returns `true` if the last one ends the
    /// stream.
    fn add_pieces(&mut self, first: StreamPiece, pieces: &PieceReceiver) -> bool {
        let mut next = Some(first);
        while let Some(piece) = next {
            match piece {
                StreamPiece::Events(events) => self.add_chunk(events),
                StreamPiece::End => {
                    self.last.extend_from_slice(b"0\r\n\r\n");
                    return true;
                }
            }
            next = if self.length >= MAX_WRITE_BYTES { None } else { pieces.try_recv().ok() };
        }
        false
    }

    fn add_chunk(&mut self, events: Bytes) {
        self.length += events.len();
        self.last.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        if events.len() >= MAX_WRITE_BYTES {
            self.parts.push(std::mem::take(&mut self.last).into());
            self.parts.push(events);
        } else {
            self.last.extend_from_slice(&events);
        }
        self.last.extend_from_slice(b"\r\n");
    }

    /// Takes the parts out.
    fn take(&mut self) -> Vec<Bytes> {
        self.length = 0;
        self.parts.push(std::mem::take(&mut self.last).into());
        std::mem::take(&mut self.parts)
    }
}
