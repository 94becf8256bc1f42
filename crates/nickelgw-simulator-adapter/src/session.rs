//! One run of the simulator: batches of events for any number of nodes, each batch answered with their actions.

use crate::node::Node;
use nickelgw_platform_config::fields::{integer, number, text, ConfigError};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

/// The line that ends a reply.
const REPLY_END: &str = "{\"kind\":\"DONE\"}\n";

/// Reads lines until the input ends, and answers each batch.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), ConfigError> {
    let mut session = Session::default();
    for line in input.lines() {
        let line = line.map_err(|error| ConfigError(format!("input: cannot be read: {error}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let event: Value =
            serde_json::from_str(&line).map_err(|_| ConfigError("a line is not JSON".into()))?;
        let kind = event.get("kind").and_then(Value::as_str);
        let kind = kind.ok_or_else(|| ConfigError("a line has no field kind that is text".into()))?;
        if kind == "OVER_TO_YOU" {
            let written = output.write_all(session.reply().as_bytes()).and_then(|()| output.flush());
            written.map_err(|error| ConfigError(format!("output: cannot be written: {error}")))?;
        } else {
            session.handle(kind, &event)?;
        }
    }
    Ok(())
}

/// The state between lines.
#[derive(Default)]
struct Session {
    now: f64,
    nodes: BTreeMap<u64, Node>,
    /// Endpoint lists by their number.
    pages: HashMap<u64, Vec<Value>>,
    /// The nodes that got an event in this batch, in the order of their first ones.
    touched: Vec<u64>,
    reply: String,
}

impl Session {
    /// The actions of all nodes that got an event since the last reply.
    fn reply(&mut self) -> &str {
        self.reply.clear();
        for number in self.touched.drain(..) {
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
        if !self.touched.contains(&number) {
            self.touched.push(number);
        }
        Ok(())
    }
}
