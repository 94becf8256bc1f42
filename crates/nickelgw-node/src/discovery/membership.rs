//! The node's membership in the fleet: a number claimed in the registry under a lease.

use super::registry_client::RegistryClient;
use crate::clock::seconds;
use crate::events::{Event, TimedEvent};
use nickelgw_registry::core::membership::{FleetPosition, Membership, MembershipCommand};
use nickelgw_registry::wire::{self, RegistryError};
use smol::Timer;
use std::rc::Rc;

/// How often the membership's state is run.
const TICK_S: f64 = 0.1;

/// What keeps one node's membership.
struct MembershipTask {
    client: Rc<RegistryClient>,
    /// Key prefix of the numbers.
    prefix: String,
    membership: Membership,
    lease: Option<i64>,
    /// The registry endpoint in use; the next is tried after a failure.
    endpoint: usize,
    read_members_at: f64,
    position: FleetPosition,
}

impl RegistryClient {
    /// Keeps this node's number until dropped, and reports its position in the fleet to the core.
    pub async fn hold_membership(self: Rc<Self>, seed: u64) {
        let Some(prefix) = self.options.nodes.clone() else { return };
        let task = MembershipTask {
            membership: Membership::new(self.options.member, &self.node),
            client: self,
            prefix,
            lease: None,
            endpoint: seed as usize,
            read_members_at: 0.0,
            position: FleetPosition::NONE,
        };
        task.run().await;
    }
}

impl MembershipTask {
    fn now(&self) -> f64 {
        self.client.directory.clock.now()
    }

    async fn run(mut self) {
        loop {
            if self.now() >= self.read_members_at {
                self.read_members().await;
            }
            let (commands, _) = self.membership.poll_commands(self.now());
            for command in commands {
                match command {
                    MembershipCommand::KeepAlive => self.keep_alive().await,
                    MembershipCommand::Claim(number) => self.claim(number).await,
                    MembershipCommand::Release(number) => {
                        tracing::warn!(number, "node number released; another node claimed it earlier")
                    }
                }
            }
            if self.report_position().await.is_err() {
                return;
            }
            Timer::after(seconds(TICK_S)).await;
        }
    }

    async fn read_members(&mut self) {
        self.read_members_at = self.now() + self.client.options.member.max_staleness_s / 4.0;
        let asked_at = self.now();
        let response =
            self.client.call(self.endpoint, "/v3/kv/range", &wire::range_request(&self.prefix)).await;
        match response.and_then(|body| wire::parse_response::<wire::RangeResponse>(&body)) {
            Ok(range) => self
                .membership
                .update_registrations(asked_at, wire::node_registrations(&self.prefix, &range.kvs)),
            Err(_) => self.endpoint += 1,
        }
    }

    async fn call_lease(&self) -> Result<wire::LeaseResponse, RegistryError> {
        match self.lease {
            None => {
                let body = wire::lease_grant_request(self.client.options.member.lease_s);
                let response = self.client.call(self.endpoint, "/v3/lease/grant", &body).await;
                response.and_then(|body| wire::parse_response(&body))
            }
            Some(lease) => {
                let body = wire::lease_keep_alive_request(lease);
                let response = self.client.call(self.endpoint, "/v3/lease/keepalive", &body).await;
                response.and_then(|body| wire::parse_stream_message(&body))
            }
        }
    }

    /// Grants the lease, or renews it.
    async fn keep_alive(&mut self) {
        let asked_at = self.now();
        match self.call_lease().await {
            Ok(granted) if granted.ttl > 0 => {
                self.lease = Some(self.lease.unwrap_or(granted.id));
                self.membership.lease_renewed(asked_at, granted.ttl as f64);
            }
            Ok(_) => {
                tracing::warn!("node lease expired; claiming a number anew");
                self.lease = None;
                self.membership.lease_lost();
            }
            Err(_) => self.endpoint += 1,
        }
    }

    async fn claim(&mut self, number: u32) {
        let key = format!("{}{number}", self.prefix);
        let response = match self.lease {
            None => Err(RegistryError::Failed("no lease yet".into())),
            Some(lease) => {
                let body = wire::claim_request(&key, &self.client.node, lease);
                self.client.call(self.endpoint, "/v3/kv/txn", &body).await
            }
        };
        let transaction = response.and_then(|body| wire::parse_response::<wire::TxnResponse>(&body));
        let is_claimed = transaction.is_ok_and(|transaction| transaction.succeeded);
        self.membership.claim_finished(self.now(), number, is_claimed);
        self.read_members_at = 0.0;
    }

    /// Reports the position if it has changed; an error once the event loop has ended.
    async fn report_position(&mut self) -> Result<(), async_channel::SendError<TimedEvent>> {
        let position = self.membership.position(self.now());
        if position == self.position {
            return Ok(());
        }
        self.position = position;
        tracing::info!(number = ?position.number, of = ?position.node_count, "fleet position changed");
        let event = TimedEvent::new(Event::FleetPosition(position));
        self.client.directory.events.send(event).await
    }
}
