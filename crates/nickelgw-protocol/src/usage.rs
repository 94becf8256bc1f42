//! Token counts of a request, as the chat API reports them.

use serde::{Deserialize, Serialize};

/// Breakdown of the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Number of prompt tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Number of prompt tokens and generated tokens together.
    #[serde(default)]
    pub total_tokens: u64,
    /// Breakdown of the prompt's tokens. `None` if the engine reports none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}
