//! Generations of key, chain and trust. A new one is checked whole before it is used; refused, the old one stays.

use std::fmt;

/// What is known of a certificate. Times are seconds since 1970.
#[derive(Clone, Debug, PartialEq)]
pub struct Cert {
    /// Digest of its bytes: two are the same if these are.
    pub id: [u8; 32],
    pub subject: String,
    pub issuer: String,
    pub not_before: f64,
    pub not_after: f64,
    /// DNS names and addresses it stands for.
    pub names: Vec<String>,
    pub is_ca: bool,
    /// Whether its signature is that of the next one's key in the chain, or (the last one's) of a trusted root's;
    /// `None` where no issuer was found.
    pub signed: Option<bool>,
}

/// What was read from the files, all of it from one reading.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyMaterial {
    /// Leaf first; empty where no certificate of one's own is used.
    pub chain: Vec<Cert>,
    /// Whether the key fits the leaf; `None` without a key.
    pub key_fits: Option<bool>,
    pub key_open_to_others: bool,
    /// Trusted roots; empty where nobody is verified.
    pub roots: Vec<Cert>,
    /// Digest of all files: a reading that changes nothing is no new generation.
    pub digest: [u8; 32],
}

#[derive(Clone, Debug, PartialEq)]
pub enum KeyMaterialError {
    /// A chain without its key, or a key without its chain.
    Half,
    KeyDoesNotFit,
    KeyOpenToOthers,
    Expired {
        subject: String,
        since_s: f64,
    },
    NotYetValid {
        subject: String,
        in_s: f64,
    },
    BrokenChain {
        subject: String,
    },
    NoNames {
        subject: String,
    },
    NotAnAuthority {
        subject: String,
    },
    NoTrust,
}

impl fmt::Display for KeyMaterialError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            KeyMaterialError::Half => write!(f, "a key and a chain belong together, one of them is missing"),
            KeyMaterialError::KeyDoesNotFit => {
                write!(f, "the key does not fit the certificate: rotated by half?")
            }
            KeyMaterialError::KeyOpenToOthers => {
                write!(f, "the key's file can be read by others; wanted: mode 0600")
            }
            KeyMaterialError::Expired { subject, since_s } => write!(f, "{subject} ended {since_s:.0} s ago"),
            KeyMaterialError::NotYetValid { subject, in_s } => {
                write!(f, "{subject} begins in {in_s:.0} s only")
            }
            KeyMaterialError::BrokenChain { subject } => {
                write!(f, "{subject} is not signed by what follows it")
            }
            KeyMaterialError::NoNames { subject } => write!(f, "{subject} stands for no name"),
            KeyMaterialError::NotAnAuthority { subject } => {
                write!(f, "{subject} is trusted or signs, but is no authority")
            }
            KeyMaterialError::NoTrust => write!(f, "the trust bundle holds no certificate"),
        }
    }
}

/// How long the leaf lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Term {
    /// No certificate of one's own.
    None,
    Fresh {
        left_s: f64,
    },
    Expiring {
        left_s: f64,
    },
    /// It goes on being shown: the other side verifies, and the clock that is wrong may be ours.
    Ended {
        since_s: f64,
    },
}

/// Said once for each step passed.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    Expires {
        subject: String,
        left_s: f64,
    },
    Ended {
        subject: String,
    },
    RootExpires {
        subject: String,
        left_s: f64,
    },
    /// Roots that a bundle had left out are no longer trusted.
    OverlapEnded {
        roots: usize,
    },
}

/// Warnings come when so much is left: 30 days, 7 days, a day, an hour.
const STEPS_S: [f64; 4] = [30.0 * 86_400.0, 7.0 * 86_400.0, 86_400.0, 3_600.0];
/// A certificate may begin so much later than now by our clock: clocks differ.
const SKEW_S: f64 = 60.0;
/// Roots kept at most, old ones in their overlap included.
const MOST_ROOTS: usize = 512;

/// The generation in force.
#[derive(Clone, Debug)]
pub struct KeyGeneration {
    pub number: u64,
    pub material: KeyMaterial,
    /// Roots of earlier bundles, and until when they are trusted too.
    pub old_roots: Vec<(Cert, f64)>,
    /// Steps of expiry already told.
    told: usize,
    ended_told: bool,
}

/// Keys and trust of one side: what is in force, what was refused, what is to be said.
pub struct Keyring {
    now: Option<KeyGeneration>,
    overlap_s: f64,
    needs_trust: bool,
    numbers: u64,
    refused: Option<KeyMaterialError>,
}

impl Keyring {
    /// `overlap_s`: how long roots that a new bundle leaves out stay trusted. `needs_trust`: this side verifies.
    pub fn new(overlap_s: f64, needs_trust: bool) -> Self {
        Keyring { now: None, overlap_s, needs_trust, numbers: 0, refused: None }
    }

    pub fn current(&self) -> Option<&KeyGeneration> {
        self.now.as_ref()
    }

    /// Why the newest files are not in force, if they are not.
    pub fn refusal(&self) -> Option<&KeyMaterialError> {
        self.refused.as_ref()
    }

