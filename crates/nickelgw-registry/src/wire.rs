//! Messages of etcd's JSON gateway, v3, as published: whole numbers of 64 bits as text, keys and values in base64.

use crate::core::member::NodePlace;
use crate::core::view::Event;
use base64::prelude::{Engine, BASE64_STANDARD};
use nickelgw_protocol::list::EndpointEntry;
use serde::Deserialize;
use serde_json::{json, Value};

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    #[error("not the JSON that is published: {0}")]
    Json(String),
    #[error("{0}")]
    Said(String),
}

/// A number that the gateway writes as text, and other writers as a number; left out it is 0.
fn number<'de, D: serde::Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
    match Value::deserialize(d)? {
        Value::String(s) => s.parse().map_err(serde::de::Error::custom),
        Value::Number(n) => n.as_i64().ok_or_else(|| serde::de::Error::custom("not a whole number")),
        Value::Null => Ok(0),
        _ => Err(serde::de::Error::custom("not a number")),
    }
}

/// An id that does not fit a signed number: kept as it was written.
fn text<'de, D: serde::Deserializer<'de>>(d: D) -> Result<String, D::Error> {
    match Value::deserialize(d)? {
        Value::String(s) => Ok(s),
        Value::Number(n) => Ok(n.to_string()),
        _ => Ok(String::new()),
    }
}

