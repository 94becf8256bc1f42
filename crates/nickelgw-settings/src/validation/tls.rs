//! Validation of keys and certificates: grants for KV cache states, and TLS to engines and clients.

use super::{Section, Validator};
use crate::proto::{EngineTls, GrantKey, Node, StateGrants};

/// Minimum length of a grant key's secret, as shorter secrets can be guessed.
const MIN_GRANT_SECRET_BYTES: usize = 16;

impl Validator<'_> {
    pub(super) fn state_grants(&mut self, grants: Option<&StateGrants>) {
        let Some(grants) = grants else { return };
        let mut section = self.section("state_grants");
        if grants.key.is_empty() {
            section.report("key", "is missing", "at least one key");
        }
        section.above_zero("lifetime_ms", grants.lifetime_ms());
        for (index, key) in grants.key.iter().enumerate() {
            grant_key(&mut section.section(("key", index)), key, &grants.key[..index]);
        }
    }

    pub(super) fn tls(&mut self, node: &Node) {
        if let Some(tls) = &node.engine_tls {
            engine_tls(&mut self.section("engine_tls"), tls);
        }
        if let Some(tls) = &node.chat_tls {
            let mut section = self.section("chat_tls");
            section.not_empty("chain", &tls.chain);
            section.not_empty("key", &tls.key);
        }
    }
}

fn grant_key(section: &mut Section, key: &GrantKey, earlier: &[GrantKey]) {
    if key.secret.len() < MIN_GRANT_SECRET_BYTES {
        // The secret itself is not shown.
        section.report("secret", "is too short", "16 bytes or more");
    }
    if earlier.iter().any(|other| other.number == key.number) {
        section.report("number", format!("{} is given more than once", key.number), "each number once");
    }
    if earlier.last().is_some_and(|previous| previous.sign_from() > key.sign_from()) {
        section.report("sign_from", "is before that of the preceding key", "keys in the order of sign_from");
    }
}

fn engine_tls(section: &mut Section, tls: &EngineTls) {
    section.not_empty("trust", &tls.trust);
    if tls.chain.is_some() != tls.key.is_some() {
        section.report("chain", "only one of chain and key is given", "both, or neither");
    }
    section.not_negative("trust_overlap_ms", tls.trust_overlap_ms());
    section.above_zero("reload_ms", tls.reload_ms());
    section.not_negative("retire_gap_ms", tls.retire_gap_ms());
    section.above_zero("handshakes_at_once", f64::from(tls.handshakes_at_once()));
    section.above_zero("handshakes_at_once_engine", f64::from(tls.handshakes_at_once_engine()));
    if tls.handshakes_at_once_engine() > tls.handshakes_at_once() {
        let found = format!(
            "is {}, above handshakes_at_once ({})",
            tls.handshakes_at_once_engine(),
            tls.handshakes_at_once()
        );
        section.report("handshakes_at_once_engine", found, "handshakes_at_once or less");
    }
}
