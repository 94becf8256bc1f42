//! Decisions as the simulator's actions, a line of JSON each.

use crate::node::RequestNumbers;
use nickelgw::decide::Router;
use nickelgw::interface::Decisions;
use serde_json::{json, Value};

/// Writes the actions of one node for one batch.
pub struct ActionWriter<'a> {
    /// The number of the node.
    pub node: u64,
    /// The node's decision module, for the names of engines.
    pub router: &'a Router,
    /// Which request each handle stands for.
    pub requests: &'a RequestNumbers,
    /// Where the lines go.
    pub reply: &'a mut String,
}

impl ActionWriter<'_> {
    /// All but the time of the next wake-up, in the order in which they are to be carried out.
    pub fn write(&mut self, decisions: &Decisions) {
        let i = self.node;
        for &(request, attempt) in &decisions.cancelled {
            let req = self.requests.number_of(request);
            self.push(json!({"kind": "RECALL", "i": i, "req": req, "n": attempt}));
        }
        for dispatch in &decisions.dispatches {
            let engine = self.router.engine_id(dispatch.engine);
            let req = self.requests.number_of(dispatch.request);
            let timeout_s = dispatch.timeout_s;
            self.push(
                json!({"kind": "ATTEMPT", "i": i, "req": req, "engine": engine, "patience_s": timeout_s}),
            );
        }
        for &(request, retry_after_s) in &decisions.rejected {
            let req = self.requests.number_of(request);
            self.push(json!({"kind": "DENY", "i": i, "req": req, "not_before_for_s": retry_after_s}));
        }
        for &request in &decisions.failed {
            self.push(json!({"kind": "ERROR", "i": i, "req": self.requests.number_of(request)}));
        }
        for &request in &decisions.released {
            self.push(json!({"kind": "DROP_STATE", "i": i, "req": self.requests.number_of(request)}));
        }
        for &engine in &decisions.probes {
            self.push(json!({"kind": "PROBE", "i": i, "engine": self.router.engine_id(engine)}));
        }
        if decisions.poll_endpoints {
            self.push(json!({"kind": "TAIL", "i": i, "enable": true}));
        }
    }

    /// A wake-up after this time.
    pub fn write_wake(&mut self, wait_s: f64) {
        self.push(json!({"kind": "REMIND", "i": self.node, "wait_s": wait_s, "ref": 0}));
    }

    fn push(&mut self, action: Value) {
        self.reply.push_str(&action.to_string());
        self.reply.push('\n');
    }
}
