//! The node's shutdown: new connections are served for a while, open requests end, and reservations are released.

use crate::clients::ClientServer;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use nickelgw_node::seconds;
use smol::{Task, Timer};
use std::rc::Rc;

/// New connections still come for 0.2 to 0.4 s after the request to shut down. Streams go on to their end: broken on
/// purpose, so that their clients ask elsewhere, they were served less than half as often.
const ACCEPT_DURATION_S: f64 = 0.5;
/// Requests whose response has not begun are answered so long before the process is killed.
const ANSWER_BEFORE_KILL_S: f64 = 0.4;
/// Seconds between two checks whether all has ended.
const CHECK_INTERVAL_S: f64 = 0.02;

/// Times that the platform sets.
pub struct ShutdownTimes {
    /// SIGKILL comes no sooner than so long after the request to shut down.
    pub kill_after_s: f64,
}

/// What a shutdown ends.
pub struct Shutdown {
    /// The node.
    pub node: Rc<Node>,
    /// The server for clients.
    pub clients: Rc<ClientServer>,
    /// Accepts connections.
    pub accepting: Task<()>,
    /// Closed, it ends that.
    pub stop_accepting: Sender<()>,
    /// Times that the platform sets.
    pub times: ShutdownTimes,
}

impl Shutdown {
    /// Waits for a request to shut down, and until the shutdown has ended.
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

    /// Waits until nothing is open; at `answer_at` requests whose response has not begun are answered.
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
