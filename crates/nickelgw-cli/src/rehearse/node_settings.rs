//! Settings of a node in a rehearsal, derived from the day's.

use super::stage::RehearsalFleet;
use crate::error::CommandError;
use nickelgw_settings::proto::{EngineTls, Registry};
use nickelgw_settings::{node_zone, Node};

/// Shortest registry lease that the settings allow.
const LEASE_MS: f64 = 3000.0;
const CERTIFICATE_RELOAD_MS: f64 = 250.0;

impl RehearsalFleet {
    /// Writes the settings file that a node is started with, and checks it.
    pub(super) fn write_node_settings(&self, number: u32) -> Result<(), CommandError> {
        let path = self.path(&format!("node{number}.txtpb"));
        std::fs::write(&path, nickelgw_settings::node_to_text(&self.node_settings(number)))?;
        nickelgw_settings::load_node(&path).map_err(CommandError::from_settings)?;
        Ok(())
    }

    fn node_settings(&self, number: u32) -> Node {
        let day = &self.day;
        Node {
            name: format!("node{number}"),
            number: Some(number),
            nodes: Some(day.nodes()),
            seed: Some(self.seed),
            zone: node_zone(day, number).to_string(),
            zones: day.zones.clone(),
            listen: Some("127.0.0.1:0".into()),
            list: (!day.registry()).then(|| self.list.clone()),
            registry: day.registry().then(|| self.registry_settings()),
            last_list: Some(self.path_text(&format!("node{number}.list"))),
            model_route: day.model_route.clone(),
            tenant: day.tenant.clone(),
            rules: day.rules,
            limits: day.limits,
            engine_tls: day.tls().then(|| self.engine_tls(number)),
            retries: day.retries,
            fair_admission: Some(day.fair_admission() || self.overrides.fair_admission),
            store: (!self.overrides.without_store).then(|| self.path_text(&format!("node{number}.store"))),
            state_grants: day.state_grants.clone(),
            ..Node::default()
        }
    }

    fn registry_settings(&self) -> Registry {
        Registry { endpoint: vec![self.list.clone()], lease_ms: Some(LEASE_MS), ..Registry::default() }
    }

    fn engine_tls(&self, number: u32) -> EngineTls {
        EngineTls {
            trust: self.path_text("certs/root.pem"),
            chain: Some(self.path_text(&format!("certs/node{number}.pem"))),
            key: Some(self.path_text(&format!("certs/node{number}.key"))),
            reload_ms: Some(CERTIFICATE_RELOAD_MS),
            ..EngineTls::default()
        }
    }
}
