//! Messages of etcd's v3 JSON gateway, as documented by etcd: 64-bit integers are strings, keys and values
//! are base64.

use crate::core::endpoint_view::RegistryEvent;
use crate::core::membership::NodeRegistration;
use base64::prelude::{Engine, BASE64_STANDARD};
use nickelgw_protocol::list::EndpointEntry;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::{json, Value};

/// Error returned when a call to the registry has no usable response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// The response is not a message of the JSON gateway.
    #[error("registry response is malformed: {0}")]
    Malformed(String),
    /// The registry reported an error, or could not be reached.
    #[error("{0}")]
    Failed(String),
}

/// Maximum length of an error message in characters; longer ones are truncated.
const MAX_ERROR_CHARS: usize = 200;

/// Deserializes an integer, which the gateway writes as a string and other servers write as a number. An
/// omitted integer is 0.
fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => text.parse().map_err(D::Error::custom),
        Value::Number(number) => {
            number.as_i64().ok_or_else(|| D::Error::custom("number is not a 64-bit integer"))
        }
        Value::Null => Ok(0),
        _ => Err(D::Error::custom("value is neither a number nor a string")),
    }
}

/// Deserializes an id as text, since it may not fit into a signed integer.
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

/// Header of every response.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Newest revision of the registry.
    #[serde(deserialize_with = "integer")]
    pub revision: i64,
    /// Id of the cluster, which changes when the registry is restored from a backup; empty if it was not
    /// reported.
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
    /// Revision at which the key was created.
    #[serde(deserialize_with = "integer")]
    pub create_revision: i64,
    /// Revision of the last change of the key.
    #[serde(deserialize_with = "integer")]
    pub mod_revision: i64,
}

/// Response to [`range_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// See [`Header`].
    pub header: Header,
    /// Keys that were found, with their values.
    pub kvs: Vec<KeyValue>,
    /// Whether there are more keys than the response contains.
    pub more: bool,
}

/// Event of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Type of the event: `DELETE`, or a put, for which the type may be omitted.
    #[serde(rename = "type")]
    pub kind: String,
    /// The key that changed, with its value.
    pub kv: KeyValue,
}

/// Message of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// See [`Header`].
    pub header: Header,
    /// Whether this is the first message of a watch.
    pub created: bool,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// Oldest available revision if the requested one was compacted; otherwise 0.
    #[serde(deserialize_with = "integer")]
    pub compact_revision: i64,
    /// Changes; empty if the message only reports progress.
    pub events: Vec<WatchEvent>,
}

/// Response to [`lease_grant_request`] and [`lease_keep_alive_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "ID", deserialize_with = "integer")]
    pub id: i64,
    /// Remaining lifetime of the lease in seconds; 0 if it has expired.
    #[serde(rename = "TTL", deserialize_with = "integer")]
    pub ttl: i64,
}

/// Response to [`claim_request`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// See [`Header`].
    pub header: Header,
    /// Whether the condition held and the key was put.
    pub succeeded: bool,
}

/// Message of a stream: a result, or the error of a call that failed.
#[derive(Deserialize)]
struct StreamMessage<T> {
    result: Option<T>,
    error: Option<Value>,
}

fn reported_error(error: &Value) -> RegistryError {
    let text = error["message"]
        .as_str()
        .or_else(|| error.as_str())
        .unwrap_or("registry reported an error without a message");
    RegistryError::Failed(text.chars().take(MAX_ERROR_CHARS).collect())
}

/// Parses the response to a call.
pub fn parse_response<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, RegistryError> {
    serde_json::from_slice(body).map_err(|error| RegistryError::Malformed(error.to_string()))
}

/// Parses one message of a stream.
pub fn parse_stream_message<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Result<T, RegistryError> {
    let message: StreamMessage<T> = parse_response(line)?;
    match (message.result, message.error) {
        (Some(result), _) => Ok(result),
        (None, Some(error)) => Err(reported_error(&error)),
        (None, None) => {
            Err(RegistryError::Malformed("stream message has neither a result nor an error".into()))
        }
    }
}

