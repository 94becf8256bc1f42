//! Keeps the node's membership in the fleet: a node number claimed in the registry under a lease.

use super::registry_client::RegistryClient;
use crate::clock::seconds;
use crate::events::{Event, TimedEvent};
use nickelgw_registry::core::membership::{FleetPosition, Membership, MembershipCommand};
use nickelgw_registry::wire::{self, RegistryError};
use smol::Timer;
use std::rc::Rc;

/// Interval at which the membership's state machine is polled for commands.
const TICK_INTERVAL_S: f64 = 0.1;

/// Task that keeps one node's membership.
struct MembershipTask {
    client: Rc<RegistryClient>,
    /// Key prefix under which node numbers are claimed.
    prefix: String,
    membership: Membership,
    /// Id of the lease; `None` if there is none.
    lease: Option<i64>,
    /// Index of the registry endpoint in use; incremented after a failure, to try the next one.
    endpoint: usize,
    /// Time of the next read of the claimed numbers.
    read_members_at: f64,
    /// Position last reported to the core.
    position: FleetPosition,
}

impl RegistryClient {
    /// Keeps this node's number until dropped and reports its position in the fleet to the core. Returns at
    /// once if the options have no key prefix for node numbers.
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
            Timer::after(seconds(TICK_INTERVAL_S)).await;
        }
    }

    async fn read_members(&mut self) {
        self.read_members_at = self.now() + self.client.options.member.max_staleness_s / 4.0;
        let sent_at = self.now();
        let response =
            self.client.call(self.endpoint, "/v3/kv/range", &wire::range_request(&self.prefix)).await;
        match response.and_then(|body| wire::parse_response::<wire::RangeResponse>(&body)) {
            Ok(range) => self
                .membership
                .update_registrations(sent_at, wire::node_registrations(&self.prefix, &range.kvs)),
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

    /// Requests a lease, or renews the node's lease if it has one.
    async fn keep_alive(&mut self) {
        let sent_at = self.now();
        match self.call_lease().await {
            Ok(granted) if granted.ttl > 0 => {
                self.lease = Some(self.lease.unwrap_or(granted.id));
                self.membership.lease_renewed(sent_at, granted.ttl as f64);
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
            None => Err(RegistryError::Failed("a node number cannot be claimed without a lease".into())),
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

    /// Reports the position to the core if it has changed. Fails once the event loop has ended.
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
