//! Validation of the faults of a rehearsal day: their kinds and targets.

use super::Validator;
use crate::day_layout::engine_names;
use crate::proto::fault::Kind;
use crate::proto::{Day, Fault};

impl Validator<'_> {
    pub(super) fn fault(&mut self, day: &Day, index: usize, fault: &Fault) {
        let mut section = self.section(("fault", index));
        section.not_negative("at_s", fault.at_s);
        section.not_negative("for_s", fault.for_s());
        section.fraction("share", fault.share());
        section.above_zero("factor", fault.factor());
        if fault.kind() as i32 >= Kind::RegistryRestart as i32 && !day.registry() {
            section.report(
                "kind",
                "is a fault of the registry, but the day has none",
                "registry: true in the day",
            );
        }
        if needs_tls(fault.kind()) && !day.tls() {
            section.report("kind", "is a fault of TLS, but the day does not use TLS", "tls: true in the day");
        }
        section.fraction("part", fault.part());
        let target = TargetKind::of(fault.kind());
        if !target.matches(day, fault.target()) {
            section.report("target", format!("is '{}'", fault.target()), target.expected());
        }
    }
}

fn needs_tls(kind: Kind) -> bool {
    use Kind::{CaRotate, CertExpire, CertRotate, CertWrongName, HandshakeCut, HandshakeSlow};
    [CaRotate, CertExpire, CertRotate, CertWrongName, HandshakeCut, HandshakeSlow].contains(&kind)
}

/// What the target of a fault refers to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TargetKind {
    /// The target is ignored.
    Unused,
    Zone,
    Node,
    Engine,
    EngineSet,
}

impl TargetKind {
    fn of(kind: Kind) -> TargetKind {
        match kind {
            Kind::StallList | Kind::CaRotate | Kind::DiscoveryStale => TargetKind::Unused,
            Kind::Burst | Kind::HotKey | Kind::RetryAbuse => TargetKind::Unused,
            Kind::BalancerCrash | Kind::BalancerRoll | Kind::MassRestart => TargetKind::Unused,
            Kind::RegistryRestart | Kind::RegistryCompact | Kind::RegistryPartition => TargetKind::Unused,
            Kind::RegistryEmpty | Kind::RegistryRollback | Kind::WatchStall => TargetKind::Unused,
            Kind::CutZone | Kind::ZoneCut | Kind::ZoneLoss => TargetKind::Zone,
            Kind::KillNode => TargetKind::Node,
            Kind::Die | Kind::Drain | Kind::CertRotate | Kind::CertExpire | Kind::CertWrongName => {
                TargetKind::Engine
            }
            _ => TargetKind::EngineSet,
        }
    }

    fn matches(self, day: &Day, target: &str) -> bool {
        let is_zone = || day.zones.iter().any(|zone| zone == target);
        let is_node = || (0..day.nodes()).any(|number| format!("node{number}") == target);
        let is_engine = || engine_names(day).iter().any(|name| name == target);
        let is_role = || matches!(target, "" | "engines" | "readers" | "writers");
        let is_group = || day.engines.iter().any(|group| group.name == target || group.zone == target);
        match self {
            TargetKind::Unused => true,
            TargetKind::Zone => is_zone(),
            TargetKind::Node => is_node(),
            TargetKind::Engine => is_engine(),
            TargetKind::EngineSet => is_role() || is_group() || is_engine(),
        }
    }

    fn expected(self) -> &'static str {
        match self {
            TargetKind::Unused => "none",
            TargetKind::Zone => "one of zones",
            TargetKind::Node => "a node: node0, node1 and so on",
            TargetKind::Engine => "an engine: the name of its group and a number",
            TargetKind::EngineSet => {
                "an engine, a group, a zone, readers, writers, or no target for all engines"
            }
        }
    }
}
