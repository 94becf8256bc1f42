//! Tenants, their keys and permissions, as one immutable version: a request sees the same from start to end. Keys are kept
//! as keyed hashes only; two keys of a tenant are valid at once while they rotate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use zeroize::Zeroize;

/// Longest name of a tenant, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Keys of a tenant.
pub const MAX_KEYS: usize = 2;
/// Model routes of a tenant.
pub const MAX_ROUTES: usize = 256;

/// Shortest secret of a pepper, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Names the use of the derived key; the hashes depend on it.
const PEPPER_CONTEXT: &str = "nickelgw tenant keys v1";

/// The secret with which tenants' keys are hashed: the same at every node, and another for each deployment.
#[derive(Clone)]
pub struct Pepper([u8; 32]);

impl Pepper {
    /// None if the secret is too short.
    pub fn from_secret(secret: &str) -> Option<Pepper> {
        if secret.len() < MIN_SECRET_BYTES {
            return None;
        }
        Some(Pepper(blake3::derive_key(PEPPER_CONTEXT, secret.as_bytes())))
    }

    /// The hash by which a key is looked up: of equal length for all keys, so that the lookup leaks nothing of the key.
    pub fn hash(&self, key: &str) -> KeyHash {
        KeyHash(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

impl Drop for Pepper {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

/// The keyed hash of a tenant's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a key")
    }
}

/// What may be used of all nodes together; infinite: not limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests in a second.
    pub requests_per_s: f64,
    /// Prompt tokens in a second.
    pub prompt_tokens_per_s: f64,
    /// Requests open at once.
    pub max_open: usize,
}

impl Quota {
    /// No limit.
    pub const UNLIMITED: Quota =
        Quota { requests_per_s: f64::INFINITY, prompt_tokens_per_s: f64::INFINITY, max_open: usize::MAX };

    fn is_valid(&self) -> bool {
        self.requests_per_s >= 0.0 && self.prompt_tokens_per_s >= 0.0
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among the tenants.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Model routes that it may use; none: all.
    pub routes: Option<BTreeSet<String>>,
    /// What it may use.
    pub quota: Quota,
    /// Its weight beside others when there is not enough for all.
    pub weight: f64,
    /// The group whose quota it shares.
    pub group: Option<String>,
    /// Start of its validity, in seconds since 1970.
    pub valid_from: f64,
    /// End of its validity, in seconds since 1970.
    pub valid_until: f64,
}

impl Tenant {
    fn check(&self) -> Result<(), TenantError> {
        let has_weight = self.weight > 0.0 && self.weight.is_finite();
        if !self.quota.is_valid() || !has_weight || self.valid_from >= self.valid_until {
            return Err(TenantError::InvalidValues(self.name.clone()));
        }
        Ok(())
    }

    fn exceeds_bounds(&self) -> bool {
        let routes = self.routes.as_ref().map_or(0, BTreeSet::len);
        self.keys.len() > MAX_KEYS || routes > MAX_ROUTES
    }
}

/// Why an entry, or a key of it, is left out. The first string names the entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// Its name is missing, too long, or another entry's too.
    #[error("tenant {0:?}: its name is empty, too long or not unique")]
    InvalidName(String),
    /// Quota, weight or validity make no sense.
    #[error("tenant {0:?}: its quota, weight or validity is not valid")]
    InvalidValues(String),
    /// It has too many keys or routes, or there are too many tenants.
    #[error("tenant {0:?}: too many keys, routes or tenants")]
    TooMany(String),
    /// A key of two tenants is valid for neither.
    #[error("tenants {0:?} and {1:?} have the same key")]
    SharedKey(String, String),
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No tenant has the key.
    UnknownKey,
    /// The tenant is not valid yet, or no longer.
    OutsideValidity,
    /// The tenant may not use the route.
    RouteNotAllowed,
}

/// A version of all tenants.
#[derive(Debug, Default)]
pub struct Permissions {
    /// Identifies the version.
    pub version: u64,
    tenants: Vec<Rc<Tenant>>,
    by_key: BTreeMap<KeyHash, usize>,
    by_name: BTreeMap<String, usize>,
    /// Quotas of groups, by name.
    pub groups: BTreeMap<String, Quota>,
}

impl Permissions {
    /// Entries that are not valid are left out, each with its error; the others stand.
    pub fn new(
        version: u64,
        entries: Vec<Tenant>,
        groups: BTreeMap<String, Quota>,
        max_tenants: usize,
    ) -> (Permissions, Vec<TenantError>) {
        let mut errors = Vec::new();
        let mut permissions = Permissions { version, groups, ..Permissions::default() };
        let mut key_owners = KeyOwners::default();
        for tenant in entries {
            match permissions.check(&tenant, max_tenants) {
                Ok(()) => errors.extend(permissions.add(tenant, &mut key_owners)),
                Err(error) => errors.push(error),
            }
        }
        // The two tenants of a shared key cannot be told apart.
        permissions.by_key.retain(|key, _| !key_owners.shared.contains(key));
        (permissions, errors)
    }

