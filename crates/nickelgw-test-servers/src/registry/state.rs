//! Keys, leases and faults of the registry.

use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Id of the cluster before any restore.
const CLUSTER_ID: u64 = 14_841_639_068_965_178_418;

/// Keys with their entries, ordered by key.
pub(super) type KeyMap = BTreeMap<Vec<u8>, KeyEntry>;

/// Value of a key, with its revisions and lease.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    pub lease: i64,
}

/// Change of a key.
pub(super) struct KeyEvent {
    pub revision: u64,
    pub key: Vec<u8>,
    /// Entry that was put. `None` if the key was deleted.
    pub put: Option<KeyEntry>,
}

/// Lease. Its keys are deleted when it expires.
pub(super) struct Lease {
    pub ttl_s: f64,
    pub expires_at: f64,
}

/// All keys at one revision.
#[derive(Clone, Default)]
pub(super) struct Snapshot {
    pub revision: u64,
    pub keys: KeyMap,
}

/// User name and password that clients have to present.
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
    /// Unix time in seconds until which no call is answered.
    pub silent_until: f64,
    /// Unix time in seconds until which all calls fail.
    pub fail_until: f64,
    /// Delay of every call in seconds.
    pub delay_s: f64,
    /// Unix time in seconds until which watches send nothing, not even progress.
    pub watches_stalled_until: f64,
    /// Unix time in seconds until which ranges read the stale snapshot, as from a cluster member that lags
    /// behind.
    pub stale_until: f64,
    pub stale: Snapshot,
    pub saved: Option<Snapshot>,
    /// Number of restarts. All watches end when it changes.
    pub restarts: u64,
    /// Number of restores from a snapshot. Each restore changes the id of the cluster.
    pub restores: u64,
    /// Required credentials. `None` if calls need no token.
    pub credentials: Option<Credentials>,
    /// Number of the valid token. Tokens with lower numbers are invalid.
    pub token_number: u64,
}

impl State {
    pub fn cluster_id(&self) -> String {
        (CLUSTER_ID + self.restores).to_string()
    }

    /// Returns the header of a response.
    pub fn response_header(&self, revision: u64) -> Value {
        json!({"cluster_id": self.cluster_id(), "revision": revision.to_string()})
    }

    /// Returns the valid token.
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

    /// Deletes keys in one revision. Does nothing if none of them exists.
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

    /// Restores a snapshot and ends all watches.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.revision = snapshot.revision;
        self.keys = snapshot.keys;
        self.compact_revision = snapshot.revision;
        self.restores += 1;
        self.events.clear();
        self.restarts += 1;
    }

    /// Discards the events before the present revision. The events of the present revision stay.
    pub fn compact(&mut self) {
        self.compact_revision = self.revision;
        let compact_revision = self.compact_revision;
        self.events.retain(|event| event.revision >= compact_revision);
    }
}
