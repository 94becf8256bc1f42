//! Generations of key, certificate chain and trust bundle. New key material is checked as a whole before it
//! comes into force; if it is refused, the generation in force stays.

pub use super::key_check::{Certificate, KeyMaterial, KeyMaterialError};

/// Remaining validity of the leaf certificate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity {
    /// There is no own certificate.
    None,
    /// The certificate expires later than the first warning step.
    Valid {
        /// Seconds until it expires.
        remaining_s: f64,
    },
    /// The certificate expires within the first warning step.
    Expiring {
        /// Seconds until it expires.
        remaining_s: f64,
    },
    /// The certificate has expired. It is still presented: the peer verifies it, and our own clock may be the
    /// wrong one.
    Expired {
        /// Seconds since it expired.
        since_s: f64,
    },
}

/// Warning for operators, issued once for each warning step passed.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The leaf certificate expires soon.
    Expires {
        /// Subject of the certificate.
        subject: String,
        /// Seconds until it expires.
        remaining_s: f64,
    },
    /// The leaf certificate has expired.
    Expired {
        /// Subject of the certificate.
        subject: String,
    },
    /// A trusted root expires soon.
    RootExpires {
        /// Subject of the root.
        subject: String,
        /// Seconds until it expires.
        remaining_s: f64,
    },
    /// The overlap of roots that a new bundle omitted has ended: they are no longer trusted.
    OverlapEnded {
        /// Number of these roots.
        roots: usize,
    },
}

const HOUR_S: f64 = 3_600.0;
const DAY_S: f64 = 86_400.0;
/// Remaining lifetimes at which a warning is issued.
const WARNING_STEPS_S: [f64; 4] = [30.0 * DAY_S, 7.0 * DAY_S, DAY_S, HOUR_S];
/// Maximum time between two checks.
const MAX_CHECK_INTERVAL_S: f64 = HOUR_S;
/// Maximum number of trusted roots, including those in their overlap.
const MAX_ROOTS: usize = 512;

/// Root of an earlier bundle that is still trusted during its overlap.
#[derive(Clone, Debug)]
pub struct RetiringRoot {
    /// Certificate of the root.
    pub certificate: Certificate,
    /// Time from which the root is no longer trusted.
    pub trusted_until: f64,
}

/// Generation of key material.
#[derive(Clone, Debug)]
pub struct KeyGeneration {
    /// Number of the generation, from 1.
    pub number: u64,
    /// Key material of the generation.
    pub material: KeyMaterial,
    /// Roots of earlier bundles in their overlap.
    pub retiring_roots: Vec<RetiringRoot>,
    /// Number of warning steps already passed.
    warned_steps: usize,
    warned_of_expiry: bool,
}

/// Key material of a TLS client or server: the generation in force, the last refusal, and the warnings that
/// are due.
pub struct Keyring {
    current: Option<KeyGeneration>,
    overlap_s: f64,
    needs_trust: bool,
    last_number: u64,
    refusal: Option<KeyMaterialError>,
}

impl Keyring {
    /// Creates a keyring without a generation. `overlap_s` is the time for which roots that a new bundle
    /// omits stay trusted. `needs_trust` tells whether the peer is verified.
    pub fn new(overlap_s: f64, needs_trust: bool) -> Self {
        Keyring { current: None, overlap_s, needs_trust, last_number: 0, refusal: None }
    }

    /// Returns the generation in force. `None` before the first valid material.
    pub fn current(&self) -> Option<&KeyGeneration> {
        self.current.as_ref()
    }

    /// Returns why the newest material was refused. `None` if it is in force.
    pub fn refusal(&self) -> Option<&KeyMaterialError> {
        self.refusal.as_ref()
    }

    /// Puts new material into force, or refuses it and keeps the generation in force. Returns `Ok(false)` if
    /// the material is that of the generation in force.
    pub fn offer(&mut self, now: f64, material: KeyMaterial) -> Result<bool, KeyMaterialError> {
        self.refusal = None;
        if self.current.as_ref().is_some_and(|current| current.material.digest == material.digest) {
            return Ok(false);
        }
        if let Err(error) = material.check(now, self.needs_trust) {
            self.refusal = Some(error.clone());
            return Err(error);
        }
        self.last_number += 1;
        let previous = self.current.take();
        let retiring_roots =
            previous.map_or_else(Vec::new, |previous| self.retire_roots(now, previous, &material));
        let warned_steps = material.chain.first().map_or(0, |leaf| passed_steps(now, leaf));
        self.current = Some(KeyGeneration {
            number: self.last_number,
            material,
            retiring_roots,
            warned_steps,
            warned_of_expiry: false,
        });
        Ok(true)
    }

