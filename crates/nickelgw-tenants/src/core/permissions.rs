//! Tenants, their keys and rights, as one whole version: a request sees the same from start to end. Keys are kept as
//! keyed hashes only; two of a tenant are good at once while they rotate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use zeroize::Zeroize;

/// Longest names and most keys that are taken; what is over it is a problem of the entry, not of the others.
pub const LONGEST_NAME: usize = 128;
pub const MOST_KEYS: usize = 2;
pub const MOST_ROUTES: usize = 256;

/// With which keys are hashed: the same at every node, and another for each deployment.
#[derive(Clone)]
pub struct Pepper([u8; 32]);

impl Pepper {
    pub fn of(secret: &str) -> Option<Pepper> {
        (secret.len() >= 16).then(|| Pepper(blake3::derive_key("nickelgw tenant keys v1", secret.as_bytes())))
    }

    /// Of equal length for all keys, so that looking it up tells nothing of the key itself.
    pub fn hash(&self, key: &str) -> KeyHash {
        KeyHash(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

impl Drop for Pepper {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a key")
    }
}

/// What one may use in a second, over all nodes; infinite: not limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub inferences_per_s: f64,
    pub prompt_tokens_per_s: f64,
    pub most_open: usize,
}

impl Quota {
    pub const NONE: Quota =
        Quota { inferences_per_s: f64::INFINITY, prompt_tokens_per_s: f64::INFINITY, most_open: usize::MAX };

