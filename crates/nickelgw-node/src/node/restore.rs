//! Restores the state that an earlier process has stored.

use super::state::{DiscoveryState, Node};
use crate::clock::Clock;
use crate::discovery::cache;
use crate::discovery::directory::EndpointDirectory;
use crate::event_loop::OnServing;
use crate::idempotency::ResponseSharing;
use async_channel::{bounded, Receiver};
use nickelgw_node_core::NodeCore;
use nickelgw_store::core::write_buffer::RestoredRecord;
use nickelgw_store::core::{retention, RecordKind};

/// Restores the idempotency keys and the learned state from the store.
pub(super) fn restore_records(
    records: Vec<RestoredRecord>,
    core: &mut NodeCore,
    responses: &ResponseSharing,
    clock: Clock,
) {
    for record in records {
        match record.kind {
            RecordKind::IdempotencyKey => {
                let completed_at = clock.now() - record.age_s.unwrap_or(0.0);
                responses.restore(completed_at, &record.key, &record.value)
            }
            RecordKind::LearnedState => {
                let confidence = retention::learned_state_weight(record.age_s.unwrap_or(f64::INFINITY));
                let valid = core.restore_state(&record.value, confidence);
                tracing::info!(confidence, valid, "learned state restored");
            }
            RecordKind::EndpointList | RecordKind::DeferredRequest => {}
        }
    }
}

/// Returns the callback for when the node can serve, and a receiver that the callback closes.
pub(super) fn serving_gate(on_serving: Option<OnServing>) -> (OnServing, Receiver<()>) {
    let (gate, serving) = bounded::<()>(1);
    let callback: OnServing = Box::new(move || {
        gate.close();
        if let Some(on_serving) = on_serving {
            on_serving();
        }
    });
    (callback, serving)
}

impl Node {
    /// Restores the cached endpoint list, if there is one, and serves from it until the source responds.
    pub fn restore_endpoints(
        &self,
        directory: &EndpointDirectory,
        core: &mut NodeCore,
        discovery: &mut DiscoveryState,
    ) {
        let Some(list) = cache::load(directory.cache.as_deref()) else { return };
        let (engines, revision) = (list.engines.len(), list.revision);
        tracing::info!(engines, revision, "serving from cached endpoint list");
        core.restore_endpoints(self.clock.now(), &list);
        directory.restore(list.engines);
        discovery.lifecycle.endpoints_known();
        self.listener.healthy.set(true);
        if let Some(on_serving) = discovery.on_serving.take() {
            on_serving();
        }
    }
}