    /// Returns the roots of the previous generation that the new bundle omits; they stay trusted for their
    /// overlap. A root that an earlier bundle already omitted keeps its earlier end.
    fn retire_roots(&self, now: f64, previous: KeyGeneration, next: &KeyMaterial) -> Vec<RetiringRoot> {
        let trusted_until = now + self.overlap_s;
        let newly_retired = previous.material.roots.into_iter();
        let newly_retired = newly_retired.map(|certificate| RetiringRoot { certificate, trusted_until });
        let is_in_bundle = |root: &RetiringRoot| next.roots.iter().any(|new| new.id == root.certificate.id);
        let mut retiring: Vec<RetiringRoot> = newly_retired
            .chain(previous.retiring_roots)
            .filter(|root| root.trusted_until > now && !is_in_bundle(root))
            .collect();
        retiring.sort_by(|x, y| {
            let by_id = x.certificate.id.cmp(&y.certificate.id);
            by_id.then(x.trusted_until.total_cmp(&y.trusted_until))
        });
        retiring.dedup_by(|x, y| x.certificate.id == y.certificate.id);
        retiring.truncate(MAX_ROOTS.saturating_sub(next.roots.len()));
        retiring
    }

    /// Returns the remaining validity of the leaf certificate in force.
    pub fn validity(&self, now: f64) -> Validity {
        let leaf = self.current.as_ref().and_then(|current| current.material.chain.first());
        match leaf.map(|leaf| leaf.not_after - now) {
            None => Validity::None,
            Some(remaining_s) if remaining_s <= 0.0 => Validity::Expired { since_s: -remaining_s },
            Some(remaining_s) if remaining_s <= WARNING_STEPS_S[0] => Validity::Expiring { remaining_s },
            Some(remaining_s) => Validity::Valid { remaining_s },
        }
    }

    /// Returns the digests of the roots trusted now: those of the bundle, and earlier ones in their overlap.
    pub fn roots(&self, now: f64) -> Vec<[u8; 32]> {
        let Some(current) = &self.current else { return Vec::new() };
        let retiring = current.retiring_roots.iter().filter(|root| root.trusted_until > now);
        let bundle = current.material.roots.iter().map(|root| root.id);
        bundle.chain(retiring.map(|root| root.certificate.id)).collect()
    }

    /// Returns the warnings that are due, and the time at which to poll again. After [`Notice::OverlapEnded`]
    /// the caller must rebuild its root store.
    pub fn poll_notices(&mut self, now: f64) -> (Vec<Notice>, f64) {
        let mut notices = Vec::new();
        let mut poll_at = now + MAX_CHECK_INTERVAL_S;
        let Some(current) = &mut self.current else { return (notices, poll_at) };
        current.check_leaf(now, &mut notices, &mut poll_at);
        current.check_roots(now, &mut notices);
        current.end_overlaps(now, &mut notices, &mut poll_at);
        (notices, poll_at)
    }
}

impl KeyGeneration {
    fn check_leaf(&mut self, now: f64, notices: &mut Vec<Notice>, poll_at: &mut f64) {
        let Some(leaf) = self.material.chain.first() else { return };
        let passed = passed_steps(now, leaf);
        let remaining_s = leaf.not_after - now;
        if passed > self.warned_steps && remaining_s > 0.0 {
            notices.push(Notice::Expires { subject: leaf.subject.clone(), remaining_s });
        }
        self.warned_steps = self.warned_steps.max(passed);
        if remaining_s <= 0.0 && !self.warned_of_expiry {
            self.warned_of_expiry = true;
            notices.push(Notice::Expired { subject: leaf.subject.clone() });
        }
        let steps = WARNING_STEPS_S.iter().chain([&0.0]);
        let next_steps = steps.map(|step_s| leaf.not_after - step_s).filter(|&at| at > now);
        *poll_at = next_steps.fold(*poll_at, f64::min);
    }

    fn check_roots(&self, now: f64, notices: &mut Vec<Notice>) {
        for root in &self.material.roots {
            let remaining_s = root.not_after - now;
            if remaining_s > 0.0 && remaining_s <= WARNING_STEPS_S[0] && is_daily_warning(remaining_s) {
                notices.push(Notice::RootExpires { subject: root.subject.clone(), remaining_s });
            }
        }
    }

    fn end_overlaps(&mut self, now: f64, notices: &mut Vec<Notice>, poll_at: &mut f64) {
        let before = self.retiring_roots.len();
        self.retiring_roots.retain(|root| root.trusted_until > now);
        let ended = before - self.retiring_roots.len();
        if ended > 0 {
            notices.push(Notice::OverlapEnded { roots: ended });
        }
        *poll_at = self.retiring_roots.iter().map(|root| root.trusted_until).fold(*poll_at, f64::min);
    }
}

fn passed_steps(now: f64, certificate: &Certificate) -> usize {
    WARNING_STEPS_S.iter().filter(|&&step_s| certificate.not_after - now <= step_s).count()
}

/// Returns whether the time left is within the first hour of a remaining whole day. An expiring root is not
/// urgent enough for hourly warnings.
fn is_daily_warning(remaining_s: f64) -> bool {
    remaining_s % DAY_S > DAY_S - HOUR_S
}

#[cfg(test)]
#[path = "generation_tests.rs"]
mod tests;
