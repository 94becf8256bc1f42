//! One run of the simulator: batches of events for any number of nodes, each answered with the nodes'
//! actions.

use crate::node::Node;
use nickelgw_platform_config::fields::{integer, number, text, ConfigError};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

/// Last line of each reply.
const REPLY_END: &str = "{\"kind\":\"DONE\"}\n";

/// Reads lines until the end of the input, and answers each batch of events.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), ConfigError> {
    let mut session = Session::default();
    for line in input.lines() {
        let line = line.map_err(|error| ConfigError(format!("cannot read input: {error}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let event: Value =
            serde_json::from_str(&line).map_err(|_| ConfigError("an input line is not JSON".into()))?;
        let kind = event.get("kind").and_then(Value::as_str);
        let kind =
            kind.ok_or_else(|| ConfigError("an input line has no field kind with a text value".into()))?;
        if kind == "OVER_TO_YOU" {
            let written = output.write_all(session.reply().as_bytes()).and_then(|()| output.flush());
            written.map_err(|error| ConfigError(format!("cannot write output: {error}")))?;
        } else {
            session.handle(kind, &event)?;
        }
    }
    Ok(())
}

/// State kept between input lines.
#[derive(Default)]
struct Session {
    now: f64,
    nodes: BTreeMap<u64, Node>,
    /// Endpoint lists by the number of the list.
    pages: HashMap<u64, Vec<Value>>,
    /// Nodes with an event in this batch, in the order of each node's first event.
    nodes_with_events: Vec<u64>,
    reply: String,
}

impl Session {
    /// Returns the actions of all nodes with an event since the last reply.
    fn reply(&mut self) -> &str {
        self.reply.clear();
        for number in self.nodes_with_events.drain(..) {
            if let Some(node) = self.nodes.get_mut(&number) {
                node.write_actions(self.now, number, &mut self.reply);
            }
        }
        self.reply.push_str(REPLY_END);
        &self.reply
    }

    fn handle(&mut self, kind: &str, event: &Value) -> Result<(), ConfigError> {
        match kind {
            "CLOCK" => self.now = number(event, "time_s")?,
            "PAGE" => {
                let items = event.get("items").and_then(Value::as_array);
                let items = items.ok_or_else(|| ConfigError::field(event, "items", "a list"))?;
                self.pages.insert(integer(event, "list")?, items.clone());
            }
            _ if event.get("i").is_some() => self.handle_for_node(kind, event)?,
            _ => {}
        }
        Ok(())
    }

    fn handle_for_node(&mut self, kind: &str, event: &Value) -> Result<(), ConfigError> {
        let number = integer(event, "i")?;
        match kind {
            "PROVISION" => {
                self.nodes.insert(number, Node::new(event)?);
            }
            "KILLED" => {
                self.nodes.remove(&number);
            }
            _ => {
                let Some(node) = self.nodes.get_mut(&number) else { return Ok(()) };
                if kind == "MEMBERSHIP" && text(event, "how")? != "failed" {
                    let page = self.pages.get(&integer(event, "list")?);
                    let page =
                        page.ok_or_else(|| ConfigError::field(event, "list", "a known list's number"))?;
                    node.update_endpoints(self.now, event, page)?;
                } else {
                    node.handle(self.now, kind, event)?;
                }
            }
        }
        if !self.nodes_with_events.contains(&number) {
            self.nodes_with_events.push(number);
        }
        Ok(())
    }
}
