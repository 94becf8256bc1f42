//! Grants for KV cache states: a decode engine may fetch a state only with a grant from a node. Each grant is
//! valid for one use until it expires. Grants are authenticated with keyed BLAKE3; during a key rotation
//! several keys are valid at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use zeroize::Zeroize;

/// Context string of the key derivation, which separates these keys from others derived from the same secret.
/// It is part of the wire format.
const KEY_CONTEXT: &str = "nickelgw state tickets v1";
/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum number of used grants that are remembered. Each is remembered until its expiry.
const MAX_USED_GRANTS: usize = 65_536;

/// A secret key that authenticates grants, and its public number.
#[derive(Clone)]
pub struct GrantKey {
    /// Number that identifies the key in the grants made with it.
    pub number: u32,
    secret: [u8; 32],
}

impl GrantKey {
    /// Derives the key from the secret in the settings. `None` if the secret is shorter than 16 bytes.
    pub fn of(number: u32, secret: &str) -> Option<GrantKey> {
        (secret.len() >= MIN_SECRET_BYTES)
            .then(|| GrantKey { number, secret: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) })
    }

    fn authentication_code(&self, claims: &GrantClaims, expires_at_ms: u64) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for claim in [claims.reservation, claims.prefill_engine, claims.decode_engine] {
            // The length before each claim ensures that no two sets of claims hash the same bytes.
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

/// Content of a grant: which engine may fetch which state, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantClaims<'a> {
    /// Name of the reservation, which also names the state.
    pub reservation: &'a str,
    /// Engine that holds the state.
    pub prefill_engine: &'a str,
    /// Engine that may fetch the state.
    pub decode_engine: &'a str,
    /// Expiry of the grant, as Unix time in seconds.
    pub expires_at: f64,
}

/// Reason why a grant is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// The text does not have the form of a grant.
    #[error("malformed grant")]
    Malformed,
    /// The grant names a key that this checker does not accept.
    #[error("grant of an unknown key")]
    UnknownKey,
    /// The authentication code does not match: the grant was altered or forged, or is for another state or
    /// engine.
    #[error("altered grant")]
    Altered,
    /// The grant has expired.
    #[error("expired grant")]
    Expired,
    /// The grant was used before.
    #[error("replayed grant")]
    Replayed,
}

/// Creates a grant of the form `KEY.EXPIRY.CODE`: the number of the key, the expiry in Unix milliseconds, and
/// the authentication code as 64 hexadecimal digits.
pub fn grant(key: &GrantKey, claims: &GrantClaims) -> String {
    let expires_at_ms = to_ms(claims.expires_at);
    let code = key.authentication_code(claims, expires_at_ms);
    format!("{}.{expires_at_ms}.{}", key.number, code.to_hex())
}

/// Fields of a grant, parsed from its text.
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
    /// Creates a checker that accepts grants made with any of these keys.
    pub fn new(keys: impl IntoIterator<Item = GrantKey>) -> Self {
        GrantChecker { keys: by_number(keys), used: UsedGrants::default() }
    }

    /// Replaces the set of keys. During a rotation it contains the old key and the new one. Grants made with
    /// a key that is no longer in the set are rejected from now on.
    pub fn rotate(&mut self, keys: impl IntoIterator<Item = GrantKey>) {
        self.keys = by_number(keys);
    }

    /// Checks the grant that came with a request for a state, and marks it as used. `now` is Unix time in
    /// seconds. `claims.expires_at` is ignored, because the grant itself contains the expiry.
    pub fn check(&mut self, now: f64, text: &str, claims: &GrantClaims) -> Result<(), GrantError> {
        let grant = ParsedGrant::parse(text).ok_or(GrantError::Malformed)?;
        let key = self.keys.get(&grant.key_number).ok_or(GrantError::UnknownKey)?;
        // `blake3::Hash` compares in constant time.
        if key.authentication_code(claims, grant.expires_at_ms) != grant.code {
            return Err(GrantError::Altered);
        }
        let now_ms = to_ms(now);
        if now_ms > grant.expires_at_ms {
            return Err(GrantError::Expired);
        }
        self.used.insert(now_ms, &grant)
    }

    /// Number of used grants that are remembered.
    pub fn remembered(&self) -> usize {
        self.used.by_arrival.len()
    }
}

/// Authentication codes of grants that were used and have not expired yet.
#[derive(Default)]
struct UsedGrants {
    codes: BTreeSet<[u8; 32]>,
    /// Expiry in Unix milliseconds and code of each grant, in the order of use.
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