/// Extracts the error from the body of a failed call.
pub fn error_of_body(body: &[u8]) -> RegistryError {
    match serde_json::from_slice::<Value>(body) {
        Ok(value) if value["error"].is_object() => reported_error(&value["error"]),
        Ok(value) => reported_error(&value),
        Err(_) => RegistryError::Failed("registry returned an error whose body is not JSON".into()),
    }
}

fn base64_text(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Returns the first key after all keys that begin with the prefix.
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

/// Creates a request to read all keys with a prefix.
pub fn range_request(prefix: &str) -> Value {
    let prefix = prefix.as_bytes();
    json!({"key": base64_text(prefix), "range_end": base64_text(&prefix_end(prefix))})
}

/// Creates a request to watch all keys with a prefix, beginning at a revision.
pub fn watch_request(prefix: &str, from_revision: u64) -> Value {
    let prefix = prefix.as_bytes();
    json!({"create_request": {"key": base64_text(prefix), "range_end": base64_text(&prefix_end(prefix)),
        "start_revision": from_revision.to_string(), "progress_notify": true}})
}

/// Creates a request for a lease with a lifetime of `ttl_s` seconds, rounded up.
pub fn lease_grant_request(ttl_s: f64) -> Value {
    json!({"TTL": format!("{}", ttl_s.ceil().max(1.0)), "ID": "0"})
}

/// Creates a request to renew a lease.
pub fn lease_keep_alive_request(lease: i64) -> Value {
    json!({"ID": lease.to_string()})
}

/// Creates a request to put a key under a lease if the key does not exist.
pub fn claim_request(key: &str, value: &str, lease: i64) -> Value {
    let key = base64_text(key.as_bytes());
    let value = base64_text(value.as_bytes());
    json!({"compare": [{"result": "EQUAL", "target": "CREATE", "key": key, "create_revision": "0"}],
        "success": [{"request_put": {"key": key, "value": value, "lease": lease.to_string()}}]})
}

/// Parses the endpoint entries under a prefix. Returns the valid entries, and the number of malformed ones.
pub fn endpoint_entries(prefix: &str, pairs: &[KeyValue]) -> (Vec<EndpointEntry>, usize) {
    let entries: Vec<EndpointEntry> = pairs.iter().filter_map(|pair| endpoint_entry(prefix, pair)).collect();
    let malformed = pairs.len() - entries.len();
    (entries, malformed)
}

/// Parses an endpoint entry. The id in the value must match the key, so that an entry cannot stand for
/// another endpoint.
fn endpoint_entry(prefix: &str, pair: &KeyValue) -> Option<EndpointEntry> {
    let id = suffix(prefix, &pair.key)?;
    let entry: EndpointEntry = serde_json::from_slice(&pair.value).ok()?;
    let has_memory = entry.memory_tokens.is_finite() && entry.memory_tokens > 0.0;
    (entry.id == id && has_memory && !entry.address.is_empty()).then_some(entry)
}

fn suffix<'a>(prefix: &str, key: &'a [u8]) -> Option<&'a str> {
    std::str::from_utf8(key.strip_prefix(prefix.as_bytes())?).ok()
}

/// Parses the endpoint events of a watch; malformed ones are skipped.
pub fn endpoint_events(prefix: &str, events: &[WatchEvent]) -> Vec<RegistryEvent> {
    let to_event = |event: &WatchEvent| {
        if event.kind == "DELETE" {
            return suffix(prefix, &event.kv.key).map(|id| RegistryEvent::Delete(id.into()));
        }
        endpoint_entry(prefix, &event.kv).map(RegistryEvent::Put)
    };
    events.iter().filter_map(to_event).collect()
}

/// Parses the node registrations under a prefix; malformed ones are skipped.
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
