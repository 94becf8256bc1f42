//! The node's background tasks, for which no request waits.

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

/// How often the timeouts of the idempotency table are checked.
const IDEMPOTENCY_INTERVAL_S: f64 = 0.1;
/// How often the learned state is saved.
const LEARNED_STATE_INTERVAL_S: f64 = 2.0;
/// How often expired records are removed and the cost of the background tasks is logged.
const HOUSEKEEPING_INTERVAL_S: f64 = 30.0;
/// Shortest interval between two reads of the TLS files.
const MIN_RELOAD_INTERVAL_S: f64 = 0.01;
/// Time after which a run is cancelled.
const RUN_TIMEOUT_S: f64 = 10.0;
/// Initial estimate of the time that a run takes, used until runs have been measured.
const INITIAL_RUN_ESTIMATE_S: f64 = 1e-4;

/// Parts of the node that the background tasks work on.
pub struct Maintenance {
    /// Responses shared by requests with the same idempotency key.
    pub responses: Rc<ResponseSharing>,
    /// Connections to engines, including their TLS files.
    pub pool: Rc<Pool>,
    /// TLS configuration of the chat port; `None` if the port does not use TLS.
    pub chat_tls: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    /// Interval in seconds at which the TLS files are read.
    pub reload_s: f64,
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// The node's store.
    pub store_writer: Rc<StoreWriter>,
}

fn spec(class: TaskClass, interval_s: f64) -> TaskSpec {
    TaskSpec {
        class,
        interval_s: Some(interval_s),
        deadline_s: interval_s,
        timeout_s: RUN_TIMEOUT_S,
        estimated_s: INITIAL_RUN_ESTIMATE_S,
        estimated_bytes: 0.0,
    }
}

fn succeeded() -> TaskResult {
    TaskResult { bytes: 0.0, succeeded: true }
}

impl Maintenance {
    /// Registers the tasks with the scheduler.
    pub fn register(self, background: &Rc<Background>) {
        let maintenance = Rc::new(self);
        let state = maintenance.clone();
        background.add("idempotency", spec(TaskClass::Required, IDEMPOTENCY_INTERVAL_S), move || {
            let state = state.clone();
            async move {
                state.responses.run_commands();
                succeeded()
            }
        });
        let state = maintenance.clone();
        let reload_s = maintenance.reload_s.max(MIN_RELOAD_INTERVAL_S);
        background.add("tls_reload", spec(TaskClass::Maintenance, reload_s), move || {
            let state = state.clone();
            async move {
                state.reload_tls().await;
                succeeded()
            }
        });
        let state = maintenance.clone();
        background.add("learned_state", spec(TaskClass::Maintenance, LEARNED_STATE_INTERVAL_S), move || {
            let state = state.clone();
            async move { state.save_learned_state().await }
        });
        background.add("expire", spec(TaskClass::Idle, HOUSEKEEPING_INTERVAL_S), move || {
            let state = maintenance.clone();
            async move {
                state.store_writer.expire();
                succeeded()
            }
        });
        register_cost_report(background);
    }

    /// Reloads the TLS files of the chat port and of the connections to engines. Open client connections keep
    /// the configuration that they were opened with.
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
            return TaskResult { bytes: 0.0, succeeded: requested.is_ok() };
        };
        self.store_writer.put(RecordKind::LearnedState, b"", &state);
        TaskResult { bytes: state.len() as f64, succeeded: true }
    }
}

fn register_cost_report(background: &Rc<Background>) {
    // A weak reference, as `background` owns the task and a strong one would form a cycle.
    let weak = Rc::downgrade(background);
    background.add("cost_report", spec(TaskClass::Idle, HOUSEKEEPING_INTERVAL_S), move || {
        let weak = weak.clone();
        async move {
            if let Some(background) = weak.upgrade() {
                log_cost(&background);
            }
            succeeded()
        }
    });
}

fn log_cost(background: &Background) {
    for (task, waited_s) in background.overdue() {
        tracing::warn!(task, waited_s, "background task overdue");
    }
    tracing::debug!(elapsed_s = background.total_run_time_s(), "background task cost");
}
