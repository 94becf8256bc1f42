//! The node's background tasks: work that no request waits for.

use crate::background::{Background, TaskResult};
use crate::client::Pool;
use crate::events::{Event, TimedEvent};
use crate::idempotency::ResponseSharing;
use crate::persistence::StoreWriter;
use crate::tls_reload;
use async_channel::{bounded, Sender};
use nickelgw_background_tasks::core::{TaskClass, TaskSpec};
use nickelgw_store::core::RecordKind;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// How often the idempotency table's timeouts are run.
const IDEMPOTENCY_S: f64 = 0.1;
/// How often the learned state is saved.
const LEARNED_STATE_S: f64 = 2.0;
/// How often expired records are removed, and the background tasks' own cost is logged.
const HOUSEKEEPING_S: f64 = 30.0;
/// TLS files are not read more often than this.
const MIN_RELOAD_S: f64 = 0.01;
/// A run that takes longer is cancelled.
const MAX_RUN_S: f64 = 10.0;
/// First guess of a run's cost.
const EXPECTED_RUN_S: f64 = 1e-4;

/// What the tasks work on.
pub struct Maintenance {
    /// Responses shared by idempotency keys.
    pub responses: Rc<ResponseSharing>,
    /// Connections to engines, with their TLS files.
    pub pool: Rc<Pool>,
    /// TLS files of the chat port.
    pub chat_tls: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    /// How often TLS files are read.
    pub reload_s: f64,
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// The node's store.
    pub store_writer: Rc<StoreWriter>,
}

fn spec(class: TaskClass, every_s: f64) -> TaskSpec {
    TaskSpec {
        class,
        interval_s: Some(every_s),
        deadline_s: every_s,
        timeout_s: MAX_RUN_S,
        estimated_s: EXPECTED_RUN_S,
        estimated_bytes: 0.0,
    }
}

fn done() -> TaskResult {
    TaskResult { bytes: 0.0, done: true }
}

impl Maintenance {
    /// Registers the tasks.
    pub fn register(self, background: &Rc<Background>) {
        let maintenance = Rc::new(self);
        let state = maintenance.clone();
        background.add("idempotency", spec(TaskClass::Required, IDEMPOTENCY_S), move || {
            let state = state.clone();
            async move {
                state.responses.run_commands();
                done()
            }
        });
        let state = maintenance.clone();
        let reload_s = maintenance.reload_s.max(MIN_RELOAD_S);
        background.add("tls_reload", spec(TaskClass::Maintenance, reload_s), move || {
            let state = state.clone();
            async move {
                state.reload_tls().await;
                done()
            }
        });
        let state = maintenance.clone();
        background.add("learned_state", spec(TaskClass::Maintenance, LEARNED_STATE_S), move || {
            let state = state.clone();
            async move { state.save_learned_state().await }
        });
        background.add("expire", spec(TaskClass::Idle, HOUSEKEEPING_S), move || {
            let state = maintenance.clone();
            async move {
                state.store_writer.expire();
                done()
            }
        });
        register_cost_report(background);
    }

    /// Reloads the TLS files of both sides; open client connections keep the configuration that they began with.
    async fn reload_tls(&self) {
        self.pool.reload_tls().await;
        if let Some(chat_tls) = self.chat_tls.clone() {
            tls_reload::reload("chat", chat_tls, nickelgw_tls::Server::reload_if_changed).await;
        }
    }

    async fn save_learned_state(&self) -> TaskResult {
        let (reply_to, replied) = bounded(1);
        let requested = self.events.send(TimedEvent::new(Event::SaveLearnedState { reply_to })).await;
        let Ok(state) = replied.recv().await else {
            return TaskResult { bytes: 0.0, done: requested.is_ok() };
        };
        self.store_writer.put(RecordKind::LearnedState, b"", &state);
        TaskResult { bytes: state.len() as f64, done: true }
    }
}

fn register_cost_report(background: &Rc<Background>) {
    // Weak, as the tasks belong to what they report on.
    let weak = Rc::downgrade(background);
    background.add("cost_report", spec(TaskClass::Idle, HOUSEKEEPING_S), move || {
        let weak = weak.clone();
        async move {
            if let Some(background) = weak.upgrade() {
                log_cost(&background);
            }
            done()
        }
    });
}

fn log_cost(background: &Background) {
    for (task, waited_s) in background.overdue() {
        tracing::warn!(task, waited_s, "background task overdue");
    }
    tracing::debug!(elapsed_s = background.elapsed_s(), "background task cost");
}