fn bytes<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(d)?;
    BASE64_STANDARD.decode(text).map_err(serde::de::Error::custom)
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    #[serde(deserialize_with = "number")]
    pub revision: i64,
    /// Another after a restore, which begins a new cluster; empty: not said.
    #[serde(deserialize_with = "text")]
    pub cluster_id: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Pair {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "number")]
    pub create_revision: i64,
    #[serde(deserialize_with = "number")]
    pub mod_revision: i64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Ranged {
    pub header: Header,
    pub kvs: Vec<Pair>,
    pub more: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Change {
    /// Left out: a put.
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: Pair,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watched {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    #[serde(deserialize_with = "number")]
    pub compact_revision: i64,
    pub events: Vec<Change>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Leased {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: i64,
    /// 0: the lease is over.
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub ttl: i64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tried {
    pub header: Header,
    pub succeeded: bool,
}

/// An answer of a stream, or of a plain call that failed.
#[derive(Deserialize)]
struct Streamed<T> {
    result: Option<T>,
    error: Option<Value>,
}

fn said(v: &Value) -> RegistryError {
    let text = v["message"].as_str().or_else(|| v.as_str()).unwrap_or("an error without words");
    RegistryError::Said(text.chars().take(200).collect())
}

pub fn plain<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, RegistryError> {
    serde_json::from_slice(body).map_err(|e| RegistryError::Json(e.to_string()))
}

pub fn streamed<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Result<T, RegistryError> {
    let s: Streamed<T> = plain(line)?;
    match (s.result, s.error) {
        (Some(r), _) => Ok(r),
        (None, Some(e)) => Err(said(&e)),
        (None, None) => Err(RegistryError::Json("neither a result nor an error".into())),
    }
}

/// The words of a call that failed.
pub fn failure(body: &[u8]) -> RegistryError {
    match serde_json::from_slice::<Value>(body) {
        Ok(v) => said(if v["error"].is_object() { &v["error"] } else { &v }),
        Err(_) => RegistryError::Said("no words that can be read".into()),
    }
}

fn b64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// The first key after all that begin with the prefix.
pub fn after(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

pub fn range(prefix: &str) -> Value {
    json!({"key": b64(prefix.as_bytes()), "range_end": b64(&after(prefix.as_bytes()))})
}

pub fn watch(prefix: &str, from: u64) -> Value {
    json!({"create_request": {"key": b64(prefix.as_bytes()), "range_end": b64(&after(prefix.as_bytes())),
        "start_revision": from.to_string(), "progress_notify": true}})
}

pub fn grant(ttl_s: f64) -> Value {
    json!({"TTL": format!("{}", ttl_s.ceil().max(1.0)), "ID": "0"})
}

pub fn keep_alive(lease: i64) -> Value {
    json!({"ID": lease.to_string()})
}

/// Puts a key under a lease if it does not exist.
pub fn claim(key: &str, value: &str, lease: i64) -> Value {
    let key = b64(key.as_bytes());
    json!({"compare": [{"result": "EQUAL", "target": "CREATE", "key": key, "create_revision": "0"}],
        "success": [{"request_put": {"key": key, "value": b64(value.as_bytes()), "lease": lease.to_string()}}]})
}

/// Engines are JSON lines, as in the list; a value that is none is passed over and counted.
pub fn engines(prefix: &str, kvs: &[Pair]) -> (Vec<EndpointEntry>, usize) {
    let all: Vec<Option<EndpointEntry>> = kvs.iter().map(|p| engine(prefix, p)).collect();
    let sound = all.iter().flatten().count();
    (all.iter().flatten().cloned().collect(), all.len() - sound)
}

/// The key's name is the engine's: a value cannot speak for another.
fn engine(prefix: &str, p: &Pair) -> Option<EndpointEntry> {
    let id = std::str::from_utf8(p.key.strip_prefix(prefix.as_bytes())?).ok()?;
    let line: EndpointEntry = serde_json::from_slice(&p.value).ok()?;
    let sound = line.memory_tokens.is_finite() && line.memory_tokens > 0.0 && !line.address.is_empty();
    (line.id == id && sound).then_some(line)
}

pub fn events(prefix: &str, changes: &[Change]) -> Vec<Event> {
    let event = |c: &Change| {
        if c.kind == "DELETE" {
            let id = std::str::from_utf8(c.kv.key.strip_prefix(prefix.as_bytes())?).ok()?;
            return Some(Event::Gone(id.into()));
        }
        engine(prefix, &c.kv).map(Event::Put)
    };
    changes.iter().filter_map(event).collect()
}

pub fn places(prefix: &str, kvs: &[Pair]) -> Vec<NodePlace> {
    let place = |p: &Pair| {
        let number = std::str::from_utf8(p.key.strip_prefix(prefix.as_bytes())?).ok()?.parse().ok()?;
        let name = String::from_utf8(p.value.clone()).ok()?;
        Some(NodePlace { number, name, since: p.create_revision.max(0) as u64 })
    };
    kvs.iter().filter_map(place).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn published_messages_are_read() {
        let line = r#"{"id":"e1","address":"h:1","zone":"a","role":"read","memory_tokens":5,"state":"in"}"#;
        let pair = json!({"key": b64(b"eng/e1"), "value": b64(line.as_bytes()), "create_revision": "4", "mod_revision": "9"});
        let text = json!({"header": {"cluster_id": "14841639068965178418", "revision": "12"}, "kvs": [pair, {"key": b64(b"eng/e2"), "value": b64(line.as_bytes())}]});
        let r: Ranged = plain(text.to_string().as_bytes()).unwrap();
        let (lines, bad) = engines("eng/", &r.kvs);
        assert_eq!((r.header.revision, lines.len(), bad, lines[0].id.as_str()), (12, 1, 1, "e1"));
        let text = json!({"result": {"header": {"revision": "13"}, "events": [{"kv": pair}, {"type": "DELETE", "kv": {"key": b64(b"eng/e9")}}]}});
        let w: Watched = streamed(text.to_string().as_bytes()).unwrap();
        assert_eq!(events("eng/", &w.events), vec![Event::Put(lines[0].clone()), Event::Gone("e9".into())]);
        let gone = br#"{"result":{"canceled":true,"compact_revision":"7"}}"#;
        assert_eq!(streamed::<Watched>(gone).unwrap().compact_revision, 7);
        let wrong =
            br#"{"error":{"grpc_code":5,"http_code":404,"message":"etcdserver: requested lease not found"}}"#;
        assert_eq!(
            streamed::<Leased>(wrong).unwrap_err(),
            RegistryError::Said("etcdserver: requested lease not found".into())
        );
        assert_eq!(
            (after(b"eng/"), after(b"a\xff"), after(b"\xff")),
            (b"eng0".to_vec(), b"b".to_vec(), vec![0])
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(95), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn no_bytes_make_it_fail(junk in prop::collection::vec(any::<u8>(), 0..200), text in "[{}\\[\\]\":a-z0-9,]{0,80}") {
            for bytes in [&junk[..], text.as_bytes()] {
                let _ = plain::<Ranged>(bytes);
                let _ = streamed::<Watched>(bytes);
                let _ = streamed::<Leased>(bytes);
                failure(bytes);
            }
            let p = Pair { key: junk.clone(), value: junk.clone(), ..Pair::default() };
            prop_assert!(engines("", std::slice::from_ref(&p)).0.is_empty() && places("", &[p]).is_empty());
        }
    }
}
