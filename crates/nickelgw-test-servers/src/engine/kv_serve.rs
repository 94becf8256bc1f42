//! Transfer of KV states to the decode engines that fetch them.

use super::Engine;
use crate::http::{channel_body, error_response, header_text, ConnectionClosed, HttpResponse};
use crate::recorder::unix_now;
use async_channel::Sender;
use bytes::Bytes;
use hyper::body::Frame;
use hyper::{HeaderMap, Response};
use nickelgw_chat::core::grant::GrantClaims;
use nickelgw_protocol::engine::STATE_NOT_FOUND;
use nickelgw_protocol::{ENGINE_ID_HEADER, GRANT_HEADER};
use serde_json::json;
use std::rc::Rc;

/// Size of the frames in which a KV state is sent.
const FRAME_BYTES: usize = 64 * 1024;
/// Number of frames buffered for a decode engine that reads more slowly than this engine writes.
const BUFFER_FRAMES: usize = 4;

impl Engine {
    /// Sends a KV state. Its memory becomes free when all of its bytes have been written.
    pub(super) fn serve_state(
        self: Rc<Self>,
        name: &str,
        headers: &HeaderMap,
    ) -> Result<HttpResponse, ConnectionClosed> {
        if !self.is_granted(name, headers) {
            return Ok(error_response(403, "not_granted"));
        }
        let tokens = self.model.borrow().reservations.get(name).map(|reservation| reservation.tokens);
        let Some(tokens) = tokens else { return Ok(error_response(404, STATE_NOT_FOUND)) };
        let bytes = (tokens * self.model.borrow().config.kv_bytes_per_token) as usize;
        let (frames, body) = async_channel::bounded(BUFFER_FRAMES);
        let (engine, name) = (self.clone(), name.to_string());
        self.executor.spawn(async move { engine.send_state(&name, bytes, frames).await }).detach();
        let builder = Response::builder().header("content-length", bytes);
        builder.body(channel_body(body)).map_err(|_| ConnectionClosed)
    }

    fn is_granted(&self, name: &str, headers: &HeaderMap) -> bool {
        let Some(checker) = &self.grants else { return true };
        let model = self.model.borrow();
        let claims = GrantClaims {
            reservation: name,
            prefill_engine: &model.config.id,
            decode_engine: header_text(headers, ENGINE_ID_HEADER),
            expires_at: 0.0,
        };
        let grant = header_text(headers, GRANT_HEADER);
        let result = checker.borrow_mut().check(unix_now(), grant, &claims);
        if let Err(error) = &result {
            self.recorder.record("not_granted", json!({"state": name, "why": format!("{error:?}")}));
        }
        result.is_ok()
    }

    async fn send_state(&self, name: &str, bytes: usize, frames: Sender<Frame<Bytes>>) {
        let frame = Bytes::from(vec![b'k'; FRAME_BYTES]);
        let mut remaining = bytes;
        let exit_below = if self.faults.borrow().exit_in_fetch { bytes / 2 } else { 0 };
        while remaining > 0 {
            if remaining < exit_below {
                self.recorder.record("died", json!({}));
                let _ = self.exit.try_send(());
                return;
            }
            let length = remaining.min(frame.len());
            if frames.send(Frame::data(frame.slice(..length))).await.is_err() {
                return;
            }
            remaining -= length;
        }
        if self.model.borrow_mut().release(name) {
            self.recorder.record("fetched", json!({"state": name, "bytes": bytes}));
        }
    }
}
