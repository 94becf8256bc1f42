//! Calls over pooled connections, and what their failures prove about the request.

use super::peer::Peer;
use super::pool::{Connection, Pool};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use nickelgw_node_core::AttemptOutcome;
use nickelgw_tls::{classify_error as classify_failure, TlsFailure};
use std::rc::Rc;

/// Largest body that is read whole: errors, prefill responses, endpoint lists.
pub const MAX_BODY_BYTES: usize = 4 << 20;

impl Pool {
    /// Makes the call; the response's head, and the connection to return once the body is read.
    pub async fn call(
        self: &Rc<Self>,
        peer: Peer<'_>,
        request: &Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), AttemptOutcome> {
        loop {
            let mut connection = self.checkout(peer).await?;
            let Some(http) = &mut connection.http else { return Err(AttemptOutcome::ConnectFailed) };
            if http.sender.ready().await.is_err() {
                if !connection.is_new {
                    continue;
                }
                return Err(AttemptOutcome::ConnectFailed);
            }
            if let Some(sent) = peer.sent {
                sent.set(true);
            }
            let error = match http.sender.send_request(request.clone()).await {
                Ok(response) => return Ok((response, connection)),
                Err(error) => error,
            };
            match failure(&error, &connection, peer) {
                Some(outcome) => return Err(outcome),
                None => continue,
            }
        }
    }

    /// Makes the call and reads the response whole: its status, headers and body.
    pub async fn fetch(
        self: &Rc<Self>,
        peer: Peer<'_>,
        request: &Request<Full<Bytes>>,
    ) -> Result<(u16, HeaderMap, Bytes), AttemptOutcome> {
        let (response, connection) = self.call(peer, request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body).await?;
        self.return_connection(connection);
        Ok((head.status.as_u16(), head.headers, body))
    }
}

/// What a failed send proves; `None`: another connection may carry the request.
fn failure(error: &hyper::Error, connection: &Connection, peer: Peer<'_>) -> Option<AttemptOutcome> {
    let is_new = connection.is_new;
    // TLS 1.3: the peer verifies our certificate after we may have written. Its certificate alert says that its
    // handshake never ended, so it has read nothing of what came after: proven not to have run.
    let is_new_tls = is_new && peer.tls_name.is_some();
    if is_new_tls && matches!(classify_failure(error), TlsFailure::OwnCertificate(_)) {
        connection.certificate_rejected();
        return Some(AttemptOutcome::ConnectFailed);
    }
    match error {
        // Closed before a byte was sent: proven not to have run.
        error if error.is_canceled() && !is_new => None,
        error if error.is_canceled() => Some(AttemptOutcome::ConnectFailed),
        error if error.is_parse() => Some(AttemptOutcome::Malformed),
        _ => Some(AttemptOutcome::ConnectionLost),
    }
}

/// Reads a body whole, within [`MAX_BODY_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, AttemptOutcome> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(AttemptOutcome::Malformed),
        Err(_) => Err(AttemptOutcome::ConnectionLost),
    }
}
