//! Tickets for held states: a writer may fetch only what a node granted it, not altered, not expired, once.
//! Keyed BLAKE3 over what is granted; two keys are good at once while they rotate.

use std::collections::{BTreeMap, VecDeque};
use zeroize::Zeroize;

/// A key and its public number.
#[derive(Clone)]
pub struct GrantKey {
    pub number: u32,
    secret: [u8; 32],
}

impl GrantKey {
    /// The secret as the settings give it; any length above 16 bytes.
    pub fn of(number: u32, secret: &str) -> Option<GrantKey> {
        (secret.len() >= 16).then(|| GrantKey {
            number,
            secret: blake3::derive_key("nickelgw state tickets v1", secret.as_bytes()),
        })
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
    pub reservation: &'a str,
    pub prefill_engine: &'a str,
    pub decode_engine: &'a str,
    /// Seconds since 1970.
    pub expires_at: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantError {
    /// Not of the form that tickets have.
    Malformed,
    UnknownKey,
    /// The code does not fit: altered, forged, for another state, reader or writer.
    Altered,
    Expired,
    /// Used before.
    Replayed,
}

fn code(key: &GrantKey, g: &GrantClaims, until_ms: u64) -> blake3::Hash {
    let mut h = blake3::Hasher::new_keyed(&key.secret);
    for part in [g.reservation, g.prefill_engine, g.decode_engine] {
        // Lengths first: no two grants have the same bytes.
        h.update(&(part.len() as u64).to_le_bytes()).update(part.as_bytes());
    }
    h.update(&until_ms.to_le_bytes()).update(&key.number.to_le_bytes());
    h.finalize()
}

/// `KEY.UNTIL.CODE`: key number, milliseconds since 1970, 64 hex digits.
pub fn grant(key: &GrantKey, g: &GrantClaims) -> String {
    let until_ms = (g.expires_at.max(0.0) * 1e3) as u64;
    format!("{}.{until_ms}.{}", key.number, code(key, g, until_ms).to_hex())
}

/// Tickets used are remembered until they would have expired, these many at most.
const MOST_USED: usize = 65_536;

/// The reader's side.
pub struct GrantChecker {
    keys: BTreeMap<u32, GrantKey>,
    used: BTreeMap<[u8; 32], ()>,
    order: VecDeque<(u64, [u8; 32])>,
}

impl GrantChecker {
    pub fn new(keys: impl IntoIterator<Item = GrantKey>) -> Self {
        let keys = keys.into_iter().map(|k| (k.number, k)).collect();
        GrantChecker { keys, used: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Old and new keys are both good while they rotate; tickets of one left out are refused from now on.
    pub fn rotate(&mut self, keys: impl IntoIterator<Item = GrantKey>) {
        self.keys = keys.into_iter().map(|k| (k.number, k)).collect();
    }

    /// Looks at a ticket that came for a state, and marks it as used. `now` in seconds since 1970; `g.until` counts
    /// for nothing, the ticket's own is read.
    pub fn check(&mut self, now: f64, ticket: &str, g: &GrantClaims) -> Result<(), GrantError> {
        let mut parts = ticket.splitn(3, '.');
        let (number, until, mac) = (parts.next(), parts.next(), parts.next());
        let number: u32 = number.and_then(|n| n.parse().ok()).ok_or(GrantError::Malformed)?;
        let until_ms: u64 = until.and_then(|n| n.parse().ok()).ok_or(GrantError::Malformed)?;
        let mac = mac.and_then(|m| blake3::Hash::from_hex(m).ok()).ok_or(GrantError::Malformed)?;
        let key = self.keys.get(&number).ok_or(GrantError::UnknownKey)?;
        // Compared in constant time, as `Hash` does.
        if code(key, g, until_ms) != mac {
            return Err(GrantError::Altered);
        }
        let now_ms = (now.max(0.0) * 1e3) as u64;
        if now_ms > until_ms {
            return Err(GrantError::Expired);
        }
        while let Some(&(end, old)) = self.order.front() {
            if end >= now_ms && self.order.len() < MOST_USED {
                break;
            }
            self.order.pop_front();
            self.used.remove(&old);
        }
        if self.used.insert(*mac.as_bytes(), ()).is_some() {
            return Err(GrantError::Replayed);
        }
        self.order.push_back((until_ms, *mac.as_bytes()));
        Ok(())
    }

    pub fn remembered(&self) -> usize {
        self.order.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn key(n: u32) -> GrantKey {
        GrantKey::of(n, &format!("a secret of some length {n}")).unwrap()
    }

    const G: GrantClaims =
        GrantClaims { reservation: "s1", prefill_engine: "r1", decode_engine: "w1", expires_at: 100.0 };

    #[test]
    fn a_ticket_is_good_once_for_what_it_was_granted() {
        let mut c = GrantChecker::new([key(1)]);
        let t = grant(&key(1), &G);
        for other in [
            GrantClaims { reservation: "s2", ..G },
            GrantClaims { prefill_engine: "r2", ..G },
            GrantClaims { decode_engine: "w2", ..G },
        ] {
            assert_eq!(c.check(50.0, &t, &other), Err(GrantError::Altered));
        }
        assert_eq!(c.check(50.0, &t, &G), Ok(()));
        assert_eq!(c.check(50.0, &t, &G), Err(GrantError::Replayed));
        assert_eq!(c.check(101.0, &grant(&key(1), &G), &G), Err(GrantError::Expired));
        // Parts moved over a border are another grant.
        let moved = GrantClaims { reservation: "s", prefill_engine: "1r1", ..G };
        assert_eq!(c.check(50.0, &grant(&key(1), &moved), &G), Err(GrantError::Altered));
        assert!(GrantKey::of(1, "short").is_none());
    }

    #[test]
    fn old_and_new_keys_are_good_while_they_rotate() {
        let mut c = GrantChecker::new([key(1)]);
        let (old, new) = (grant(&key(1), &G), grant(&key(2), &GrantClaims { reservation: "s2", ..G }));
        let second = GrantClaims { reservation: "s2", ..G };
        assert_eq!(c.check(1.0, &new, &second), Err(GrantError::UnknownKey));
        c.rotate([key(1), key(2)]);
        assert_eq!((c.check(1.0, &old, &G), c.check(1.0, &new, &second)), (Ok(()), Ok(())));
        c.rotate([key(2)]);
        assert_eq!(c.check(1.0, &grant(&key(1), &G), &G), Err(GrantError::UnknownKey));
    }

    #[test]
    fn used_tickets_are_remembered_no_longer_than_they_live() {
        let mut c = GrantChecker::new([key(1)]);
        for n in 0..100 {
            let g = GrantClaims { expires_at: f64::from(n) + 1.0, ..G };
            assert_eq!(c.check(f64::from(n), &grant(&key(1), &g), &g), Ok(()));
            assert!(c.remembered() <= 3);
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn no_change_to_a_ticket_is_let_through(at in 0usize..90, to in any::<char>(), junk in ".{0,40}") {
            let t = grant(&key(1), &G);
            let mut chars: Vec<char> = t.chars().collect();
            let n = at % chars.len();
            let same = chars[n].eq_ignore_ascii_case(&to);
            chars[n] = to;
            let mut c = GrantChecker::new([key(1)]);
            if !same {
                prop_assert!(c.check(1.0, &chars.iter().collect::<String>(), &G).is_err());
            }
            prop_assert!(c.check(1.0, &junk, &G).is_err());
        }
    }
}
