//! Chunks of a streamed response, decoded as far as the node needs them.

use crate::usage::Usage;
use crate::Malformed;
use serde::Deserialize;
use serde_json::Value;

/// What a chunk adds to the message.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default)]
    pub content: Option<String>,
    /// Text of a refusal.
    #[serde(default)]
    pub refusal: Option<String>,
    /// Pieces of tool calls.
    #[serde(default)]
    pub tool_calls: Vec<ToolCallDelta>,
}

/// A piece of a tool call; the pieces of one call have the same index.
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

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Log probabilities of the tokens.
    #[serde(default)]
    pub logprobs: Option<Value>,
    /// What the chunk adds.
    #[serde(default)]
    pub delta: Delta,
    /// Why generation ended, in the last chunk with text.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One streamed chunk.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    /// Id of the completion.
    #[serde(default)]
    pub id: String,
    /// Time of the completion in seconds since 1970.
    #[serde(default)]
    pub created: u64,
    /// Choices; empty in the chunk with the token counts.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Configuration of the engine that generated it.
    #[serde(default)]
    pub system_fingerprint: Option<String>,
    /// An error in place of a choice.
    #[serde(default)]
    pub error: Option<Value>,
}

impl Chunk {
    /// Decodes the data of an event.
    pub fn parse(data: &[u8]) -> Result<Chunk, Malformed> {
        Ok(serde_json::from_slice(data)?)
    }

    /// Whether the chunk has the token counts and nothing else.
    pub fn is_usage_only(&self) -> bool {
        self.choices.is_empty() && self.usage.is_some()
    }
}
