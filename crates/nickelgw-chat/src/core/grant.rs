//! Grants for KV cache states: a decode engine may fetch only a state that a node granted it, unaltered, not expired, and
//! once. A grant is authenticated by keyed BLAKE3; while keys rotate, several are valid at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use zeroize::Zeroize;

/// Separates these keys from others derived from the same secret; part of the wire format.
const KEY_CONTEXT: &str = "nickelgw state tickets v1";
/// Bytes of a secret, at least.
const MIN_SECRET_BYTES: usize = 16;
/// Used grants that are remembered, at most; each is until it would have expired.
const MAX_USED_GRANTS: usize = 65_536;

/// A key and its public number.
#[derive(Clone)]
pub struct GrantKey {
    /// Names the key in the grants that are made with it.
    pub number: u32,
    secret: [u8; 32],
}

impl GrantKey {
    /// Derives the key from the secret in the settings. None: the secret is shorter than 16 bytes.
    pub fn of(number: u32, secret: &str) -> Option<GrantKey> {
        (secret.len() >= MIN_SECRET_BYTES)
            .then(|| GrantKey { number, secret: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) })
    }

    fn authentication_code(&self, claims: &GrantClaims, expires_at_ms: u64) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for claim in [claims.reservation, claims.prefill_engine, claims.decode_engine] {
            // With its length before each claim, no two sets of claims have the same bytes.
            hasher.update(&(claim.len() as u64).to_le_bytes());
            hasher.update(claim.as_bytes());
        }
        hasher.update(&expires_at_ms.to_le_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.finalize()
    }
}

impl Drop for GrantKey {
    fn drop(&mut self) {
        self.secret.zeroize();
    }
}

/// What is granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantClaims<'a> {
    /// Name of the reservation, and so of the state.
    pub reservation: &'a str,
    /// The engine that holds the state.
    pub prefill_engine: &'a str,
    /// The engine that may fetch it.
    pub decode_engine: &'a str,
    /// Unix time, in seconds.
    pub expires_at: f64,
}

/// Why a grant is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// It does not have the form of a grant.
    #[error("malformed grant")]
    Malformed,
    /// The key that it names is not valid here.
    #[error("grant of an unknown key")]
    UnknownKey,
    /// The authentication code does not fit: altered, forged, or for another state or engine.
    #[error("altered grant")]
    Altered,
    /// Its time has passed.
    #[error("expired grant")]
    Expired,
    /// It was used before.
    #[error("replayed grant")]
    Replayed,
}

/// Makes a grant: `KEY.EXPIRY.CODE`, the number of the key, Unix milliseconds, and 64 hexadecimal digits.
pub fn grant(key: &GrantKey, claims: &GrantClaims) -> String {
    let expires_at_ms = to_ms(claims.expires_at);
    let code = key.authentication_code(claims, expires_at_ms);
    format!("{}.{expires_at_ms}.{}", key.number, code.to_hex())
}

/// A grant taken apart.
struct ParsedGrant {
    key_number: u32,
    expires_at_ms: u64,
    code: blake3::Hash,
}

impl ParsedGrant {
    fn parse(text: &str) -> Option<ParsedGrant> {
        let mut parts = text.splitn(3, '.');
        let key_number = parts.next()?.parse().ok()?;
        let expires_at_ms = parts.next()?.parse().ok()?;
        let code = blake3::Hash::from_hex(parts.next()?).ok()?;
        Some(ParsedGrant { key_number, expires_at_ms, code })
    }
}

/// Checks grants at the engine that holds the states.
pub struct GrantChecker {
    keys: BTreeMap<u32, GrantKey>,
    used: UsedGrants,
}

impl GrantChecker {
    /// Accepts grants made with any of these keys.
    pub fn new(keys: impl IntoIterator<Item = GrantKey>) -> Self {
        GrantChecker { keys: by_number(keys), used: UsedGrants::default() }
    }

    /// Replaces the keys. Old and new ones are given together while they rotate; grants of one that is left out are rejected
    /// from now on.
    pub fn rotate(&mut self, keys: impl IntoIterator<Item = GrantKey>) {
        self.keys = by_number(keys);
    }

    /// Checks the grant that came with a request for a state, and marks it as used. `now`: Unix seconds;
    /// `claims.expires_at` is ignored, the expiry is in the grant.
    pub fn check(&mut self, now: f64, text: &str, claims: &GrantClaims) -> Result<(), GrantError> {
        let grant = ParsedGrant::parse(text).ok_or(GrantError::Malformed)?;
        let key = self.keys.get(&grant.key_number).ok_or(GrantError::UnknownKey)?;
        // The comparison of hashes takes constant time.
        if key.authentication_code(claims, grant.expires_at_ms) != grant.code {
            return Err(GrantError::Altered);
        }
        let now_ms = to_ms(now);
        if now_ms > grant.expires_at_ms {
            return Err(GrantError::Expired);
        }
        self.used.insert(now_ms, &grant)
    }

    /// Used grants that are remembered.
    pub fn remembered(&self) -> usize {
        self.used.by_arrival.len()
    }
}

/// Codes of the grants that were used and would not have expired yet.
#[derive(Default)]
struct UsedGrants {
    codes: BTreeSet<[u8; 32]>,
    /// Expiry and code, in the order of use.
    by_arrival: VecDeque<(u64, [u8; 32])>,
}

impl UsedGrants {
    fn insert(&mut self, now_ms: u64, grant: &ParsedGrant) -> Result<(), GrantError> {
        self.make_room(now_ms);
        let code = *grant.code.as_bytes();
        if !self.codes.insert(code) {
            return Err(GrantError::Replayed);
        }
        self.by_arrival.push_back((grant.expires_at_ms, code));
        Ok(())
    }

    fn make_room(&mut self, now_ms: u64) {
        while let Some(&(expires_at_ms, code)) = self.by_arrival.front() {
            if expires_at_ms >= now_ms && self.by_arrival.len() < MAX_USED_GRANTS {
                break;
            }
            self.by_arrival.pop_front();
            self.codes.remove(&code);
        }
    }
}

fn by_number(keys: impl IntoIterator<Item = GrantKey>) -> BTreeMap<u32, GrantKey> {
    keys.into_iter().map(|key| (key.number, key)).collect()
}

fn to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e3) as u64
}

#[cfg(test)]
#[path = "grant_tests.rs"]
mod tests;