    fn check(&self, tenant: &Tenant, max_tenants: usize) -> Result<(), TenantError> {
        let name = &tenant.name;
        if name.is_empty() || name.len() > MAX_NAME_BYTES || self.by_name.contains_key(name) {
            return Err(TenantError::InvalidName(name.chars().take(MAX_NAME_BYTES).collect()));
        }
        tenant.check()?;
        if self.tenants.len() >= max_tenants || tenant.exceeds_bounds() {
            return Err(TenantError::TooMany(name.clone()));
        }
        Ok(())
    }

    fn add(&mut self, tenant: Tenant, key_owners: &mut KeyOwners) -> Vec<TenantError> {
        let index = self.tenants.len();
        let mut errors = Vec::new();
        for key in &tenant.keys {
            match key_owners.claim(*key, &tenant.name) {
                Ok(()) => drop(self.by_key.insert(*key, index)),
                Err(error) => errors.push(error),
            }
        }
        self.by_name.insert(tenant.name.clone(), index);
        self.tenants.push(Rc::new(tenant));
        errors
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The tenant of an index that [`Permissions::authorize`] gave.
    pub fn get(&self, index: usize) -> Option<&Rc<Tenant>> {
        self.tenants.get(index)
    }

    /// The tenant of a name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.get(*self.by_name.get(name)?)
    }

    /// The index of the tenant that has this key, if it may use the route now.
    pub fn authorize(&self, now_unix_s: f64, key: KeyHash, route: &str) -> Result<usize, DenialReason> {
        let index = *self.by_key.get(&key).ok_or(DenialReason::UnknownKey)?;
        let tenant = &self.tenants[index];
        if now_unix_s < tenant.valid_from || now_unix_s >= tenant.valid_until {
            return Err(DenialReason::OutsideValidity);
        }
        if !tenant.routes.as_ref().is_none_or(|routes| routes.contains(route)) {
            return Err(DenialReason::RouteNotAllowed);
        }
        Ok(index)
    }
}

/// Names of the tenants that have a key.
#[derive(Default)]
struct KeyOwners {
    by_key: BTreeMap<KeyHash, String>,
    shared: BTreeSet<KeyHash>,
}

impl KeyOwners {
    fn claim(&mut self, key: KeyHash, name: &str) -> Result<(), TenantError> {
        match self.by_key.insert(key, name.to_string()) {
            Some(other) if other != name => {
                self.shared.insert(key);
                Err(TenantError::SharedKey(other, name.to_string()))
            }
            _ => Ok(()),
        }
    }
}

/// How the last known tenants are served once their source is lost: for `serve_stale_s` as known, then with halved quotas
/// for as long again, then no new requests.
#[derive(Clone, Copy, Debug)]
pub struct StalePolicy {
    /// Duration of each of the two stages.
    pub serve_stale_s: f64,
}

/// How far the source of the tenants is trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SourceState {
    /// The source is there.
    Connected,
    /// The source is lost; everything is served as known.
    Stale {
        /// When the next stage begins.
        until: f64,
    },
    /// Quotas are halved.
    HalvedQuotas {
        /// When the next stage begins.
        until: f64,
    },
    /// No new requests are admitted.
    Closed,
}

impl StalePolicy {
    /// `confirmed_at`: when the source last confirmed what is known, by a monotonic clock.
    pub fn state(&self, now: f64, confirmed_at: f64, is_lost: bool) -> SourceState {
        if !is_lost {
            return SourceState::Connected;
        }
        let age_s = (now - confirmed_at).max(0.0);
        if age_s < self.serve_stale_s {
            SourceState::Stale { until: confirmed_at + self.serve_stale_s }
        } else if age_s < 2.0 * self.serve_stale_s {
            SourceState::HalvedQuotas { until: confirmed_at + 2.0 * self.serve_stale_s }
        } else {
            SourceState::Closed
        }
    }
}

#[cfg(test)]
#[path = "permissions_tests.rs"]
mod tests;
