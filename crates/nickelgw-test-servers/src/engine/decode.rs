//! Decode of a request: fetches the KV state, or prefills the prompt locally if there is none, and streams
//! the answer.

use super::completion::Attempt;
use super::faults::StreamEnding;
use super::generation::Generation;
use super::slots::Slot;
use super::Engine;
use crate::http::{channel_body, error_response, ConnectionClosed, HttpResponse};
use crate::recorder::unix_now;
use crate::timing::sleep_s;
use async_channel::Sender;
use bytes::Bytes;
use hyper::body::Frame;
use hyper::{HeaderMap, Response};
use nickelgw_protocol::engine::STATE_NOT_FOUND;
use nickelgw_protocol::{sse, LOAD_METRICS_HEADER};
use serde_json::{json, Value};
use std::rc::Rc;

/// Number of frames buffered for a client that reads more slowly than this engine writes.
const STREAM_BUFFER_FRAMES: usize = 4;
/// Factor by which a prefill takes longer at a decode engine than at a prefill engine.
const LOCAL_PREFILL_FACTOR: f64 = 4.0;

/// Error returned when the client of a stream has disconnected.
struct ClientDisconnected;

/// Stream of tokens to a node.
struct TokenStream {
    attempt: Attempt,
    created: u64,
    frames: Sender<Frame<Bytes>>,
    /// Size of the pieces in which events are sent. 0 for whole events.
    piece_bytes: usize,
}

impl TokenStream {
    async fn send(&self, event: Bytes) -> Result<(), ClientDisconnected> {
        let piece_bytes = if self.piece_bytes == 0 { event.len() } else { self.piece_bytes };
        for begin in (0..event.len()).step_by(piece_bytes.max(1)) {
            let end = event.len().min(begin + piece_bytes);
            let frame = Frame::data(event.slice(begin..end));
            self.frames.send(frame).await.map_err(|_| ClientDisconnected)?;
        }
        Ok(())
    }

    async fn send_chunk(&self, choices: Value, usage: Value) -> Result<(), ClientDisconnected> {
        let chunk = json!({
            "id": self.attempt.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.attempt.chat.model,
            "choices": choices,
            "usage": usage,
        });
        self.send(sse::encode_event(chunk.to_string().as_bytes())).await
    }

    async fn send_token(&self, generation: &Generation, index: usize) -> Result<(), ClientDisconnected> {
        let is_last = index + 1 == generation.tokens.len();
        let finish_reason = is_last.then_some(generation.finish_reason);
        let mut delta = json!({"content": generation.tokens[index]});
        if index == 0 {
            delta["role"] = json!("assistant");
        }
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": finish_reason}]);
        self.send_chunk(choices, Value::Null).await
    }

    /// Sends the token counts, if the request asks for them, and the final event or its faulty replacement.
    async fn send_end(&self, output_tokens: u64, ending: StreamEnding) {
        let prompt_tokens = self.attempt.chat.prompt_tokens as u64;
        if self.attempt.chat.include_usage {
            let usage = json!({
                "prompt_tokens": prompt_tokens,
                "completion_tokens": output_tokens,
                "total_tokens": prompt_tokens + output_tokens,
            });
            let _ = self.send_chunk(json!([]), usage).await;
        }
        if ending != StreamEnding::NoDone {
            let _ = self.send(sse::done_event()).await;
        }
        if ending == StreamEnding::DoneTwice {
            let _ = self.send(sse::done_event()).await;
        }
        if ending == StreamEnding::TextAfterDone {
            let more = json!([{"index": 0, "delta": {"content": "and more"}, "finish_reason": null}]);
            let _ = self.send_chunk(more, Value::Null).await;
        }
    }
}

