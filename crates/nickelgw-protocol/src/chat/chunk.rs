//! Chunks of a streamed response, decoded as far as the node needs them.

use crate::usage::Usage;
use crate::Malformed;
use serde::Deserialize;
use serde_json::Value;

/// Part of the message that a chunk adds.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// Text that is appended to the content.
    #[serde(default)]
    pub content: Option<String>,
    /// Text that is appended to the refusal.
    #[serde(default)]
    pub refusal: Option<String>,
    /// Pieces of tool calls.
    #[serde(default)]
    pub tool_calls: Vec<ToolCallDelta>,
}

/// Piece of a tool call. All pieces of one call have the same index.
#[derive(Debug, Default, Deserialize)]
pub struct ToolCallDelta {
    /// Index of the call within the message.
    #[serde(default)]
    pub index: usize,
    /// Piece of the call's id.
    #[serde(default)]
    pub id: Option<String>,
    /// Pieces of the function's name and arguments.
    #[serde(default)]
    pub function: FunctionDelta,
}

/// Pieces of a function's name and arguments.
#[derive(Debug, Default, Deserialize)]
pub struct FunctionDelta {
    /// Piece of the name.
    #[serde(default)]
    pub name: Option<String>,
    /// Piece of the arguments.
    #[serde(default)]
    pub arguments: Option<String>,
}

/// Choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Log probabilities of the tokens.
    #[serde(default)]
    pub logprobs: Option<Value>,
    /// Part of the message that the chunk adds.
    #[serde(default)]
    pub delta: Delta,
    /// Reason why generation ended. Present in the last chunk with a choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Chunk of a streamed response.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    /// Id of the completion.
    #[serde(default)]
    pub id: String,
    /// Time of the completion in seconds since 1970.
    #[serde(default)]
    pub created: u64,
    /// Choices. Empty in the chunk with the token counts.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts of the request. `None` if the chunk has none.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Fingerprint of the configuration of the engine that generated the chunk.
    #[serde(default)]
    pub system_fingerprint: Option<String>,
    /// Error that the engine sent instead of a choice.
    #[serde(default)]
    pub error: Option<Value>,
}

impl Chunk {
    /// Decodes a chunk from the data of a server-sent event.
    pub fn parse(data: &[u8]) -> Result<Chunk, Malformed> {
        Ok(serde_json::from_slice(data)?)
    }

    /// Returns whether the chunk has token counts and no choices.
    pub fn is_usage_only(&self) -> bool {
        self.choices.is_empty() && self.usage.is_some()
    }
}
