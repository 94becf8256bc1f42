//! API calls of the registry, other than watches.

use super::state::{KeyEntry, Lease, State};
use super::{record_engines, Call, AUTHENTICATION_FAILED, LEASE_NOT_FOUND};
use crate::http::{json_response, HttpResponse};
use crate::recorder::{unix_now, Recorder};
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};

/// Decodes a base64 field. Empty if it is missing or malformed.
pub(super) fn decode_bytes(field: &Value) -> Vec<u8> {
    BASE64_STANDARD.decode(field.as_str().unwrap_or("")).unwrap_or_default()
}

/// Decodes a number field, which may be encoded as text. Zero if it is missing or malformed.
pub(super) fn decode_number(field: &Value) -> i64 {
    field.as_str().and_then(|text| text.parse().ok()).or(field.as_i64()).unwrap_or(0)
}

/// Encodes a key and its entry for a response.
pub(super) fn key_value(key: &[u8], entry: &KeyEntry) -> Value {
    json!({
        "key": BASE64_STANDARD.encode(key),
        "value": BASE64_STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "lease": entry.lease.to_string(),
    })
}

pub(super) fn authenticate(state: &State, body: &Value) -> HttpResponse {
    let is_valid = state.credentials.as_ref().is_some_and(|credentials| {
        body["name"] == credentials.user.as_str() && body["password"] == credentials.password.as_str()
    });
    if !is_valid {
        return AUTHENTICATION_FAILED.response();
    }
    json_response(200, json!({"token": state.token()}))
}

pub(super) fn range(state: &State, call: &Call, recorder: &Recorder) -> HttpResponse {
    let (begin, end) = (decode_bytes(&call.body["key"]), decode_bytes(&call.body["range_end"]));
    let is_stale = unix_now() < state.stale_until;
    let (revision, keys) =
        if is_stale { (state.stale.revision, &state.stale.keys) } else { (state.revision, &state.keys) };
    // Ranges of engines are recorded; ranges of nodes are not.
    if !begin.ends_with(b"nodes/") {
        record_engines(recorder, &call.node, revision, keys);
    }
    let kvs: Vec<Value> = keys.range(begin..end).map(|(key, entry)| key_value(key, entry)).collect();
    let header = state.response_header(revision);
    json_response(200, json!({"header": header, "kvs": kvs, "count": kvs.len().to_string()}))
}

/// Puts keys if none of the compared keys exists.
pub(super) fn transaction(state: &mut State, body: &Value) -> HttpResponse {
    let mut compared = body["compare"].as_array().into_iter().flatten();
    let succeeds = compared.all(|compare| !state.keys.contains_key(&decode_bytes(&compare["key"])));
    let operations = body["success"].as_array().cloned().unwrap_or_default();
    for put in operations.iter().filter(|_| succeeds).map(|operation| &operation["request_put"]) {
        let lease = decode_number(&put["lease"]);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return LEASE_NOT_FOUND.response();
        }
        state.put(decode_bytes(&put["key"]), decode_bytes(&put["value"]), lease);
    }
    let header = json!({"revision": state.revision.to_string()});
    json_response(200, json!({"header": header, "succeeded": succeeds}))
}

pub(super) fn grant_lease(state: &mut State, body: &Value) -> HttpResponse {
    state.last_lease += 1;
    let (id, ttl_s) = (state.last_lease, decode_number(&body["TTL"]).max(1));
    let lease = Lease { ttl_s: ttl_s as f64, expires_at: unix_now() + ttl_s as f64 };
    state.leases.insert(id, lease);
    let header = state.response_header(state.revision);
    json_response(200, json!({"header": header, "ID": id.to_string(), "TTL": ttl_s.to_string()}))
}

pub(super) fn keep_lease_alive(state: &mut State, body: &Value) -> HttpResponse {
    let id = decode_number(&body["ID"]);
    let mut ttl_s = 0;
    if let Some(lease) = state.leases.get_mut(&id) {
        lease.expires_at = unix_now() + lease.ttl_s;
        ttl_s = lease.ttl_s as i64;
    }
    let header = state.response_header(state.revision);
    let result = json!({"header": header, "ID": id.to_string(), "TTL": ttl_s.to_string()});
    json_response(200, json!({"result": result}))
}
