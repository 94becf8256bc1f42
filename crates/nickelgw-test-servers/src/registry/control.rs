//! Control calls, with which tests change keys and cause faults.

use super::state::{Credentials, State};
use super::Registry;
use crate::http::{error_response, json_response, HttpResponse};
use crate::recorder::unix_now;
use serde_json::{json, Value};

impl Registry {
    pub(super) fn control(&self, command: &Value) -> HttpResponse {
        let state = &mut *self.state.borrow_mut();
        let name = command["order"].as_str().unwrap_or("");
        if !apply_key_change(state, name, command) && !apply_fault(state, name, command) {
            return error_response(400, "unknown_order");
        }
        self.recorder.record("registry", json!({"order": command["order"], "revision": state.revision}));
        let (revision, keys, leases) = (state.revision, state.keys.len(), state.leases.len());
        json_response(200, json!({"revision": revision, "keys": keys, "leases": leases}))
    }
}

/// Applies a control call that changes keys. Returns `false` if the call is of another kind.
fn apply_key_change(state: &mut State, name: &str, command: &Value) -> bool {
    let key = command["key"].as_str().unwrap_or("").as_bytes().to_vec();
    let value = || command["value"].to_string().into_bytes();
    match name {
        "put" => state.put(key, value(), 0),
        "delete" => state.delete(vec![key]),
        // Deletes and puts one key before any watch is served, so that a watch gets both events.
        "replace" => {
            state.delete(vec![key.clone()]);
            state.put(key, value(), 0);
        }
        "empty" => {
            let with_prefix = state.keys.keys().filter(|present| present.starts_with(&key));
            let keys = with_prefix.cloned().collect();
            state.delete(keys);
        }
        "compact" => state.compact(),
        "save" => state.saved = Some(state.snapshot()),
        "roll_back" => {
            if let Some(snapshot) = state.saved.clone() {
                state.restore(snapshot);
            }
        }
        _ => return false,
    }
    true
}

/// Applies a control call that causes a fault. Returns `false` if the call is of another kind.
fn apply_fault(state: &mut State, name: &str, command: &Value) -> bool {
    let length_s = command["for_s"].as_f64().unwrap_or(0.0);
    let until = unix_now() + length_s;
    match name {
        "restart" => {
            state.restarts += 1;
            state.silent_until = until;
        }
        "silence" => state.silent_until = until,
        "refuse" => state.fail_until = until,
        "slow" => state.delay_s = length_s,
        "stall" => state.watches_stalled_until = until,
        "stale" => {
            state.stale_until = until;
            state.stale = state.saved.clone().unwrap_or_default();
        }
        // Requires credentials from now on. A repeated call makes earlier tokens invalid.
        "auth" => {
            state.token_number += 1;
            let text = |field: &str| command[field].as_str().unwrap_or("").to_string();
            state.credentials = Some(Credentials { user: text("user"), password: text("password") });
            state.restarts += 1;
        }
        _ => return false,
    }
    true
}
