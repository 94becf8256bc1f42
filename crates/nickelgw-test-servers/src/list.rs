//! Stand-in of the engine list: full lists by long poll, late, and stalled on demand.

use crate::record::{unix_now, Record};
use crate::serve::{answer, body, error, json, serve, Answer, Cut};
use hyper::body::Incoming;
use hyper::{Method, Request};
use nickelgw_protocol::list::{EndpointEntry, EndpointList, EngineState};
use serde_json::{json, Value};
use smol::Timer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

struct Lines {
    revision: u64,
    shown: BTreeMap<String, EndpointEntry>,
    /// Changes not visible yet: from when, and the line, or its id where it is taken out.
    coming: Vec<(f64, Result<EndpointEntry, String>)>,
    stalled_until: f64,
}

impl Lines {
    fn show(&mut self, now: f64) {
        if now < self.stalled_until {
            return;
        }
        let (ripe, later): (Vec<_>, Vec<_>) = self.coming.drain(..).partition(|c| c.0 <= now);
        self.coming = later;
        for (_, change) in ripe {
            self.revision += 1;
            match change {
                Ok(line) => drop(self.shown.insert(line.id.clone(), line)),
                Err(id) => drop(self.shown.remove(&id)),
            }
        }
    }
}

fn query(uri: &hyper::Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    pairs.filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1.to_string())
}

/// Serves until dropped. `lag_s`: how late a change is seen.
pub async fn run(
    listener: TcpListener,
    engines: Vec<EndpointEntry>,
    lag_s: f64,
    record: Record,
) -> std::io::Result<()> {
    let shown = engines.into_iter().map(|l| (l.id.clone(), l)).collect();
    let lines = Lines { revision: 1, shown, coming: Vec::new(), stalled_until: 0.0 };
    let lines = Rc::new(RefCell::new(lines));
    let handle = move |r| handle(r, lines.clone(), lag_s, record.clone());
    serve(listener, None, Rc::new(handle)).await
}

async fn handle(
    request: Request<Incoming>,
    lines: Rc<RefCell<Lines>>,
    lag_s: f64,
    record: Record,
) -> Result<Answer, Cut> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/engines") => {
            let number = |n| query(request.uri(), n).and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
            let (after, wait) = (number("after"), number("wait_s"));
            let node = query(request.uri(), "node").unwrap_or_default();
            let until = unix_now() + wait;
            loop {
                let now = unix_now();
                let news = {
                    let mut l = lines.borrow_mut();
                    l.show(now);
                    // A stalled list answers nothing at all.
                    let stalled = now < l.stalled_until;
                    let fresh = l.revision as f64 > after || wait == 0.0;
                    let list = || EndpointList {
                        revision: l.revision,
                        engines: l.shown.values().cloned().collect(),
                    };
                    (!stalled && fresh).then(list)
                };
                if let Some(list) = news {
                    let of = |s: EngineState| {
                        list.engines.iter().filter(move |l| l.state == s).map(|l| l.id.as_str())
                    };
                    let (inside, draining): (Vec<_>, Vec<_>) =
                        (of(EngineState::Active).collect(), of(EngineState::Draining).collect());
                    let told =
                        json!({"node": node, "revision": list.revision, "in": inside, "draining": draining});
                    record.note("told", told);
                    let body = serde_json::to_vec(&list).map_err(|_| Cut)?;
                    return Ok(answer(200, "application/json", body));
                }
                if now >= until && now >= lines.borrow().stalled_until {
                    return Ok(answer(204, "application/json", ""));
                }
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        (&Method::POST, "/control") => {
            let Ok(v) = serde_json::from_slice::<Value>(&body(request).await?) else {
                return Ok(error(400, "bad_json"));
            };
            let now = unix_now();
            let mut l = lines.borrow_mut();
            if let Some(s) = v["stall_s"].as_f64() {
                l.stalled_until = now + s;
            }
            let late = v["lag_s"].as_f64().unwrap_or(lag_s);
            if let Ok(line) = serde_json::from_value::<EndpointEntry>(v["line"].clone()) {
                l.coming.push((now + late, Ok(line)));
            }
            if let Some(id) = v["remove"].as_str() {
                l.coming.push((now + late, Err(id.to_string())));
            }
            Ok(json(200, json!({"revision": l.revision})))
        }
        _ => Ok(error(404, "not_found")),
    }
}
