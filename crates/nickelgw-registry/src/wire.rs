//! Messages of etcd's v3 JSON gateway, as published: 64-bit integers are text, keys and values are base64.

use crate::core::endpoint_view::RegistryEvent;
use crate::core::membership::NodeRegistration;
use base64::prelude::{Engine, BASE64_STANDARD};
use nickelgw_protocol::list::EndpointEntry;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::{json, Value};

/// Why a call to the registry has no usable response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// The response is not a published message.
    #[error("not the JSON that is published: {0}")]
    Malformed(String),
    /// The registry reported an error, or was not reached.
    #[error("{0}")]
    Failed(String),
}

/// Longest error message that is kept, in characters.
const MAX_ERROR_CHARS: usize = 200;

/// The gateway writes an integer as text, other servers as a number; an omitted one is 0.
fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => text.parse().map_err(D::Error::custom),
        Value::Number(number) => number.as_i64().ok_or_else(|| D::Error::custom("not a whole number")),
        Value::Null => Ok(0),
        _ => Err(D::Error::custom("not a number")),
    }
}

/// An id that may not fit a signed integer: kept as it was written.
fn id_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => Ok(text),
        Value::Number(number) => Ok(number.to_string()),
        _ => Ok(String::new()),
    }
}

fn base64_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}

/// What every response begins with.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The newest revision of the registry.
    #[serde(deserialize_with = "integer")]
    pub revision: i64,
    /// Changes with a restore, which begins a new cluster; empty: not reported.
    #[serde(deserialize_with = "id_text")]
    pub cluster_id: String,
}

/// A key and its value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde(deserialize_with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(deserialize_with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    #[serde(deserialize_with = "integer")]
    pub create_revision: i64,
    /// The revision of its last change.
    #[serde(deserialize_with = "integer")]
    pub mod_revision: i64,
}

/// The response to [`range_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// See [`Header`].
    pub header: Header,
    /// What was found.
    pub kvs: Vec<KeyValue>,
    /// Whether the response was cut short.
    pub more: bool,
}

/// One event of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `DELETE`, or a put, for which it may be omitted.
    #[serde(rename = "type")]
    pub kind: String,
    /// What it is about.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// See [`Header`].
    pub header: Header,
    /// The first message of a watch.
    pub created: bool,
    /// The watch has ended.
    pub canceled: bool,
    /// Above 0: the revision asked for was compacted away; the oldest one kept.
    #[serde(deserialize_with = "integer")]
    pub compact_revision: i64,
    /// What changed; empty for progress.
    pub events: Vec<WatchEvent>,
}

/// The response to [`lease_grant_request`] and [`lease_keep_alive_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Identifies the lease.
    #[serde(rename = "ID", deserialize_with = "integer")]
    pub id: i64,
    /// 0: the lease has expired.
    #[serde(rename = "TTL", deserialize_with = "integer")]
    pub ttl: i64,
}

/// The response to [`claim_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// See [`Header`].
    pub header: Header,
    /// Whether the condition held.
    pub succeeded: bool,
}

/// A message of a stream, or the response of a call that failed.
#[derive(Deserialize)]
struct StreamMessage<T> {
    result: Option<T>,
    error: Option<Value>,
}

fn reported_error(error: &Value) -> RegistryError {
    let text = error["message"].as_str().or_else(|| error.as_str()).unwrap_or("an error without words");
    RegistryError::Failed(text.chars().take(MAX_ERROR_CHARS).collect())
}

/// Parses the response of a call.
pub fn parse_response<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, RegistryError> {
    serde_json::from_slice(body).map_err(|error| RegistryError::Malformed(error.to_string()))
}

/// Parses one message of a stream.
pub fn parse_stream_message<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Result<T, RegistryError> {
    let message: StreamMessage<T> = parse_response(line)?;
    match (message.result, message.error) {
        (Some(result), _) => Ok(result),
        (None, Some(error)) => Err(reported_error(&error)),
        (None, None) => Err(RegistryError::Malformed("neither a result nor an error".into())),
    }
}

