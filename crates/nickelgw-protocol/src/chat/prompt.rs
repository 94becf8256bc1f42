//! Properties of a prompt that routing needs: its length, and names for its prefix that are equal at every
//! node.

use crate::Malformed;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Average number of bytes per token, by the published rule of thumb.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Number of tokens that the role and the markup of a message add.
const TOKENS_PER_MESSAGE: f64 = 4.0;
/// Length of a prefix name in hexadecimal digits.
const NAME_LEN: usize = 24;
/// Roles that a message may have.
const ROLES: [&str; 6] = ["developer", "system", "user", "assistant", "tool", "function"];
/// Seed of the prefix hash.
const HASH_SEED: &str = "messages";

/// Message of a request.
#[derive(Deserialize)]
pub(super) struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
}

/// Part of a message's content, if the content is a list.
#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

/// Estimates the number of tokens of a text. A tokenizer would replace only this function.
pub fn estimate_tokens(text: &str) -> f64 {
    (text.len() as f64 / BYTES_PER_TOKEN).ceil()
}

impl Message<'_> {
    fn text(&self) -> Result<String, Malformed> {
        let Some(raw) = self.content else { return Ok(String::new()) };
        if raw.get() == "null" {
            return Ok(String::new());
        }
        if let Ok(text) = serde_json::from_str::<String>(raw.get()) {
            return Ok(text);
        }
        let parts: Vec<ContentPart> = serde_json::from_str(raw.get())
            .map_err(|_| Malformed::field("messages", "content is neither text nor a list of parts"))?;
        Ok(parts.into_iter().map(|part| part.text).collect())
    }

    fn is_instruction(&self) -> bool {
        matches!(self.role.as_ref(), "system" | "developer")
    }
}

/// Chained hash over messages. Each step includes the previous steps, so that equal prefixes have equal names
/// at every node and a longer prefix never has the name of a shorter one.
#[derive(Clone, Copy)]
struct PrefixHash(blake3::Hash);

impl PrefixHash {
    fn new(seed: &str) -> PrefixHash {
        PrefixHash(blake3::hash(seed.as_bytes()))
    }

    fn with_message(self, role: &str, text: &str) -> PrefixHash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.0.as_bytes());
        hasher.update(&(role.len() as u64).to_le_bytes());
        hasher.update(role.as_bytes());
        hasher.update(text.as_bytes());
        PrefixHash(hasher.finalize())
    }

    fn name(self) -> String {
        self.0.to_hex().as_str()[..NAME_LEN].to_string()
    }
}

/// Length and prefix of a prompt.
pub(super) struct Prompt {
    /// Estimated number of tokens of all messages.
    pub tokens: f64,
    /// Estimated number of tokens of the instructions at the beginning.
    pub prefix_tokens: f64,
    /// Hash of the instructions at the beginning.
    prefix: PrefixHash,
    /// Hash of the instructions and the first message after them. `None` if there are only instructions.
    conversation: Option<PrefixHash>,
}

impl Prompt {
    /// Validates the messages and summarizes them.
    pub fn new(messages: &[Message]) -> Result<Prompt, Malformed> {
        let mut prompt = Prompt {
            tokens: 0.0,
            prefix_tokens: 0.0,
            prefix: PrefixHash::new(HASH_SEED),
            conversation: None,
        };
        for message in messages {
            prompt.push(message)?;
        }
        Ok(prompt)
    }

    fn push(&mut self, message: &Message) -> Result<(), Malformed> {
        if !ROLES.contains(&message.role.as_ref()) {
            return Err(Malformed::field("messages", "a message has a role that is not known"));
        }
        let text = message.text()?;
        let tokens = estimate_tokens(&text) + TOKENS_PER_MESSAGE;
        self.tokens += tokens;
        if self.conversation.is_some() {
            return Ok(());
        }
        let hash = self.prefix.with_message(&message.role, &text);
        if message.is_instruction() {
            self.prefix_tokens += tokens;
            self.prefix = hash;
        } else {
            self.conversation = Some(hash);
        }
        Ok(())
    }

    /// Returns the name of the instructions at the beginning, which sessions may share. `None` if there are
    /// no instructions.
    pub fn prefix_name(&self) -> Option<String> {
        (self.prefix_tokens > 0.0).then(|| self.prefix.name())
    }

    /// Returns the name of the session. It is equal for requests of one user that begin with the same
    /// instructions and first message.
    pub fn session_name(&self, user: Option<&str>) -> String {
        let beginning = self.conversation.unwrap_or(self.prefix);
        beginning.with_message("", user.unwrap_or("")).name()
    }
}
