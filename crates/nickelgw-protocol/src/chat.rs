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
    /// Texts before which the answer ends.
    pub stop: Vec<String>,
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

/// A rolling hash over messages: each step takes in what came before, so that equal beginnings have equal names at
/// every node, and a longer one never has a shorter one's.
#[derive(Clone, Copy)]
struct Rolling(blake3::Hash);

impl Rolling {
    fn new(of: &str) -> Rolling {
        Rolling(blake3::hash(of.as_bytes()))
    }

    fn then(self, role: &str, text: &str) -> Rolling {
        let mut h = blake3::Hasher::new();
        h.update(self.0.as_bytes()).update(&(role.len() as u64).to_le_bytes()).update(role.as_bytes());
        Rolling(h.update(text.as_bytes()).finalize())
    }

    fn name(self) -> String {
        self.0.to_hex().as_str()[..24].to_string()
    }
}

const ROLES: [&str; 6] = ["developer", "system", "user", "assistant", "tool", "function"];

#[derive(Deserialize)]
#[serde(untagged)]
enum Stop {
    One(String),
    Some(Vec<String>),
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
        let (mut beginning, mut system_tokens, mut first) = (Rolling::new("messages"), 0.0, None);
        for m in &messages {
            if !ROLES.contains(&m.role.as_ref()) {
                return Err(Malformed::field("messages", "a message has a role that is not known"));
            }
            let text = content(m.content)?;
            // Role and markup of a message take a few tokens too.
            let t = estimate_tokens(&text) + 4.0;
            tokens += t;
            if matches!(m.role.as_ref(), "system" | "developer") && first.is_none() {
                system_tokens += t;
                beginning = beginning.then(&m.role, &text);
            } else if first.is_none() {
                first = Some(beginning.then(&m.role, &text));
            }
        }
        let user: Option<String> = get(&fields, "user", "text")?;
        let prefix = (system_tokens > 0.0).then(|| beginning.name());
        let session = first.unwrap_or(beginning).then("", user.as_deref().unwrap_or("")).name();
        let stop = match get::<Stop>(&fields, "stop", "text or a list of up to four")? {
            None => Vec::new(),
            Some(Stop::One(s)) => vec![s],
            Some(Stop::Some(all)) => all,
        };
        if stop.len() > 4 || stop.iter().any(String::is_empty) {
            return Err(Malformed::field("stop", "must be text or a list of up to four, none empty"));
        }
        let max: Option<u64> = get(&fields, "max_completion_tokens", "a whole number")?;
        let max = max.or(get(&fields, "max_tokens", "a whole number")?);
        if max == Some(0) {
            return Err(Malformed::field("max_tokens", "must be at least 1"));
        }
        let options: Option<Value> = get(&fields, "stream_options", "an object")?;
        let stream = get(&fields, "stream", "true or false")?.unwrap_or(false);
        if options.is_some() && !stream {
            return Err(Malformed::field("stream_options", "is only allowed when stream is true"));
        }
        Ok(ChatRequest {
            stream,
            stop,
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

    /// With the time after which its client may come back.
    pub fn after(mut self, come_back_s: f64) -> Self {
        self.retry_after_s = Some(come_back_s);
        self
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
    #[serde(default)]
    pub refusal: Option<String>,
    #[serde(default)]
    pub tool_calls: Vec<CallPart>,
}

/// A piece of a tool call; pieces of one call have one index.
#[derive(Debug, Default, Deserialize)]
pub struct CallPart {
    #[serde(default)]
    pub index: usize,
    #[serde(default)]
    pub id: Option<String>,
    #[serde(default)]
    pub function: FunctionPart,
}

#[derive(Debug, Default, Deserialize)]
pub struct FunctionPart {
    #[serde(default)]
    pub name: Option<String>,
    #[serde(default)]
    pub arguments: Option<String>,
}

/// Tool calls of one answer at most; what an engine says beyond them is dropped.
const MOST_CALLS: usize = 128;

#[derive(Debug, Deserialize)]
pub struct Choice {
    #[serde(default)]
    pub logprobs: Option<Value>,
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
    pub system_fingerprint: Option<String>,
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
    refusal: Option<String>,
    /// Id, name and arguments of each.
    calls: Vec<(String, String, String)>,
    logprobs: Vec<Value>,
    finish: Option<String>,
    fingerprint: Option<String>,
    usage: Usage,
}

impl Whole {
    pub fn add(&mut self, chunk: Chunk) {
        if self.id.is_empty() {
            (self.id, self.created) = (chunk.id, chunk.created);
        }
        for mut c in chunk.choices {
            self.text.push_str(c.delta.content.as_deref().unwrap_or(""));
            if let Some(r) = c.delta.refusal {
                self.refusal.get_or_insert_default().push_str(&r);
            }
            for part in c.delta.tool_calls.into_iter().filter(|p| p.index < MOST_CALLS) {
                if self.calls.len() <= part.index {
                    self.calls.resize_with(part.index + 1, Default::default);
                }
                let call = &mut self.calls[part.index];
                call.0.push_str(part.id.as_deref().unwrap_or(""));
                call.1.push_str(part.function.name.as_deref().unwrap_or(""));
                call.2.push_str(part.function.arguments.as_deref().unwrap_or(""));
            }
            if let Some(all) = c.logprobs.as_mut().and_then(|l| l["content"].as_array_mut()) {
                self.logprobs.append(all);
            }
            self.finish = c.finish_reason.or(self.finish.take());
        }
        self.fingerprint = chunk.system_fingerprint.or(self.fingerprint.take());
        self.usage = chunk.usage.unwrap_or(self.usage);
    }

    pub fn body(self, model: &str) -> Bytes {
        let mut message = json!({"role": "assistant", "content": self.text, "refusal": self.refusal});
        if !self.calls.is_empty() {
            let call = |(id, name, arguments): (String, String, String)| {
                json!({"id": id, "type": "function",
                "function": {"name": name, "arguments": arguments}})
            };
            message["tool_calls"] = self.calls.into_iter().map(call).collect();
            if self.text.is_empty() {
                message["content"] = Value::Null;
            }
        }
        let mut choice = json!({"index": 0, "message": message, "finish_reason": self.finish});
        if !self.logprobs.is_empty() {
            choice["logprobs"] = json!({"content": self.logprobs});
        }
        let mut v = json!({"id": self.id, "object": "chat.completion", "created": self.created, "model": model,
            "choices": [choice], "usage": self.usage});
        if let Some(f) = self.fingerprint {
            v["system_fingerprint"] = f.into();
        }
        Bytes::from(v.to_string())
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
            (r#"{"model":"m","messages":[{"role":"boss"}]}"#, Some("messages")),
            (r#"{"model":"m","messages":[{"role":"user"}],"stop":["a","b","c","d","e"]}"#, Some("stop")),
            (r#"{"model":"m","messages":[{"role":"user"}],"stop":""}"#, Some("stop")),
            (r#"{"model":"m","messages":[{"role":"user"}],"stream_options":{}}"#, Some("stream_options")),
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

    #[test]
    fn calls_of_tools_are_put_together_from_their_pieces() {
        let mut w = Whole::default();
        for c in [
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"rain","arguments":"{\"at\":"}}]}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}},{"index":1,"id":"c2","function":{"name":"sun","arguments":"{}"}},{"index":900}]}}]}"#,
            r#"{"choices":[{"delta":{},"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"}]}}]}"#,
        ] {
            w.add(Chunk::parse(c.as_bytes()).unwrap());
        }
        let v: Value = serde_json::from_slice(&w.body("chat")).unwrap();
        let m = &v["choices"][0]["message"];
        assert_eq!(m["tool_calls"][0]["function"], json!({"name": "rain", "arguments": "{\"at\":1}"}));
        assert_eq!((&m["tool_calls"][1]["id"], m["tool_calls"].as_array().unwrap().len()), (&json!("c2"), 2));
        assert_eq!(
            (&m["content"], &v["choices"][0]["logprobs"]["content"][0]["token"]),
            (&Value::Null, &json!("a"))
        );
    }
}
