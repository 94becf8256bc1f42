//! Conversion of decisions to the simulator's actions, one line of JSON each.

use crate::node::RequestNumbers;
use nickelgw::decide::Router;
use nickelgw::interface::Decisions;
use serde_json::{json, Value};

/// Writes the actions of one node for one batch.
pub struct ActionWriter<'a> {
    /// The simulator's number of the node.
    pub node: u64,
    /// The node's decision module, which gives the ids of engines.
    pub router: &'a Router,
    /// The simulator's number of each request handle.
    pub requests: &'a RequestNumbers,
    /// Buffer that the lines are appended to.
    pub reply: &'a mut String,
}

impl ActionWriter<'_> {
    /// Writes all decisions except the time of the next wake-up, in the order in which they are to be carried
    /// out.
    pub fn write(&mut self, decisions: &Decisions) {
        let node = self.node;
        for &(request, attempt) in &decisions.cancelled {
            let req = self.requests.number_of(request);
            self.push(json!({"kind": "RECALL", "i": node, "req": req, "n": attempt}));
        }
        for dispatch in &decisions.dispatches {
            let engine = self.router.engine_id(dispatch.engine);
            let req = self.requests.number_of(dispatch.request);
            let timeout_s = dispatch.timeout_s;
            self.push(
                json!({"kind": "ATTEMPT", "i": node, "req": req, "engine": engine, "patience_s": timeout_s}),
            );
        }
        for &(request, retry_after_s) in &decisions.rejected {
            let req = self.requests.number_of(request);
            self.push(json!({"kind": "DENY", "i": node, "req": req, "not_before_for_s": retry_after_s}));
        }
        for &request in &decisions.failed {
            self.push(json!({"kind": "ERROR", "i": node, "req": self.requests.number_of(request)}));
        }
        for &request in &decisions.released {
            self.push(json!({"kind": "DROP_STATE", "i": node, "req": self.requests.number_of(request)}));
        }
        for &engine in &decisions.probes {
            self.push(json!({"kind": "PROBE", "i": node, "engine": self.router.engine_id(engine)}));
        }
        if decisions.poll_endpoints {
            self.push(json!({"kind": "TAIL", "i": node, "enable": true}));
        }
    }

    /// Writes the action that requests a wake-up after this time.
    pub fn write_wake(&mut self, wait_s: f64) {
        self.push(json!({"kind": "REMIND", "i": self.node, "wait_s": wait_s, "ref": 0}));
    }

    fn push(&mut self, action: Value) {
        self.reply.push_str(&action.to_string());
        self.reply.push('\n');
    }
}
