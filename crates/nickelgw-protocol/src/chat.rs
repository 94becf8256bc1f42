//! The chat API: requests read as far as routing needs, errors in OpenAI's shape, answers put together.

use crate::engine::Usage;
use crate::Malformed;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// A chat request; the fields stay as the client wrote them, for the engines.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    pub fields: BTreeMap<String, Box<RawValue>>,
    pub model: String,
    pub stream: bool,
    pub include_usage: bool,
    pub max_tokens: Option<u64>,
    pub prompt_tokens: f64,
    /// Tokens of the beginning that other sessions share: the system messages.
    pub prefix_tokens: f64,
    pub prefix: Option<String>,
    pub session: String,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

/// Prompt tokens of a text: four bytes each, the published rule of thumb. The one place to put a tokenizer.
pub fn estimate_tokens(text: &str) -> f64 {
    (text.len() as f64 / 4.0).ceil()
}

fn content(raw: Option<&RawValue>) -> Result<String, Malformed> {
    let Some(raw) = raw else { return Ok(String::new()) };
    if raw.get() == "null" {
        return Ok(String::new());
    }
    if let Ok(text) = serde_json::from_str::<String>(raw.get()) {
        return Ok(text);
    }
    let parts: Vec<Part> = serde_json::from_str(raw.get())
        .map_err(|_| Malformed::field("messages", "content is neither text nor a list of parts"))?;
    Ok(parts.into_iter().map(|p| p.text).collect())
}

fn digest(text: &[&str]) -> String {
    let mut h = blake3::Hasher::new();
    for t in text {
        h.update(&(t.len() as u64).to_le_bytes()).update(t.as_bytes());
    }
    h.finalize().to_hex().as_str()[..24].to_string()
}

impl ChatRequest {
    pub fn parse(bytes: &[u8]) -> Result<ChatRequest, Malformed> {
        let fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(bytes).map_err(|e| Malformed::Json(e.to_string()))?;
        fn get<T: for<'a> Deserialize<'a>>(
            fields: &BTreeMap<String, Box<RawValue>>,
            name: &'static str,
            wanted: &str,
        ) -> Result<Option<T>, Malformed> {
            let value = fields.get(name).filter(|v| v.get() != "null");
            let read = |v: &RawValue| {
                serde_json::from_str(v.get()).map_err(|_| Malformed::field(name, format!("must be {wanted}")))
            };
            value.map(|v| read(v)).transpose()
        }
        let model: String =
            get(&fields, "model", "text")?.ok_or(Malformed::field("model", "you must provide a model"))?;
        let raw = fields.get("messages").ok_or(Malformed::field("messages", "must be given"))?;
        let messages: Vec<Message> = serde_json::from_str(raw.get())
            .map_err(|_| Malformed::field("messages", "must be a list of messages with a role"))?;
        if messages.is_empty() {
            return Err(Malformed::field("messages", "must not be empty"));
        }
        if get::<u64>(&fields, "n", "a whole number")?.is_some_and(|n| n != 1) {
            return Err(Malformed::field("n", "only 1 is served"));
        }
        let mut tokens = 0.0;
        let (mut system, mut system_tokens, mut first) = (Vec::new(), 0.0, None);
        for m in &messages {
            let text = content(m.content)?;
            // Role and markup of a message take a few tokens too.
            let t = estimate_tokens(&text) + 4.0;
            tokens += t;
            if matches!(m.role.as_ref(), "system" | "developer") && first.is_none() {
                system_tokens += t;
                system.push(text);
            } else if first.is_none() {
                first = Some(text);
            }
        }
        let user: Option<String> = get(&fields, "user", "text")?;
        let begin: Vec<&str> = system.iter().map(String::as_str).collect();
        let prefix = (!begin.is_empty()).then(|| digest(&begin));
        let opening = first.unwrap_or_default();
        let session = digest(&[user.as_deref().unwrap_or(""), prefix.as_deref().unwrap_or(""), &opening]);
        let max: Option<u64> = get(&fields, "max_completion_tokens", "a whole number")?;
        let max = max.or(get(&fields, "max_tokens", "a whole number")?);
        if max == Some(0) {
            return Err(Malformed::field("max_tokens", "must be at least 1"));
        }
        let options: Option<Value> = get(&fields, "stream_options", "an object")?;
        Ok(ChatRequest {
            stream: get(&fields, "stream", "true or false")?.unwrap_or(false),
            include_usage: options.is_some_and(|o| o["include_usage"] == true),
            max_tokens: max,
            prompt_tokens: tokens,
            prefix_tokens: system_tokens,
            prefix,
            session,
            model,
            fields,
        })
    }
}

/// An error as the published API gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    pub status: u16,
    pub kind: &'static str,
    pub code: &'static str,
    pub param: Option<&'static str>,
    pub message: String,
    pub retry_after_s: Option<f64>,
}

impl ApiError {
    pub fn new(status: u16, kind: &'static str, code: &'static str, message: impl Into<String>) -> Self {
        ApiError { status, kind, code, param: None, message: message.into(), retry_after_s: None }
    }

    pub fn invalid(m: &Malformed) -> Self {
        let mut e = ApiError::new(400, "invalid_request_error", "invalid_request", m.to_string());
        if let Malformed::Field { field, .. } = m {
            e.param = Some(field);
        }
        e
    }

    pub fn body(&self) -> Bytes {
        let error =
            json!({"message": self.message, "type": self.kind, "param": self.param, "code": self.code});
        Bytes::from(json!({ "error": error }).to_string())
    }

