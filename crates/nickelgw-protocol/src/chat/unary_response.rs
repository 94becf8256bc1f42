//! Assembly of a unary response from streamed chunks, for a client that does not stream.

use super::chunk::{Choice, Chunk, ToolCallDelta};
use crate::usage::Usage;
use bytes::Bytes;
use serde_json::{json, Value};

/// Maximum number of tool calls of one response. Further ones that an engine sends are dropped.
const MAX_TOOL_CALLS: usize = 128;

/// Tool call, assembled from the pieces that have arrived.
#[derive(Clone, Default)]
struct ToolCall {
    id: String,
    name: String,
    arguments: String,
}

impl ToolCall {
    fn append(&mut self, delta: ToolCallDelta) {
        self.id.push_str(delta.id.as_deref().unwrap_or(""));
        self.name.push_str(delta.function.name.as_deref().unwrap_or(""));
        self.arguments.push_str(delta.function.arguments.as_deref().unwrap_or(""));
    }

    fn to_json(&self) -> Value {
        json!({
            "id": self.id,
            "type": "function",
            "function": {"name": self.name, "arguments": self.arguments},
        })
    }
}

/// Unary response, assembled from the chunks that have arrived.
#[derive(Default)]
pub struct UnaryResponse {
    id: String,
    created: u64,
    text: String,
    refusal: Option<String>,
    tool_calls: Vec<ToolCall>,
    logprobs: Vec<Value>,
    finish_reason: Option<String>,
    system_fingerprint: Option<String>,
    usage: Usage,
}

impl UnaryResponse {
    /// Appends a chunk.
    pub fn push_chunk(&mut self, chunk: Chunk) {
        if self.id.is_empty() {
            (self.id, self.created) = (chunk.id, chunk.created);
        }
        for choice in chunk.choices {
            self.push_choice(choice);
        }
        self.system_fingerprint = chunk.system_fingerprint.or(self.system_fingerprint.take());
        self.usage = chunk.usage.unwrap_or(self.usage);
    }

    fn push_choice(&mut self, mut choice: Choice) {
        self.text.push_str(choice.delta.content.as_deref().unwrap_or(""));
        if let Some(refusal) = choice.delta.refusal {
            self.refusal.get_or_insert_default().push_str(&refusal);
        }
        for delta in choice.delta.tool_calls {
            self.push_tool_call(delta);
        }
        let logprobs = choice.logprobs.as_mut().and_then(|logprobs| logprobs["content"].as_array_mut());
        if let Some(logprobs) = logprobs {
            self.logprobs.append(logprobs);
        }
        self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
    }

    fn push_tool_call(&mut self, delta: ToolCallDelta) {
        if delta.index >= MAX_TOOL_CALLS {
            return;
        }
        if self.tool_calls.len() <= delta.index {
            self.tool_calls.resize_with(delta.index + 1, Default::default);
        }
        self.tool_calls[delta.index].append(delta);
    }

    /// Returns the response body.
    pub fn body(self, model: &str) -> Bytes {
        let mut choice = json!({"index": 0, "message": self.message(), "finish_reason": self.finish_reason});
        if !self.logprobs.is_empty() {
            choice["logprobs"] = json!({"content": self.logprobs});
        }
        let mut response = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": model,
            "choices": [choice],
            "usage": self.usage,
        });
        if let Some(fingerprint) = self.system_fingerprint {
            response["system_fingerprint"] = fingerprint.into();
        }
        Bytes::from(response.to_string())
    }

    fn message(&self) -> Value {
        let mut message = json!({"role": "assistant", "content": self.text, "refusal": self.refusal});
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = self.tool_calls.iter().map(ToolCall::to_json).collect();
            if self.text.is_empty() {
                message["content"] = Value::Null;
            }
        }
        message
    }
}
