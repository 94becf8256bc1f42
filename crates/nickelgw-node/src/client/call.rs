//! Makes calls over pooled connections, and determines what a failure proves about the request.

use super::peer::Peer;
use super::pool::{Connection, Pool};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use nickelgw_node_core::AttemptOutcome;
use nickelgw_tls::{classify_error, TlsFailure};
use std::rc::Rc;

/// Largest size in bytes of a body that is read as a whole: an error, a prefill response or an endpoint list.
pub const MAX_BODY_BYTES: usize = 4 << 20;

impl Pool {
    /// Makes the call. Returns the response with its unread body, and the connection, which is to be returned
    /// to the pool once the body is read.
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
            match classify_send_error(&error, &connection, peer) {
                Some(outcome) => return Err(outcome),
                None => continue,
            }
        }
    }

    /// Makes the call and reads the whole response. Returns its status, headers and body.
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

/// Returns the outcome that a failed send proves, or `None` if the request may be sent again on another
/// connection.
fn classify_send_error(
    error: &hyper::Error,
    connection: &Connection,
    peer: Peer<'_>,
) -> Option<AttemptOutcome> {
    let is_new = connection.is_new;
    // In TLS 1.3 the peer verifies this node's certificate when the node may already have sent the request. A
    // certificate alert means that the peer's handshake has not completed, so that it has read nothing of
    // what followed: the request is proven not to have run.
    let is_new_tls = is_new && peer.tls_name.is_some();
    if is_new_tls && matches!(classify_error(error), TlsFailure::OwnCertificate(_)) {
        connection.certificate_rejected();
        return Some(AttemptOutcome::ConnectFailed);
    }
    match error {
        // The connection was closed before a byte was sent: the request is proven not to have run.
        error if error.is_canceled() && !is_new => None,
        error if error.is_canceled() => Some(AttemptOutcome::ConnectFailed),
        error if error.is_parse() => Some(AttemptOutcome::Malformed),
        _ => Some(AttemptOutcome::ConnectionLost),
    }
}

/// Reads a whole body of up to [`MAX_BODY_BYTES`] bytes.
pub async fn read_body(body: Incoming) -> Result<Bytes, AttemptOutcome> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(AttemptOutcome::Malformed),
        Err(_) => Err(AttemptOutcome::ConnectionLost),
    }
}
