//! Validation of the settings for admission: tenants, limits, idempotency keys and the retry budget.

use super::Validator;
use crate::proto::{Limits, Repeats, Retries, Tenant};
use std::collections::BTreeSet;

/// Minimum length of a tenant's key, as shorter secrets can be guessed.
const MIN_TENANT_KEY_BYTES: usize = 8;
/// Maximum length of the queue of requests that wait for the core.
const MAX_WAITING: u32 = 1024;

impl Validator<'_> {
    pub(super) fn tenants(&mut self, tenants: &[Tenant]) {
        for (index, tenant) in tenants.iter().enumerate() {
            let mut section = self.section(("tenant", index));
            section.not_empty("name", &tenant.name);
            section.above_zero("quota_per_s", tenant.quota_per_s);
            section.above_zero("most_open", tenant.most_open.map_or(1.0, f64::from));
            section.above_zero("weight", tenant.weight());
            if tenant.key.len() < MIN_TENANT_KEY_BYTES {
                section.report("key", "is too short", "a secret of eight bytes or more");
            }
        }
        self.unique("tenant", "name", tenants.iter().map(|tenant| tenant.name.clone()));
        let mut keys = BTreeSet::new();
        for (index, tenant) in tenants.iter().enumerate() {
            if !keys.insert(&tenant.key) {
                // The key itself is not shown.
                self.section(("tenant", index)).report(
                    "key",
                    "is also the key of another tenant",
                    "a different key for each tenant",
                );
            }
        }
    }

    pub(super) fn limits(&mut self, limits: &Limits) {
        let mut section = self.section("limits");
        section.all_above_zero(&[
            ("most_open", f64::from(limits.most_open())),
            ("most_connections", f64::from(limits.most_connections())),
            ("most_waiting", f64::from(limits.most_waiting())),
            ("most_body_bytes", f64::from(limits.most_body_bytes())),
            ("most_prompt_tokens", limits.most_prompt_tokens()),
            ("head_ms", limits.head_ms()),
            ("body_ms", limits.body_ms()),
            ("connect_ms", limits.connect_ms()),
            ("probe_ms", limits.probe_ms()),
            ("idle_connection_ms", limits.idle_connection_ms()),
            ("stream_idle_ms", limits.stream_idle_ms()),
            ("client_stall_ms", limits.client_stall_ms()),
            ("come_back_ms", limits.come_back_ms()),
        ]);
        if limits.most_waiting() > MAX_WAITING {
            section.report("most_waiting", format!("is {}", limits.most_waiting()), "1024 or less");
        }
    }

    pub(super) fn idempotency(&mut self, repeats: &Repeats) {
        let mut section = self.section("repeats");
        section.above_zero("most_entries", f64::from(repeats.most_entries()));
        section.above_zero("most_bytes", repeats.most_bytes() as f64);
        section.above_zero("keep_ms", repeats.keep_ms());
        section.not_negative("takeover_ms", repeats.takeover_ms());
        if repeats.most_bytes_each() > repeats.most_bytes() {
            let found =
                format!("is {}, above most_bytes ({})", repeats.most_bytes_each(), repeats.most_bytes());
            section.report("most_bytes_each", found, "most_bytes or less");
        }
    }

    pub(super) fn retry_budget(&mut self, retries: &Retries) {
        let mut section = self.section("retries");
        section.not_negative("share", retries.share());
        section.not_negative("burst", retries.burst());
        section.above_zero("first_come_back_ms", retries.first_come_back_ms());
        let (first_ms, longest_ms) = (retries.first_come_back_ms(), retries.longest_come_back_ms());
        if longest_ms.is_nan() || longest_ms < first_ms {
            let found = format!("is {longest_ms}, below first_come_back_ms ({first_ms})");
            section.report("longest_come_back_ms", found, "first_come_back_ms or more");
        }
    }
}
