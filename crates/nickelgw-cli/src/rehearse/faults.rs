//! Injects the faults of a day's script, each at its time.

use super::stage::RehearsalFleet;
use crate::error::CommandError;
use crate::timing::sleep_s;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use nickelgw_settings::engine_names;
use nickelgw_settings::proto::{fault::Kind, Fault};
use nickelgw_test_servers::authority::CertificateFault;
use nickelgw_test_servers::client;
use serde_json::json;

/// Returns the name of a fault that an engine produces on a single control order; `None` for all other
/// faults.
fn engine_fault_name(kind: Kind) -> Option<&'static str> {
    match kind {
        Kind::Silence => Some("silence"),
        Kind::Slow => Some("slow"),
        Kind::Fail => Some("fail"),
        Kind::Lose => Some("lose"),
        Kind::Pause => Some("pause"),
        Kind::Forget => Some("forget"),
        Kind::HandshakeCut => Some("handshake_cut"),
        _ => None,
    }
}

/// Returns the single control order that makes the registry produce a fault, and whether the fault lasts for
/// a time; `None` for all other faults.
fn registry_fault(kind: Kind) -> Option<(&'static str, bool)> {
    match kind {
        Kind::RegistryRestart => Some(("restart", true)),
        Kind::RegistryCompact => Some(("compact", false)),
        Kind::RegistryPartition => Some(("silence", true)),
        Kind::WatchStall => Some(("stall", true)),
        Kind::RegistryRollback => Some(("roll_back", false)),
        _ => None,
    }
}

impl RehearsalFleet {
    /// Waits for a fault's time and injects it.
    pub(super) async fn inject(&self, fault: &Fault) -> Result<(), CommandError> {
        sleep_s(fault.at_s - self.elapsed_s()).await;
        let kind = fault.kind();
        let plan = json!({"kind": kind.as_str_name(), "target": fault.target(), "for_s": fault.for_s()});
        self.record.record("plan", plan);
        if let Some(order) = engine_fault_name(kind) {
            self.send_engine_fault(order, fault).await;
            return Ok(());
        }
        if let Some((order, lasts)) = registry_fault(kind) {
            self.control_registry(order, if lasts { fault.for_s() } else { 0.0 }).await;
            return Ok(());
        }
        self.inject_compound(fault).await
    }

    /// Injects a fault that takes more than one of the orders above.
    async fn inject_compound(&self, fault: &Fault) -> Result<(), CommandError> {
        let (target, for_s) = (fault.target(), fault.for_s());
        match fault.kind() {
            Kind::Die => self.restart_engine(fault).await?,
            Kind::Drain => self.drain_engine(fault).await,
            Kind::CutZone => self.cut_zone(target, for_s).await,
            Kind::CertRotate => self.rotate_certificate(target, CertificateFault::None).await?,
            Kind::CertExpire => self.rotate_certificate(target, CertificateFault::Expired).await?,
            Kind::CertWrongName => self.rotate_certificate(target, CertificateFault::WrongName).await?,
            Kind::CaRotate => self.rotate_authority().await?,
            Kind::HandshakeSlow => {
                let order = json!({"fault": "handshake_slow", "for_s": for_s, "rest_s": fault.factor()});
                self.control_engine(target, order).await;
            }
            Kind::StallList => drop(client::control(&self.list, &json!({"stall_s": for_s})).await),
            Kind::KillNode => self.restart_node(target, for_s).await?,
            Kind::RegistryEmpty => self.empty_registry(for_s).await,
            // The script has expanded all other kinds into these.
            _ => {}
        }
        Ok(())
    }

    async fn send_engine_fault(&self, order: &str, fault: &Fault) {
        let order = json!({"fault": order, "for_s": fault.for_s(), "share": fault.share(),
            "factor": fault.factor()});
        self.control_engine(fault.target(), order).await;
    }

    /// Kills an engine; if the fault has a duration, starts it again in slow start after that.
    async fn restart_engine(&self, fault: &Fault) -> Result<(), CommandError> {
        let engine = fault.target();
        self.send_engine_fault("die", fault).await;
        self.kill_engine(engine).await;
        self.record.for_source(engine).record("died", json!({}));
        self.withdraw(engine).await;
        if fault.for_s() > 0.0 {
            sleep_s(fault.for_s()).await;
            let entry = self.start_engine(engine, true).await?;
            self.publish(&entry).await;
        }
        Ok(())
    }

    async fn drain_engine(&self, fault: &Fault) {
        let Some(entry) = self.entry_of(fault.target()) else { return };
        self.publish(&EndpointEntry { state: EngineState::Draining, ..entry }).await;
        // The engine rejects requests only after every node has had time to learn that it drains.
        sleep_s((self.day.list_lag_ms() + self.day.drain_grace_ms()) / 1e3).await;
        self.send_engine_fault("drain", fault).await;
    }

    async fn cut_zone(&self, zone: &str, for_s: f64) {
        let order = json!({"fault": "cut", "for_s": for_s, "zone": zone});
        for engine in engine_names(&self.day) {
            self.control_engine(&engine, order.clone()).await;
        }
    }

    async fn restart_node(&self, node: &str, for_s: f64) -> Result<(), CommandError> {
        let number: u32 = node.trim_start_matches("node").parse().unwrap_or(0);
        self.kill_node(number).await;
        if for_s > 0.0 {
            sleep_s(for_s).await;
            self.start_node(number).await?;
        }
        Ok(())
    }

    async fn empty_registry(&self, for_s: f64) {
        self.control_registry("empty", 0.0).await;
        sleep_s(for_s).await;
        let entries = self.initial_entries.borrow().clone();
        for entry in &entries {
            self.publish_now(entry).await;
        }
    }
}