/// The error in the body of a call that failed.
pub fn error_of_body(body: &[u8]) -> RegistryError {
    match serde_json::from_slice::<Value>(body) {
        Ok(value) if value["error"].is_object() => reported_error(&value["error"]),
        Ok(value) => reported_error(&value),
        Err(_) => RegistryError::Failed("no words that can be read".into()),
    }
}

fn base64_text(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// The first key after all keys that begin with the prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Reads all keys with a prefix.
pub fn range_request(prefix: &str) -> Value {
    let prefix = prefix.as_bytes();
    json!({"key": base64_text(prefix), "range_end": base64_text(&prefix_end(prefix))})
}

/// Watches all keys with a prefix from a revision on.
pub fn watch_request(prefix: &str, from_revision: u64) -> Value {
    let prefix = prefix.as_bytes();
    json!({"create_request": {"key": base64_text(prefix), "range_end": base64_text(&prefix_end(prefix)),
        "start_revision": from_revision.to_string(), "progress_notify": true}})
}

/// Requests a lease.
pub fn lease_grant_request(ttl_s: f64) -> Value {
    json!({"TTL": format!("{}", ttl_s.ceil().max(1.0)), "ID": "0"})
}

/// Renews a lease.
pub fn lease_keep_alive_request(lease: i64) -> Value {
    json!({"ID": lease.to_string()})
}

/// Puts a key under a lease if it does not exist.
pub fn claim_request(key: &str, value: &str, lease: i64) -> Value {
    let key = base64_text(key.as_bytes());
    let value = base64_text(value.as_bytes());
    json!({"compare": [{"result": "EQUAL", "target": "CREATE", "key": key, "create_revision": "0"}],
        "success": [{"request_put": {"key": key, "value": value, "lease": lease.to_string()}}]})
}

/// The endpoint entries among the keys of a prefix, and the number of values that are none.
pub fn endpoint_entries(prefix: &str, pairs: &[KeyValue]) -> (Vec<EndpointEntry>, usize) {
    let entries: Vec<EndpointEntry> = pairs.iter().filter_map(|pair| endpoint_entry(prefix, pair)).collect();
    let malformed = pairs.len() - entries.len();
    (entries, malformed)
}

/// The key holds the endpoint's id, so that a value cannot speak for another endpoint.
fn endpoint_entry(prefix: &str, pair: &KeyValue) -> Option<EndpointEntry> {
    let id = suffix(prefix, &pair.key)?;
    let entry: EndpointEntry = serde_json::from_slice(&pair.value).ok()?;
    let has_memory = entry.memory_tokens.is_finite() && entry.memory_tokens > 0.0;
    (entry.id == id && has_memory && !entry.address.is_empty()).then_some(entry)
}

fn suffix<'a>(prefix: &str, key: &'a [u8]) -> Option<&'a str> {
    std::str::from_utf8(key.strip_prefix(prefix.as_bytes())?).ok()
}

/// The endpoint events among the events of a watch; malformed ones are skipped.
pub fn endpoint_events(prefix: &str, events: &[WatchEvent]) -> Vec<RegistryEvent> {
    let to_event = |event: &WatchEvent| {
        if event.kind == "DELETE" {
            return suffix(prefix, &event.kv.key).map(|id| RegistryEvent::Delete(id.into()));
        }
        endpoint_entry(prefix, &event.kv).map(RegistryEvent::Put)
    };
    events.iter().filter_map(to_event).collect()
}

/// The registrations of nodes among the keys of a prefix; malformed ones are skipped.
pub fn node_registrations(prefix: &str, pairs: &[KeyValue]) -> Vec<NodeRegistration> {
    let to_registration = |pair: &KeyValue| {
        let number = suffix(prefix, &pair.key)?.parse().ok()?;
        let name = String::from_utf8(pair.value.clone()).ok()?;
        Some(NodeRegistration { number, name, created_revision: pair.create_revision.max(0) as u64 })
    };
    pairs.iter().filter_map(to_registration).collect()
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