    fn is_sound(&self) -> bool {
        self.inferences_per_s >= 0.0 && self.prompt_tokens_per_s >= 0.0
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub keys: Vec<KeyHash>,
    /// Model routes that it may use; none: all.
    pub routes: Option<BTreeSet<String>>,
    pub quota: Quota,
    /// Its part beside others when there is not enough for all.
    pub weight: f64,
    pub group: Option<String>,
    /// Unix times between which it is good.
    pub from: f64,
    pub until: f64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Its name is missing, too long, or another entry's too.
    Name(String),
    /// Quota, weight or dates that mean nothing.
    Figures(String),
    TooMany(String),
    /// A key of two tenants is good for neither.
    SharedKey(String, String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    UnknownKey,
    NotYetOrNoMore,
    Route,
}

/// A version of all tenants.
#[derive(Debug, Default)]
pub struct Rights {
    pub version: u64,
    tenants: Vec<Rc<Tenant>>,
    by_key: BTreeMap<KeyHash, usize>,
    by_name: BTreeMap<String, usize>,
    pub groups: BTreeMap<String, Quota>,
}

impl Rights {
    /// Entries that are not sound are left out, each with its problem; the others stand.
    pub fn of(
        version: u64,
        entries: Vec<Tenant>,
        groups: BTreeMap<String, Quota>,
        most: usize,
    ) -> (Rights, Vec<Problem>) {
        let mut problems = Vec::new();
        let mut r = Rights { version, groups, ..Rights::default() };
        let mut owners: BTreeMap<KeyHash, String> = BTreeMap::new();
        let mut shared: BTreeSet<KeyHash> = BTreeSet::new();
        for t in entries {
            let name = t.name.clone();
            if name.is_empty() || name.len() > LONGEST_NAME || r.by_name.contains_key(&name) {
                problems.push(Problem::Name(name.chars().take(LONGEST_NAME).collect()));
                continue;
            }
            let sound = t.quota.is_sound() && t.weight > 0.0 && t.weight.is_finite() && t.from < t.until;
            if !sound {
                problems.push(Problem::Figures(name));
                continue;
            }
            let routes = t.routes.as_ref().map_or(0, BTreeSet::len);
            if r.tenants.len() >= most || t.keys.len() > MOST_KEYS || routes > MOST_ROUTES {
                problems.push(Problem::TooMany(name));
                continue;
            }
            let at = r.tenants.len();
            for k in &t.keys {
                match owners.insert(*k, name.clone()) {
                    Some(other) if other != name => {
                        problems.push(Problem::SharedKey(other, name.clone()));
                        shared.insert(*k);
                    }
                    _ => drop(r.by_key.insert(*k, at)),
                }
            }
            r.by_name.insert(name, at);
            r.tenants.push(Rc::new(t));
        }
        // Whoever shows it cannot be told apart.
        r.by_key.retain(|k, _| !shared.contains(k));
        (r, problems)
    }

    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    pub fn get(&self, index: usize) -> Option<&Rc<Tenant>> {
        self.tenants.get(index)
    }

    pub fn named(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.get(*self.by_name.get(name)?)
    }

    /// Who shows this key, and whether it may use the route now.
    pub fn admit(&self, now_unix_s: f64, key: KeyHash, route: &str) -> Result<usize, Denied> {
        let at = *self.by_key.get(&key).ok_or(Denied::UnknownKey)?;
        let t = &self.tenants[at];
        if now_unix_s < t.from || now_unix_s >= t.until {
            return Err(Denied::NotYetOrNoMore);
        }
        match t.routes.as_ref().is_none_or(|r| r.contains(route)) {
            true => Ok(at),
            false => Err(Denied::Route),
        }
    }
}

/// How long the last known tenants are served once their source is lost, and what is closed then.
#[derive(Clone, Copy, Debug)]
pub struct Closing {
    /// As known for so long; then quotas are halved for as long again; then nothing new is taken.
    pub serve_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Fresh,
    /// The source is lost; until when all goes on.
    Stale {
        until: f64,
    },
    Halved {
        until: f64,
    },
    Closed,
}

impl Closing {
    /// `heard`: when the source last confirmed what is known. By a clock that does not step.
    pub fn stage(&self, now: f64, heard: f64, lost: bool) -> Stage {
        let age = (now - heard).max(0.0);
        match lost {
            false => Stage::Fresh,
            true if age < self.serve_s => Stage::Stale { until: heard + self.serve_s },
            true if age < 2.0 * self.serve_s => Stage::Halved { until: heard + 2.0 * self.serve_s },
            true => Stage::Closed,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pepper() -> Pepper {
        Pepper::of("the secret of a deployment").unwrap()
    }

    fn tenant(name: &str, keys: &[&str]) -> Tenant {
        Tenant {
            name: name.into(),
            keys: keys.iter().map(|k| pepper().hash(k)).collect(),
            routes: Some(["chat".to_string()].into()),
            quota: Quota::NONE,
            weight: 1.0,
            group: None,
            from: 100.0,
            until: 200.0,
        }
    }

    #[test]
    fn who_is_known_comes_in_for_what_it_may_use_while_it_may() {
        let entries = vec![tenant("a", &["old", "new"]), tenant("b", &["other"])];
        let (r, problems) = Rights::of(7, entries, BTreeMap::new(), 10);
        let ask = |at, key: &str, route| r.admit(at, pepper().hash(key), route);
        assert!(problems.is_empty());
        assert_eq!(
            (ask(150.0, "old", "chat"), ask(150.0, "new", "chat"), ask(150.0, "other", "chat")),
            (Ok(0), Ok(0), Ok(1))
        );
        assert_eq!(ask(150.0, "guess", "chat"), Err(Denied::UnknownKey));
        assert_eq!(ask(150.0, "old", "booking"), Err(Denied::Route));
        assert_eq!(
            (ask(99.0, "old", "chat"), ask(200.0, "old", "chat")),
            (Err(Denied::NotYetOrNoMore), Err(Denied::NotYetOrNoMore))
        );
        // Of another deployment, the same key is unknown.
        let other = Pepper::of("the secret of another one").unwrap();
        assert_eq!(r.admit(150.0, other.hash("old"), "chat"), Err(Denied::UnknownKey));
        assert!(!format!("{r:?}").contains("old") && Pepper::of("short").is_none());
    }

    #[test]
    fn entries_that_are_not_sound_harm_no_other() {
        let mut bad = tenant("c", &["k3"]);
        bad.quota.inferences_per_s = f64::NAN;
        let entries = vec![
            tenant("a", &["k1", "shared"]),
            tenant("b", &["k2", "shared"]),
            tenant("a", &["k9"]),
            bad,
            tenant("d", &["x", "y", "z"]),
            tenant("e", &["k5"]),
        ];
        let (r, problems) = Rights::of(1, entries, BTreeMap::new(), 10);
        let ask = |key: &str| r.admit(150.0, pepper().hash(key), "chat");
        assert_eq!((ask("k1"), ask("k2"), ask("k5")), (Ok(0), Ok(1), Ok(2)));
        for gone in ["shared", "k9", "k3", "x"] {
            assert_eq!(ask(gone), Err(Denied::UnknownKey), "{gone}");
        }
        assert_eq!(problems.len(), 4);
        assert!(problems.contains(&Problem::SharedKey("a".into(), "b".into())));
    }

    #[test]
    fn a_lost_source_closes_stage_by_stage() {
        let c = Closing { serve_s: 600.0 };
        assert_eq!(c.stage(5000.0, 0.0, false), Stage::Fresh);
        assert_eq!(c.stage(599.0, 0.0, true), Stage::Stale { until: 600.0 });
        assert_eq!(c.stage(600.0, 0.0, true), Stage::Halved { until: 1200.0 });
        assert_eq!(c.stage(1200.0, 0.0, true), Stage::Closed);
    }
}
