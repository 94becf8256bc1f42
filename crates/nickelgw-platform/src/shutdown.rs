//! The node's shutdown: new connections are served for a while, open requests are completed, and reservations
//! are released.

use crate::clients::ClientServer;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use nickelgw_node::seconds;
use smol::{Task, Timer};
use std::rc::Rc;

/// Time for which connections are still accepted after the request to shut down, since new ones come for
/// another 0.2 to 0.4 s. Streams continue to their end: when they were broken on purpose, so that their
/// clients ask another node, their requests were served less than half as often.
const ACCEPT_DURATION_S: f64 = 0.5;
/// Time before the process is killed at which requests whose response has not begun are answered.
const ANSWER_BEFORE_KILL_S: f64 = 0.4;
/// Interval between two checks whether the shutdown is complete.
const CHECK_INTERVAL_S: f64 = 0.02;

/// Time limits that the platform sets.
pub struct ShutdownTimes {
    /// Minimum time from the request to shut down to SIGKILL, in seconds.
    pub kill_after_s: f64,
}

/// A shutdown, and the parts of the process that it ends.
pub struct Shutdown {
    /// The node.
    pub node: Rc<Node>,
    /// The server for clients.
    pub clients: Rc<ClientServer>,
    /// Task that accepts connections.
    pub accepting: Task<()>,
    /// Channel that ends `accepting` when it is closed.
    pub stop_accepting: Sender<()>,
    /// Time limits that the platform sets.
    pub times: ShutdownTimes,
}

impl Shutdown {
    /// Waits for a request to shut down, and then until the shutdown has ended.
    pub async fn serve_until_ended(self, requests: Receiver<()>) {
        let _ = requests.recv().await;
        tracing::debug!(at = self.node.now(), open = self.node.open_requests(), "shutdown requested");
        let answer_after_s = (self.times.kill_after_s - ANSWER_BEFORE_KILL_S).max(ACCEPT_DURATION_S);
        let answer_at = self.node.now() + answer_after_s;
        self.clients.begin_drain();
        Timer::after(seconds(ACCEPT_DURATION_S)).await;
        self.stop_accepting.close();
        self.node.core.borrow_mut().stop_accepting();
        self.wait_until_ended(answer_at).await;
        tracing::debug!(at = self.node.now(), "shutdown finished");
    }

    /// Waits until nothing is open. At `answer_at`, requests whose response has not begun are answered.
    async fn wait_until_ended(&self, answer_at: f64) {
        let mut answered = false;
        loop {
            self.clients.close_idle();
            if self.has_ended() {
                return;
            }
            if !answered && self.node.now() >= answer_at {
                answered = true;
                self.fail_unstarted();
            }
            Timer::after(seconds(CHECK_INTERVAL_S)).await;
        }
    }

    fn has_ended(&self) -> bool {
        self.accepting.is_finished() && self.node.is_quiet() && self.clients.connections() == 0
    }

    fn fail_unstarted(&self) {
        tracing::debug!(
            at = self.node.now(),
            open = self.node.open_requests(),
            connections = self.clients.connections(),
            "unstarted requests rejected"
        );
        self.node.fail_unstarted();
    }
}
