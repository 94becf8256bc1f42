//! Tenants, their keys and their permissions as an immutable version, so that a request sees the same
//! permissions from start to end. Keys are stored only as keyed hashes. A tenant may have two valid keys at
//! once, for rotation.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use zeroize::Zeroize;

/// Maximum length of a tenant's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of keys of a tenant.
pub const MAX_KEYS: usize = 2;
/// Maximum number of model routes of a tenant.
pub const MAX_ROUTES: usize = 256;

/// Minimum length of the secret from which a pepper is derived, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Context string of the pepper's key derivation. All key hashes depend on it.
const PEPPER_CONTEXT: &str = "nickelgw tenant keys v1";

/// Secret with which tenants' keys are hashed: the same at every node of a deployment, and different for each
/// deployment.
#[derive(Clone)]
pub struct Pepper([u8; 32]);

impl Pepper {
    /// Derives the pepper from a secret. `None` if the secret is shorter than 16 bytes.
    pub fn from_secret(secret: &str) -> Option<Pepper> {
        if secret.len() < MIN_SECRET_BYTES {
            return None;
        }
        Some(Pepper(blake3::derive_key(PEPPER_CONTEXT, secret.as_bytes())))
    }

    /// Returns the hash by which a key is looked up. All hashes have the same length, so the lookup reveals
    /// nothing about the key.
    pub fn hash(&self, key: &str) -> KeyHash {
        KeyHash(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

impl Drop for Pepper {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

/// Keyed hash of a tenant's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a key")
    }
}

/// Limits for the use of all nodes together. Infinite values mean no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Maximum number of requests per second.
    pub requests_per_s: f64,
    /// Maximum number of prompt tokens per second.
    pub prompt_tokens_per_s: f64,
    /// Maximum number of requests open at once.
    pub max_open: usize,
}

impl Quota {
    /// Quota without limits.
    pub const UNLIMITED: Quota =
        Quota { requests_per_s: f64::INFINITY, prompt_tokens_per_s: f64::INFINITY, max_open: usize::MAX };

    fn is_valid(&self) -> bool {
        self.requests_per_s >= 0.0 && self.prompt_tokens_per_s >= 0.0
    }
}

/// Tenant with its keys, permissions and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique among the tenants.
    pub name: String,
    /// Hashes of the tenant's keys.
    pub keys: Vec<KeyHash>,
    /// Model routes that the tenant may use. `None` if it may use all.
    pub routes: Option<BTreeSet<String>>,
    /// Quota of the tenant.
    pub quota: Quota,
    /// Weight relative to other tenants in fair admission.
    pub weight: f64,
    /// Group whose quota the tenant shares. `None` if it belongs to no group.
    pub group: Option<String>,
    /// Start of the validity period, in seconds since 1970.
    pub valid_from: f64,
    /// End of the validity period, in seconds since 1970.
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

/// Reason why an entry, or one of its keys, is left out. The first string is the name of the entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// The name is empty, too long, or used by another entry.
    #[error("tenant {0:?}: its name is empty, too long or not unique")]
    InvalidName(String),
    /// The quota, the weight or the validity period is not valid.
    #[error("tenant {0:?}: its quota, weight or validity is not valid")]
    InvalidValues(String),
    /// The entry has too many keys or routes, or there are too many tenants.
    #[error("tenant {0:?}: too many keys, routes or tenants")]
    TooMany(String),
    /// Two tenants have the same key. It is valid for neither of them.
    #[error("tenants {0:?} and {1:?} have the same key")]
    SharedKey(String, String),
}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No tenant has the key.
    UnknownKey,
    /// The tenant's validity period has not begun or has ended.
    OutsideValidity,
    /// The tenant may not use the route.
    RouteNotAllowed,
}

/// Immutable version of all tenants.
#[derive(Debug, Default)]
pub struct Permissions {
    /// Number of the version.
    pub version: u64,
    tenants: Vec<Rc<Tenant>>,
    by_key: BTreeMap<KeyHash, usize>,
    by_name: BTreeMap<String, usize>,
    /// Quotas of groups, by name.
    pub groups: BTreeMap<String, Quota>,
}

impl Permissions {
    /// Builds a version from its entries. Entries that are not valid are left out, each with an error; the
    /// others are kept.
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
        // A shared key does not identify one tenant.
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

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the tenant with an index that [`Permissions::authorize`] returned.
    pub fn get(&self, index: usize) -> Option<&Rc<Tenant>> {
        self.tenants.get(index)
    }

    /// Returns the tenant with this name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.get(*self.by_name.get(name)?)
    }

    /// Returns the index of the tenant that has this key, if it may use the route now.
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

/// Names of the tenants to which the keys belong.
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

/// Policy for serving the last known tenants after their source was lost: unchanged for `serve_stale_s`, then
/// with halved quotas for the same time again, then no new requests are admitted.
#[derive(Clone, Copy, Debug)]
pub struct StalePolicy {
    /// Duration of each of the two stages.
    pub serve_stale_s: f64,
}

/// State of the source of the tenants, which decides how requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SourceState {
    /// The source is connected.
    Connected,
    /// The source is lost. The last known tenants are served unchanged.
    Stale {
        /// Time at which the next stage begins.
        until: f64,
    },
    /// The source is lost. Quotas are halved.
    HalvedQuotas {
        /// Time at which the next stage begins.
        until: f64,
    },
    /// The source is lost. No new requests are admitted.
    Closed,
}

impl StalePolicy {
    /// Returns the state of the source. `confirmed_at` is the time at which the source last confirmed the
    /// known tenants, by a monotonic clock.
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
