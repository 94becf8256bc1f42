//! Keys, leases and faults of the registry.

use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Id of the cluster before any restore.
const CLUSTER_ID: u64 = 14_841_639_068_965_178_418;

/// Keys in order.
pub(super) type KeyMap = BTreeMap<Vec<u8>, KeyEntry>;

/// The value of a key.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    pub lease: i64,
}

/// A change of a key.
pub(super) struct KeyEvent {
    pub revision: u64,
    pub key: Vec<u8>,
    /// The value that was put; none: the key was deleted.
    pub put: Option<KeyEntry>,
}

/// A lease; its keys are deleted when it expires.
pub(super) struct Lease {
    pub ttl_s: f64,
    pub expires_at: f64,
}

/// Keys at a revision.
#[derive(Clone, Default)]
pub(super) struct Snapshot {
    pub revision: u64,
    pub keys: KeyMap,
}

/// User name and password.
pub(super) struct Credentials {
    pub user: String,
    pub password: String,
}

/// All state of the registry.
#[derive(Default)]
pub(super) struct State {
    pub revision: u64,
    pub keys: KeyMap,
    /// Events since the last compaction.
    pub events: Vec<KeyEvent>,
    pub compact_revision: u64,
    pub leases: BTreeMap<i64, Lease>,
    pub last_lease: i64,
    /// No call is answered until then.
    pub silent_until: f64,
    /// All calls fail until then.
    pub fail_until: f64,
    /// Delay of every call.
    pub delay_s: f64,
    /// Watches send nothing until then, not even progress.
    pub watches_stalled_until: f64,
    /// Ranges read the stale snapshot until then, as at a member that lags.
    pub stale_until: f64,
    pub stale: Snapshot,
    pub saved: Option<Snapshot>,
    /// Number of restarts; all connections end when it changes.
    pub restarts: u64,
    /// Number of restores; each begins a new cluster.
    pub restores: u64,
    /// Required credentials.
    pub credentials: Option<Credentials>,
    /// Number of the token that is valid; older ones are not.
    pub token_number: u64,
}

impl State {
    pub fn cluster_id(&self) -> String {
        (CLUSTER_ID + self.restores).to_string()
    }

    /// The header of responses.
    pub fn response_header(&self, revision: u64) -> Value {
        json!({"cluster_id": self.cluster_id(), "revision": revision.to_string()})
    }

    /// The token that is valid.
    pub fn token(&self) -> String {
        format!("token.{}", self.token_number)
    }

    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let create_revision = self.keys.get(&key).map_or(self.revision, |entry| entry.create_revision);
        let entry = KeyEntry { value, create_revision, mod_revision: self.revision, lease };
        self.keys.insert(key.clone(), entry.clone());
        self.events.push(KeyEvent { revision: self.revision, key, put: Some(entry) });
    }

    /// Deletes keys in one revision.
    pub fn delete(&mut self, keys: Vec<Vec<u8>>) {
        let deleted: Vec<Vec<u8>> = keys.into_iter().filter(|key| self.keys.remove(key).is_some()).collect();
        if deleted.is_empty() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        self.events.extend(deleted.into_iter().map(|key| KeyEvent { revision, key, put: None }));
    }

    pub fn expire_leases(&mut self, now: f64) {
        let is_expired = |(_, lease): &(&i64, &Lease)| now >= lease.expires_at;
        let expired: Vec<i64> = self.leases.iter().filter(is_expired).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let of_lease = self.keys.iter().filter(|(_, entry)| entry.lease == id);
            let keys = of_lease.map(|(key, _)| key.clone()).collect();
            self.delete(keys);
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, keys: self.keys.clone() }
    }

    /// Goes back to a snapshot, and ends all connections.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.revision = snapshot.revision;
        self.keys = snapshot.keys;
        self.compact_revision = snapshot.revision;
        self.restores += 1;
        self.events.clear();
        self.restarts += 1;
    }

    /// Discards the events before the present revision; those of the revision itself stay.
    pub fn compact(&mut self) {
        self.compact_revision = self.revision;
        let compact_revision = self.compact_revision;
        self.events.retain(|event| event.revision >= compact_revision);
    }
}
