//! Stand-ins for the clients, engines and discovery of the operators' platform, and the cases of the second
//! review. They use only the standard library, loopback addresses and the real clock.
//!
//!     cases NAME RECORD      TROUBLE=0 plays the case without its disruption
//!
//! The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. The working
//! directory is the root of the repository.

mod cases;
mod client;
mod discovery;
mod engine;
mod http;
mod node;
mod record;

use record::Record;
use std::process::exit;
use std::sync::Arc;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let verdict = match name.as_str() {
        "half-requests" => cases::half_requests(&record, trouble),
        "memory" => cases::memory(&record, trouble),
        "crowded-agent" => cases::crowded_agent(&record, trouble),
        "restart-behind" => cases::restart_behind(&record, trouble),
        "reload-outage" => cases::reload_outage(&record, trouble),
        _ => Err(format!("there is no case {name}")),
    };
    let (status, text) = match &verdict {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&format!("result: {text}"));
    println!("{name}: {text}");
    exit(status);
}