    /// Takes new material into force, or refuses it and leaves all as it is. `Ok(false)`: nothing is new.
    pub fn offer(&mut self, now: f64, m: KeyMaterial) -> Result<bool, KeyMaterialError> {
        if self.now.as_ref().is_some_and(|g| g.material.digest == m.digest) {
            self.refused = None;
            return Ok(false);
        }
        if let Err(why) = self.check(now, &m) {
            self.refused = Some(why.clone());
            return Err(why);
        }
        self.refused = None;
        self.numbers += 1;
        let mut old_roots = Vec::new();
        if let Some(old) = self.now.take() {
            let until = now + self.overlap_s;
            let before = old.material.roots.into_iter().map(|r| (r, until)).chain(old.old_roots);
            // A root that is back is a root of the new bundle; one that left earlier keeps its earlier end.
            old_roots =
                before.filter(|(r, end)| *end > now && !m.roots.iter().any(|n| n.id == r.id)).collect();
            old_roots.sort_by(|a, b| a.0.id.cmp(&b.0.id).then(a.1.total_cmp(&b.1)));
            old_roots.dedup_by(|a, b| a.0.id == b.0.id);
            old_roots.truncate(MOST_ROOTS.saturating_sub(m.roots.len()));
        }
        let told = m.chain.first().map_or(0, |c| Self::steps(now, c));
        self.now =
            Some(KeyGeneration { number: self.numbers, material: m, old_roots, told, ended_told: false });
        Ok(true)
    }

    fn check(&self, now: f64, m: &KeyMaterial) -> Result<(), KeyMaterialError> {
        match (m.chain.first(), m.key_fits) {
            (None, None) => {}
            (Some(_), Some(true)) => {}
            (Some(_), Some(false)) => return Err(KeyMaterialError::KeyDoesNotFit),
            _ => return Err(KeyMaterialError::Half),
        }
        if m.key_open_to_others {
            return Err(KeyMaterialError::KeyOpenToOthers);
        }
        for (n, c) in m.chain.iter().enumerate() {
            let subject = c.subject.clone();
            if now > c.not_after {
                return Err(KeyMaterialError::Expired { subject, since_s: now - c.not_after });
            }
            if now + SKEW_S < c.not_before {
                return Err(KeyMaterialError::NotYetValid { subject, in_s: c.not_before - now });
            }
            if n > 0 && !c.is_ca {
                return Err(KeyMaterialError::NotAnAuthority { subject });
            }
            if c.signed == Some(false) || (c.signed.is_none() && n + 1 < m.chain.len()) {
                return Err(KeyMaterialError::BrokenChain { subject });
            }
        }
        if let Some(leaf) = m.chain.first().filter(|c| c.names.is_empty()) {
            return Err(KeyMaterialError::NoNames { subject: leaf.subject.clone() });
        }
        if self.needs_trust && m.roots.is_empty() {
            return Err(KeyMaterialError::NoTrust);
        }
        // A bundle may hold ended roots beside good ones, as real bundles do; not only those.
        if let Some(r) = m.roots.iter().find(|r| !r.is_ca) {
            return Err(KeyMaterialError::NotAnAuthority { subject: r.subject.clone() });
        }
        match m.roots.iter().map(|r| r.not_after).reduce(f64::max) {
            Some(last) if last < now => {
                Err(KeyMaterialError::Expired { subject: m.roots[0].subject.clone(), since_s: now - last })
            }
            _ => Ok(()),
        }
    }

    fn steps(now: f64, c: &Cert) -> usize {
        STEPS_S.iter().filter(|&&s| c.not_after - now <= s).count()
    }

    pub fn term(&self, now: f64) -> Term {
        let leaf = self.now.as_ref().and_then(|g| g.material.chain.first());
        match leaf.map(|c| c.not_after - now) {
            None => Term::None,
            Some(left) if left <= 0.0 => Term::Ended { since_s: -left },
            Some(left_s) if left_s <= STEPS_S[0] => Term::Expiring { left_s },
            Some(left_s) => Term::Fresh { left_s },
        }
    }

    /// Roots trusted now: the bundle's, and earlier ones in their overlap.
    pub fn roots(&self, now: f64) -> Vec<[u8; 32]> {
        let Some(g) = &self.now else { return Vec::new() };
        let old = g.old_roots.iter().filter(|r| r.1 > now).map(|r| r.0.id);
        g.material.roots.iter().map(|r| r.id).chain(old).collect()
    }

    /// What is to be said now, and when to look again. After `OverlapEnded` the trust in use is to be made anew.
    pub fn watch(&mut self, now: f64) -> (Vec<Notice>, f64) {
        let mut out = Vec::new();
        let mut again = now + 3_600.0;
        let Some(g) = &mut self.now else { return (out, again) };
        if let Some(leaf) = g.material.chain.first() {
            let passed = Self::steps(now, leaf);
            let left_s = leaf.not_after - now;
            if passed > g.told && left_s > 0.0 {
                out.push(Notice::Expires { subject: leaf.subject.clone(), left_s });
            }
            g.told = g.told.max(passed);
            if left_s <= 0.0 && !g.ended_told {
                g.ended_told = true;
                out.push(Notice::Ended { subject: leaf.subject.clone() });
            }
            let next = STEPS_S.iter().chain([&0.0]).map(|s| leaf.not_after - s).filter(|&at| at > now);
            again = next.fold(again, f64::min);
        }
        for r in &g.material.roots {
            let left_s = r.not_after - now;
            if left_s > 0.0 && left_s <= STEPS_S[0] && passed_today(left_s) {
                out.push(Notice::RootExpires { subject: r.subject.clone(), left_s });
            }
        }
        let before = g.old_roots.len();
        g.old_roots.retain(|r| r.1 > now);
        if g.old_roots.len() < before {
            out.push(Notice::OverlapEnded { roots: before - g.old_roots.len() });
        }
        again = g.old_roots.iter().map(|r| r.1).fold(again, f64::min);
        (out, again)
    }
}

/// Whole days left, told within the first hour of each: a root is not so urgent as to be told hourly.
fn passed_today(left_s: f64) -> bool {
    left_s % 86_400.0 > 86_400.0 - 3_600.0
}

#[cfg(test)]
#[path = "generation_tests.rs"]
mod tests;
