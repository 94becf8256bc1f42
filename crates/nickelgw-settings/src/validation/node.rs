//! Validation of a node's settings: identity, source of the endpoint list, and shutdown.

use super::Validator;
use crate::proto::{Leaving, Node, Registry};

/// Minimum lifetime of a registry lease, as shorter leases cannot be renewed reliably.
const MIN_LEASE_MS: f64 = 3000.0;

impl Validator<'_> {
    pub(super) fn node(&mut self, node: &Node) {
        self.identity(node);
        self.root().address("listen", node.listen());
        self.endpoint_source(node);
        if let Some(admin) = &node.admin {
            self.root().address("admin", admin);
        }
        self.model_routes(&node.model_route);
        self.tenants(&node.tenant);
        self.rules(&node.rules.unwrap_or_default(), &node.model_route);
        self.limits(&node.limits.unwrap_or_default());
        self.tls(node);
        self.idempotency(&node.repeats.unwrap_or_default());
        self.retry_budget(&node.retries.unwrap_or_default());
        self.state_grants(node.state_grants.as_ref());
        self.gossip(node.accord.as_ref());
        self.deferred(node);
        self.shutdown(&node.leaving.unwrap_or_default());
    }

    fn identity(&mut self, node: &Node) {
        self.root().not_empty("name", &node.name);
        if node.nodes() == 0 || node.number() >= node.nodes() {
            let found = format!("is {} of {} nodes", node.number(), node.nodes());
            self.root().report("number", found, "a number below nodes, counted from 0");
        }
        self.zones(&node.zones);
        if !node.zones.contains(&node.zone) {
            self.root().report("zone", format!("is '{}'", node.zone), "one of zones");
        }
    }

    fn endpoint_source(&mut self, node: &Node) {
        let sources = [node.list.is_some(), node.list_file.is_some(), node.registry.is_some()];
        if sources.iter().filter(|is_given| **is_given).count() != 1 {
            let found = "no source of the endpoint list is given, or several are given";
            self.root().report("list", found, "exactly one of list, list_file and registry");
        }
        if let Some(list) = &node.list {
            self.root().address("list", list);
        }
        if let Some(registry) = &node.registry {
            self.registry(registry);
        }
        let doubt = node.doubt.unwrap_or_default();
        let mut section = self.section("doubt");
        section.fraction("share", doubt.share());
        section.above_zero("doubt_ms", doubt.doubt_ms());
    }

    fn registry(&mut self, registry: &Registry) {
        let mut section = self.section("registry");
        if registry.endpoint.is_empty() {
            section.report("endpoint", "is missing", "host:port of at least one endpoint");
        }
        for (index, endpoint) in registry.endpoint.iter().enumerate() {
            section.address(("endpoint", index), endpoint);
        }
        section.not_empty("engines_prefix", registry.engines_prefix());
        section.at_least("lease_ms", registry.lease_ms(), MIN_LEASE_MS, "3000 or more");
        if registry.user.is_some() != registry.password.is_some() {
            section.report("user", "only one of user and password is given", "both, or neither");
        }
    }

    fn shutdown(&mut self, leaving: &Leaving) {
        let mut section = self.section("leaving");
        section.not_negative("notice_ms", leaving.notice_ms());
        section.not_negative("grace_ms", leaving.grace_ms());
        section.above_zero("end_ms", leaving.end_ms());
    }
}
