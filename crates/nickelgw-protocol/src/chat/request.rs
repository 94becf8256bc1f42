//! Decoding of chat requests.

use super::prompt::{Message, Prompt};
use crate::Malformed;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;

/// Maximum number of stop sequences of a request.
const MAX_STOP_SEQUENCES: usize = 4;

/// Fields of a request as JSON text, exactly as the client sent them.
type RawFields = BTreeMap<String, Box<RawValue>>;

/// Decoded chat request. The original fields are kept, to be forwarded to engines.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// All fields, as the client sent them.
    pub fields: RawFields,
    /// Name of the requested model.
    pub model: String,
    /// Whether the client requests a streamed response.
    pub stream: bool,
    /// Whether a streamed response ends with the token counts.
    pub include_usage: bool,
    /// Maximum number of generated tokens. `None` if the client sets no limit.
    pub max_tokens: Option<u64>,
    /// Sequences at which generation stops.
    pub stop: Vec<String>,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: f64,
    /// Estimated number of tokens of the instructions at the beginning, which other sessions may share.
    pub prefix_tokens: f64,
    /// Name of the instructions at the beginning. `None` if there are no instructions.
    pub prefix: Option<String>,
    /// Name of the session to which the request belongs.
    pub session: String,
}

/// Value of the `stop` field: one sequence or a list of sequences.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stop {
    One(String),
    Several(Vec<String>),
}

impl ChatRequest {
    /// Decodes and validates a request body.
    pub fn parse(bytes: &[u8]) -> Result<ChatRequest, Malformed> {
        let fields: RawFields = serde_json::from_slice(bytes)?;
        let model: String = optional_field(&fields, "model", "text")?
            .ok_or_else(|| Malformed::field("model", "you must provide a model"))?;
        let messages = messages(&fields)?;
        if optional_field::<u64>(&fields, "n", "a whole number")?.is_some_and(|n| n != 1) {
            return Err(Malformed::field("n", "only 1 is served"));
        }
        let prompt = Prompt::new(&messages)?;
        let user: Option<String> = optional_field(&fields, "user", "text")?;
        let stop = stop_sequences(&fields)?;
        let max_tokens = max_tokens(&fields)?;
        let options: Option<Value> = optional_field(&fields, "stream_options", "an object")?;
        let stream = optional_field(&fields, "stream", "true or false")?.unwrap_or(false);
        if options.is_some() && !stream {
            return Err(Malformed::field("stream_options", "is only allowed when stream is true"));
        }
        Ok(ChatRequest {
            stream,
            stop,
            include_usage: options.is_some_and(|options| options["include_usage"] == true),
            max_tokens,
            prompt_tokens: prompt.tokens,
            prefix_tokens: prompt.prefix_tokens,
            prefix: prompt.prefix_name(),
            session: prompt.session_name(user.as_deref()),
            model,
            fields,
        })
    }
}

/// Decodes a field. Returns `None` if the field is missing or null.
fn optional_field<T: for<'a> Deserialize<'a>>(
    fields: &RawFields,
    name: &'static str,
    expected: &str,
) -> Result<Option<T>, Malformed> {
    let Some(value) = fields.get(name).filter(|value| value.get() != "null") else { return Ok(None) };
    let decoded = serde_json::from_str(value.get());
    decoded.map(Some).map_err(|_| Malformed::field(name, format!("must be {expected}")))
}

fn messages(fields: &RawFields) -> Result<Vec<Message<'_>>, Malformed> {
    let raw = fields.get("messages").ok_or_else(|| Malformed::field("messages", "must be given"))?;
    let messages: Vec<Message> = serde_json::from_str(raw.get())
        .map_err(|_| Malformed::field("messages", "must be a list of messages with a role"))?;
    if messages.is_empty() {
        return Err(Malformed::field("messages", "must not be empty"));
    }
    Ok(messages)
}

fn stop_sequences(fields: &RawFields) -> Result<Vec<String>, Malformed> {
    let sequences = match optional_field::<Stop>(fields, "stop", "text or a list of up to four")? {
        None => Vec::new(),
        Some(Stop::One(sequence)) => vec![sequence],
        Some(Stop::Several(sequences)) => sequences,
    };
    if sequences.len() > MAX_STOP_SEQUENCES || sequences.iter().any(String::is_empty) {
        return Err(Malformed::field("stop", "must be text or a list of up to four, none empty"));
    }
    Ok(sequences)
}

/// Decodes the limit of generated tokens from the newer field `max_completion_tokens` or, if that is missing,
/// from the older field `max_tokens`.
fn max_tokens(fields: &RawFields) -> Result<Option<u64>, Malformed> {
    let newer: Option<u64> = optional_field(fields, "max_completion_tokens", "a whole number")?;
    let older: Option<u64> = optional_field(fields, "max_tokens", "a whole number")?;
    let limit = newer.or(older);
    if limit == Some(0) {
        return Err(Malformed::field("max_tokens", "must be at least 1"));
    }
    Ok(limit)
}