impl Engine {
    pub(super) async fn decode(self: Rc<Self>, attempt: Attempt) -> Result<HttpResponse, ConnectionClosed> {
        let drawn = self.draw();
        let generation = self.generate(&attempt, drawn);
        let output_tokens = generation.tokens.len();
        let prompt_tokens = attempt.chat.prompt_tokens;
        let slot = self.acquire_slot(prompt_tokens, prompt_tokens + output_tokens as f64).await;
        if self.prepare_kv_state(&attempt).await.is_none() {
            self.record_event(&attempt, "turned", json!({"code": STATE_NOT_FOUND}));
            return Ok(error_response(409, STATE_NOT_FOUND));
        }
        // From here on, the request counts as run.
        self.record_event(&attempt, "ran", json!({}));
        if self.loses_response(&attempt) {
            let step_s = self.model.borrow().decode_step_time_s(unix_now());
            sleep_s(drawn * step_s * output_tokens as f64).await;
            return Err(ConnectionClosed);
        }
        let first_step_s = self.model.borrow().decode_step_time_s(unix_now());
        sleep_s(first_step_s).await;
        self.wait_until_reachable(&attempt.zone).await;
        let (frames, body) = async_channel::bounded(STREAM_BUFFER_FRAMES);
        let engine = self.clone();
        self.streams.set(self.streams.get() + 1);
        self.executor.spawn(async move { engine.stream(attempt, generation, slot, frames).await }).detach();
        let builder = Response::builder()
            .header("content-type", "text/event-stream")
            .header("trailer", LOAD_METRICS_HEADER);
        builder.body(channel_body(body)).map_err(|_| ConnectionClosed)
    }

    /// Generates the answer. `drawn` is a random number from 0 to 1 that decides its length.
    fn generate(&self, attempt: &Attempt, drawn: f64) -> Generation {
        let mean_tokens = self.model.borrow().config.mean_output_tokens as f64;
        let output_tokens = (mean_tokens * (0.5 + drawn)).round().max(1.0) as u64;
        let faults = &self.faults.borrow().stream;
        let mut tokens: Vec<String> = if faults.text.is_empty() {
            (0..output_tokens).map(|n| format!("w{n} ")).collect()
        } else {
            faults.text.chars().map(String::from).collect()
        };
        let padding = "x".repeat(faults.padding_bytes);
        tokens.iter_mut().for_each(|token| token.push_str(&padding));
        Generation::new(tokens, &attempt.chat.stop, attempt.chat.max_tokens)
    }

    /// Fetches the KV state, or prefills the prompt locally if the request names no state. `None` if the
    /// state cannot be fetched.
    async fn prepare_kv_state(&self, attempt: &Attempt) -> Option<()> {
        match &attempt.kv_transfer {
            Some(kv_transfer) => self.fetch_state(kv_transfer).await.map(drop),
            None => {
                let tokens = attempt.chat.prompt_tokens;
                let time_s = self.model.borrow().prefill_time_s(unix_now(), tokens);
                sleep_s(LOCAL_PREFILL_FACTOR * time_s).await;
                Some(())
            }
        }
    }

    async fn stream(
        &self,
        attempt: Attempt,
        generation: Generation,
        slot: Slot,
        frames: Sender<Frame<Bytes>>,
    ) {
        let created = unix_now() as u64;
        let (ending, piece_bytes) = {
            let faults = &self.faults.borrow().stream;
            (faults.ending, faults.piece_bytes)
        };
        let stream = TokenStream { attempt, created, frames, piece_bytes };
        let output_tokens = generation.tokens.len();
        for index in 0..output_tokens {
            if stream.send_token(&generation, index).await.is_err() {
                self.record_event(&stream.attempt, "dropped", json!({"tokens": index}));
                return;
            }
            let step_s = self.model.borrow().decode_step_time_s(unix_now());
            if index + 1 < output_tokens {
                sleep_s(step_s).await;
            }
            self.wait_until_reachable(&stream.attempt.zone).await;
        }
        stream.send_end(output_tokens as u64, ending).await;
        drop(slot);
        self.record_event(&stream.attempt, "done", json!({"tokens": output_tokens}));
        let mut trailers = HeaderMap::new();
        if let Ok(report) = self.load_report().to_header().parse() {
            trailers.insert(LOAD_METRICS_HEADER, report);
        }
        let _ = stream.frames.send(Frame::trailers(trailers)).await;
    }
}
