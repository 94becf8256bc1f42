//! Prefill of a prompt, after which its KV state is held for a decode engine.

use super::completion::Attempt;
use super::Engine;
use crate::http::{json_response, ConnectionClosed, HttpResponse};
use crate::recorder::unix_now;
use crate::timing::sleep_s;
use nickelgw_protocol::engine::KvTransfer;
use serde_json::json;
use std::rc::Rc;

impl Engine {
    pub(super) async fn prefill(self: Rc<Self>, attempt: &Attempt) -> Result<HttpResponse, ConnectionClosed> {
        let chat = &attempt.chat;
        let tokens = chat.prompt_tokens;
        let slot = self.acquire_slot(tokens, tokens).await;
        let prefix = chat.prefix.as_deref().map(|name| (name, chat.prefix_tokens));
        let cached_tokens = self.model.borrow_mut().cache_prompt(&chat.session, prefix, tokens);
        let time_s = self.model.borrow().prefill_time_s(unix_now(), tokens - cached_tokens);
        sleep_s(time_s).await;
        self.wait_until_reachable(&attempt.zone).await;
        drop(slot);
        self.model.borrow_mut().reserve(unix_now(), &attempt.id, &attempt.node, tokens);
        self.record_event(attempt, "read", json!({"tokens": tokens, "kept": cached_tokens}));
        if self.loses_response(attempt) {
            return Err(ConnectionClosed);
        }
        Ok(self.prefill_response(attempt, cached_tokens))
    }

    fn prefill_response(&self, attempt: &Attempt, cached_tokens: f64) -> HttpResponse {
        let kv_transfer = KvTransfer {
            do_remote_prefill: true,
            remote_request_id: Some(attempt.id.clone()),
            remote_engine_id: Some(self.model.borrow().config.id.clone()),
            remote_host: Some(self.address.clone()),
            remote_tls_name: self.tls.as_ref().map(|tls| tls.name()),
            ..KvTransfer::default()
        };
        let prompt_tokens = attempt.chat.prompt_tokens as u64;
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": 1,
            "total_tokens": prompt_tokens + 1,
            "prompt_tokens_details": {"cached_tokens": cached_tokens as u64},
        });
        let body = json!({
            "id": attempt.id,
            "object": "chat.completion",
            "choices": [],
            "usage": usage,
            "kv_transfer_params": kv_transfer,
        });
        json_response(200, body)
    }
}
