//! Rule: no attempt is sent to an engine later than the grace period after the node received an endpoint list
//! in which the engine is draining or missing.

use super::{AuditInput, Limits};
use crate::{AuditReport, RecordEntry, Rule};
use std::collections::BTreeMap;

/// Removal of an engine from the active engines of a node.
struct Removal<'a> {
    /// Endpoint list from which the node learned of the removal.
    list: &'a RecordEntry,
    /// Whether the list removed so many engines at once that the node may wait for confirmation.
    unconfirmed: bool,
}

/// Engines that each node has learned of from its endpoint lists.
#[derive(Default)]
struct NodeViews<'a> {
    /// Active engines by node.
    active: BTreeMap<&'a str, Vec<&'a str>>,
    /// Removals of engines that are not active, by node and engine.
    removals: BTreeMap<(&'a str, &'a str), Removal<'a>>,
}

pub(super) fn check(report: &mut AuditReport, input: &AuditInput) {
    let mut views = NodeViews::default();
    for entry in input.entries {
        match entry.event.as_str() {
            "told" => views.apply_list(report, &input.limits, entry),
            "send" => views.check_attempt(report, &input.limits, entry),
            // A restarted node knows only the lists that it receives after its start.
            "killed" => views.removals.retain(|(node, _), _| *node != entry.text("node")),
            _ => {}
        }
    }
}

impl<'a> NodeViews<'a> {
    fn apply_list(&mut self, report: &mut AuditReport, limits: &Limits, list: &'a RecordEntry) {
        let node = list.text("node");
        let active = list.texts("in");
        let before = self.active.insert(node, active.clone()).unwrap_or_default();
        self.removals.retain(|(of, engine), _| *of != node || !active.contains(engine));
        let removed: Vec<&str> = before.iter().copied().filter(|engine| !active.contains(engine)).collect();
        let needs_confirmation = self.needs_confirmation(limits, list, before.len(), &removed);
        for engine in removed {
            report.count_checked(Rule::SendToDraining);
            let unconfirmed = needs_confirmation && !list.contains("draining", engine);
            self.removals.entry((node, engine)).or_insert(Removal { list, unconfirmed });
        }
    }

    /// Returns whether the node may wait for confirmation of the removals in `list`. A drain needs no
    /// confirmation.
    fn needs_confirmation(
        &self,
        limits: &Limits,
        list: &RecordEntry,
        active_before: usize,
        removed: &[&str],
    ) -> bool {
        let node = list.text("node");
        let is_unconfirmed =
            |((of, _), removal): &(&(&str, &str), &Removal)| *of == node && removal.unconfirmed;
        let unconfirmed = self.removals.iter().filter(is_unconfirmed).count();
        let not_drained = removed.iter().filter(|engine| !list.contains("draining", engine)).count();
        let missing = (not_drained + unconfirmed) as f64;
        limits.removal_confirmation.as_ref().is_some_and(|confirmation| {
            missing > confirmation.engines
                && missing > confirmation.share * (active_before + unconfirmed) as f64
        })
    }

    fn check_attempt(&self, report: &mut AuditReport, limits: &Limits, attempt: &RecordEntry) {
        let node = attempt.text("node");
        let engine = attempt.source.as_str();
        let Some(Removal { list, unconfirmed }) = self.removals.get(&(node, engine)) else { return };
        let confirmation = limits.removal_confirmation.as_ref().filter(|_| *unconfirmed);
        let wait_s = confirmation.map_or(0.0, |confirmation| confirmation.wait_s);
        if wait_s > 0.0 && attempt.time_s > list.time_s + limits.drain_grace_s + limits.slack_s {
            report.unconfirmed_removal_attempts += 1;
        }
        if attempt.time_s > list.time_s + wait_s + limits.drain_grace_s + limits.slack_s {
            let late_s = attempt.time_s - list.time_s;
            let state = if list.contains("draining", engine) { "draining" } else { "removed" };
            let description = format!(
                "engine {engine} got an attempt {late_s:.3} s after node {node} received a list with it {state}"
            );
            report.add(Rule::SendToDraining, description, &[list, attempt]);
        }
    }
}
