//! Speaks the bench's wire on standard input and output: events become calls, lists become actions.

mod node;

use nickelgw_platform_config::fields::{integer, number, text, ConfigError};
use node::Node;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), ConfigError> {
    let mut nodes: BTreeMap<u64, Node> = BTreeMap::new();
    let mut pages: HashMap<u64, Vec<Value>> = HashMap::new();
    let mut touched: Vec<u64> = Vec::new();
    let mut now = 0.0;
    let mut reply = String::new();
    for line in input.lines() {
        let line = line.map_err(|e| ConfigError(format!("input: cannot be read: {e}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let event: Value =
            serde_json::from_str(&line).map_err(|_| ConfigError("a line is not JSON".into()))?;
        let kind = event.get("kind").and_then(Value::as_str);
        let kind = kind.ok_or_else(|| ConfigError("a line has no field kind that is text".into()))?;
        match kind {
            "CLOCK" => now = number(&event, "time_s")?,
            "PAGE" => {
                let items = event.get("items").and_then(Value::as_array);
                let items = items.ok_or_else(|| ConfigError::field(&event, "items", "a list"))?;
                pages.insert(integer(&event, "list")?, items.clone());
            }
            "OVER_TO_YOU" => {
                reply.clear();
                for i in touched.drain(..) {
                    if let Some(node) = nodes.get_mut(&i) {
                        node.act(now, i, &mut reply);
                    }
                }
                reply.push_str("{\"kind\":\"DONE\"}\n");
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|e| ConfigError(format!("output: cannot be written: {e}")))?;
            }
            _ => {
                if event.get("i").is_none() {
                    continue;
                }
                let i = integer(&event, "i")?;
                match kind {
                    "PROVISION" => {
                        nodes.insert(i, Node::new(&event)?);
                    }
                    "KILLED" => {
                        nodes.remove(&i);
                    }
                    _ => {
                        let Some(node) = nodes.get_mut(&i) else { continue };
                        if kind == "MEMBERSHIP" && text(&event, "how")? != "failed" {
                            let list = integer(&event, "list")?;
                            let page = pages.get(&list);
                            let page = page
                                .ok_or_else(|| ConfigError::field(&event, "list", "a known list's number"))?;
                            node.membership(now, &event, page)?;
                        } else {
                            node.event(now, kind, &event)?;
                        }
                    }
                }
                if !touched.contains(&i) {
                    touched.push(i);
                }
            }
        }
    }
    Ok(())
}

fn main() {
    if let Err(ConfigError(why)) = run(io::stdin().lock(), io::stdout().lock()) {
        eprintln!("nickelgw-simulator-adapter: {why}");
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