    /// Whole seconds, as the header wants them; never zero, which would mean at once.
    pub fn retry_after(&self) -> Option<String> {
        self.retry_after_s.map(|s| format!("{}", s.ceil().max(1.0)))
    }
}

/// The code of an error body, if it has OpenAI's shape.
pub fn error_code(bytes: &[u8]) -> Option<String> {
    let v: Value = serde_json::from_slice(bytes).ok()?;
    v["error"]["code"].as_str().map(str::to_string)
}

#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    #[serde(default)]
    pub content: Option<String>,
}

#[derive(Debug, Deserialize)]
pub struct Choice {
    #[serde(default)]
    pub delta: Delta,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One streamed chunk, as far as it is read.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    #[serde(default)]
    pub id: String,
    #[serde(default)]
    pub created: u64,
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default)]
    pub usage: Option<Usage>,
    #[serde(default)]
    pub error: Option<Value>,
}

impl Chunk {
    pub fn parse(data: &[u8]) -> Result<Chunk, Malformed> {
        serde_json::from_slice(data).map_err(|e| Malformed::Json(e.to_string()))
    }

    pub fn is_usage_only(&self) -> bool {
        self.choices.is_empty() && self.usage.is_some()
    }
}

/// Puts a whole answer together from its chunks, for a client that does not stream.
#[derive(Default)]
pub struct Whole {
    id: String,
    created: u64,
    text: String,
    finish: Option<String>,
    usage: Usage,
}

impl Whole {
    pub fn add(&mut self, chunk: Chunk) {
        if self.id.is_empty() {
            (self.id, self.created) = (chunk.id, chunk.created);
        }
        for c in chunk.choices {
            self.text.push_str(c.delta.content.as_deref().unwrap_or(""));
            self.finish = c.finish_reason.or(self.finish.take());
        }
        self.usage = chunk.usage.unwrap_or(self.usage);
    }

    pub fn body(self, model: &str) -> Bytes {
        let message = json!({"role": "assistant", "content": self.text});
        let choice = json!({"index": 0, "message": message, "finish_reason": self.finish});
        Bytes::from(
            json!({"id": self.id, "object": "chat.completion", "created": self.created, "model": model,
                   "choices": [choice], "usage": self.usage})
            .to_string(),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::{read_body, write_body, KvTransfer, ReadAnswer};

    const ASK: &str = r#"{"model":"chat","messages":[{"role":"system","content":"Be kind."},
        {"role":"user","content":[{"type":"text","text":"Hi \"there\""}]}],"max_tokens":7,"top_k":3}"#;

    #[test]
    fn the_same_beginning_names_the_same_text() {
        let a = ChatRequest::parse(ASK.as_bytes()).unwrap();
        let b = ChatRequest::parse(ASK.replace("Hi ", "Ho ").as_bytes()).unwrap();
        assert_eq!(a.prefix, b.prefix);
        assert_ne!(a.session, b.session);
        assert!(a.prefix_tokens > 0.0 && a.prefix_tokens < a.prompt_tokens);
        assert_eq!((a.max_tokens, a.stream), (Some(7), false));
    }

    #[test]
    fn engines_get_the_clients_fields_and_the_state() {
        let a = ChatRequest::parse(ASK.as_bytes()).unwrap();
        let read: Value = serde_json::from_slice(&read_body(&a).unwrap()).unwrap();
        assert_eq!((&read["max_tokens"], &read["top_k"]), (&json!(1), &json!(3)));
        assert_eq!(read["kv_transfer_params"]["do_remote_decode"], true);
        let kv = KvTransfer {
            do_remote_prefill: true,
            remote_request_id: Some("s".into()),
            ..KvTransfer::default()
        };
        let write: Value = serde_json::from_slice(&write_body(&a, Some(&kv)).unwrap()).unwrap();
        assert_eq!((&write["stream"], &write["max_tokens"]), (&json!(true), &json!(7)));
        assert_eq!(write["kv_transfer_params"]["remote_request_id"], "s");
        assert!(ReadAnswer::parse(
            br#"{"id":"x","kv_transfer_params":{"do_remote_decode":false,"do_remote_prefill":false}}"#
        )
        .is_err());
    }

    #[test]
    fn what_is_wrong_is_named() {
        for (text, field) in [
            (r#"{"messages":[]}"#, Some("model")),
            (r#"{"model":"m","messages":[]}"#, Some("messages")),
            (r#"{"model":"m","messages":[{"role":"user","content":5}]}"#, Some("messages")),
            (r#"{"model":"m","messages":[{"role":"user"}],"n":2}"#, Some("n")),
            (r#"{"model":"m","messages":[{"role":"user"}],"stream":"yes"}"#, Some("stream")),
            (r#"{"model":"m","#, None),
        ] {
            let e = ApiError::invalid(&ChatRequest::parse(text.as_bytes()).unwrap_err());
            assert_eq!((e.status, e.param), (400, field), "{text}");
        }
    }

    #[test]
    fn a_whole_answer_is_the_sum_of_its_chunks() {
        let mut w = Whole::default();
        for c in [
            r#"{"id":"c1","created":5,"choices":[{"delta":{"role":"assistant","content":"a"}}]}"#,
            r#"{"id":"c1","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}"#,
            r#"{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#,
        ] {
            w.add(Chunk::parse(c.as_bytes()).unwrap());
        }
        let v: Value = serde_json::from_slice(&w.body("chat")).unwrap();
        assert_eq!(v["choices"][0]["message"]["content"], "ab");
        assert_eq!(
            (&v["choices"][0]["finish_reason"], &v["usage"]["total_tokens"]),
            (&json!("stop"), &json!(5))
        );
    }
}
