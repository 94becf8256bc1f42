//! Encodes the metrics in the OpenMetrics text format. The modules keep their own counters; each scrape
//! registers their current values in a new registry.

use super::Admin;
use crate::metrics_snapshot::MetricsSnapshot;
use nickelgw_gossip::core::record::DatagramError;
use nickelgw_node_core::ledger::ReservationCounters;
use nickelgw_node_core::RequestCounters;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

/// Label that gives the outcome of what is counted.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    how: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ZoneLabel {
    zone: String,
}

type FloatGauge = Gauge<f64, AtomicU64>;

fn register_count(registry: &mut Registry, name: &str, help: &str, count: usize) {
    let gauge = Gauge::<i64>::default();
    gauge.set(count as i64);
    registry.register(name, help, gauge);
}

fn register_float(registry: &mut Registry, name: &str, help: &str, unit: Unit, value: f64) {
    let gauge = FloatGauge::default();
    gauge.set(value);
    registry.register_with_unit(name, help, unit, gauge);
}

fn register_outcomes(
    registry: &mut Registry,
    name: &str,
    help: &str,
    counts: impl IntoIterator<Item = (&'static str, u64)>,
) {
    let family = Family::<OutcomeLabel, Counter>::default();
    for (how, count) in counts {
        family.get_or_create(&OutcomeLabel { how }).inc_by(count);
    }
    registry.register(name, help, family);
}

fn register_requests(registry: &mut Registry, counters: RequestCounters) {
    let counts = [
        ("completed", counters.completed),
        ("shed", counters.rejected),
        ("errored", counters.failed),
        ("left", counters.disconnected),
        ("refused", counters.denied),
    ];
    let help = "Inferences by outcome; refused ones were rejected before admission";
    register_outcomes(registry, "inferences", help, counts);
}

fn register_reservations(registry: &mut Registry, counters: ReservationCounters) {
    let counts = [
        ("fetched", counters.served),
        ("let_go", counters.released),
        ("lost", counters.lost),
        ("given_up", counters.abandoned),
        ("overdue", counters.overdue),
    ];
    register_outcomes(registry, "states", "Reserved states by outcome", counts);
}

impl Admin {
    /// Returns all metrics of the node as text; `None` if they cannot be encoded.
    pub(super) fn encode_metrics(&self, snapshot: MetricsSnapshot) -> Option<String> {
        let mut registry = Registry::with_prefix("nickelgw");
        let metrics = &mut registry;
        register_requests(metrics, snapshot.requests);
        register_reservations(metrics, snapshot.reservations);
        register_outcomes(
            metrics,
            "violations",
            "Violations of the core's invariants; each is a bug",
            snapshot.violations,
        );
        register_count(metrics, "open", "Inferences in progress", snapshot.open_requests);
        let help = "States reserved at prefill engines, by this node's ledger";
        register_count(metrics, "held", help, snapshot.open_reservations);
        register_count(metrics, "connections", "Client connections", self.listener.connections.get());
        register_count(metrics, "stories", "Request traces kept for the 'why' command", snapshot.traces);
        self.register_gossip(metrics, snapshot.zone_weights);
        self.register_deferred(metrics);
        let help = "99th percentile of the time that a state waits until a decode engine claims it";
        register_float(metrics, "held_wait_p99", help, Unit::Seconds, snapshot.unclaimed_p99_s);
        let help = "Longest time that a state has waited until a decode engine claimed it";
        register_float(metrics, "held_wait_longest", help, Unit::Seconds, snapshot.unclaimed_max_s);
        self.register_background(metrics);
        self.register_store(metrics);
        let mut text = String::new();
        encode(&mut text, &registry).ok()?;
        Some(text)
    }

    fn register_gossip(&self, registry: &mut Registry, zone_weights: Vec<(String, f64)>) {
        let Some(gossip) = &self.gossip else { return };
        let weights = Family::<ZoneLabel, FloatGauge>::default();
        for (zone, weight) in zone_weights {
            weights.get_or_create(&ZoneLabel { zone }).set(weight);
        }
        registry.register("zone_part", "Share of the traffic that a zone receives, 0 to 1", weights);
        let gossip = gossip.borrow();
        let help = "Live nodes known from gossip, including this one";
        register_count(registry, "nodes", help, gossip.node_count(self.clock.now()));
        let counters = gossip.counters;
        let rejected =
            DatagramError::ALL.iter().map(|error| (error.name(), counters.rejected[*error as usize]));
        let counts =
            [("sent", counters.sent), ("heard", counters.received), ("no_room", counters.dropped_table_full)];
        let help = "Gossip datagrams between nodes by outcome; rejected ones by reason";
        register_outcomes(registry, "datagrams", help, counts.into_iter().chain(rejected));
        let bytes = Counter::<u64>::default();
        bytes.inc_by(counters.sent_bytes);
        registry.register_with_unit("datagrams_sent", "Bytes sent in gossip datagrams", Unit::Bytes, bytes);
    }

    fn register_deferred(&self, registry: &mut Registry) {
        let Some(deferred) = &self.deferred else { return };
        let help = "Deferred inferences that wait to be run";
        register_count(registry, "parked", help, deferred.waiting());
        register_count(registry, "parked_running", "Deferred inferences being run", deferred.running());
        let counters = deferred.counters();
        let counts = [
            ("taken", counters.accepted),
            ("refused", counters.rejected),
            ("answered", counters.completed),
            ("given_up", counters.expired),
            ("errored", counters.failed),
        ];
        let help = "Deferred inferences by outcome";
        register_outcomes(registry, "parked_inferences", help, counts);
    }

    fn register_background(&self, registry: &mut Registry) {
        let help = "Time that background tasks have used on the node's thread";
        let run_time_s = self.background.total_run_time_s();
        register_float(registry, "background_taken", help, Unit::Seconds, run_time_s);
        let overdue = self.background.overdue();
        let longest_s = overdue.iter().map(|(_, waited_s)| *waited_s).fold(0.0, f64::max);
        let help = "Longest time that an overdue background task has waited";
        register_float(registry, "background_overdue", help, Unit::Seconds, longest_s);
    }

    fn register_store(&self, registry: &mut Registry) {
        let counters = self.store_writer.counters();
        let counts = [("done", counters.commits), ("failed", counters.failed)];
        register_outcomes(registry, "store_commits", "Commits to the store by outcome", counts);
        let help = "Bytes committed to the store";
        let written_bytes = counters.written_bytes as f64;
        register_float(registry, "store_written", help, Unit::Bytes, written_bytes);
    }
}
