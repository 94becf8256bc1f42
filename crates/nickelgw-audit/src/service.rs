//! Service by model route, from the clients' lines.

use crate::Line;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub taken: u64,
    pub completed: u64,
    pub shed: u64,
    pub errored: u64,
    pub left: u64,
    /// Connections that broke without an answer: their node died.
    pub cut: u64,
    pub in_target: u64,
    /// Requests counted once however often they were asked again, and those of them answered in target.
    pub wanted: u64,
    pub served: u64,
    /// Seconds to the first token, sorted.
    pub first: Vec<f64>,
}

impl Service {
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let last = self.first.len().checked_sub(1)?;
        self.first.get((q * last as f64).round() as usize).copied()
    }
}

/// By model; a first token counts from the intended start of the request.
pub fn service(lines: &[Line]) -> BTreeMap<String, Service> {
    let mut out: BTreeMap<String, Service> = BTreeMap::new();
    let mut asks: BTreeMap<&str, (&Line, bool)> = BTreeMap::new();
    let mut served: BTreeSet<&str> = BTreeSet::new();
    for l in lines {
        let req = l.text("req");
        if l.ev == "ask" {
            asks.insert(req, (l, false));
            let s = out.entry(l.text("model").into()).or_default();
            s.taken += 1;
            s.wanted += u64::from(l.text("of").is_empty());
            continue;
        }
        let Some((ask, in_target)) = asks.get_mut(req) else { continue };
        let s = out.entry(ask.text("model").into()).or_default();
        match l.ev.as_str() {
            "first" => {
                let took = l.t - ask.num("intended");
                s.first.push(took);
                *in_target = took <= ask.num("target_s");
            }
            "final" => match l.text("how") {
                "completed" => {
                    s.completed += 1;
                    s.in_target += u64::from(*in_target);
                    let origin = if ask.text("of").is_empty() { req } else { ask.text("of") };
                    s.served += u64::from(*in_target && served.insert(origin));
                }
                "shed" => s.shed += 1,
                _ => s.errored += 1,
            },
            "left" => s.left += 1,
            "cut" => s.cut += 1,
            _ => {}
        }
    }
    out.values_mut().for_each(|s| s.first.sort_by(f64::total_cmp));
    out
}
