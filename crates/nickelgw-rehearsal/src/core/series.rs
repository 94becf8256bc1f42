//! Service over time, from the clients' lines: how much of what was wanted in each span was served in target, and the
//! worst ten seconds.

use nickelgw_audit::RecordEntry;
use std::collections::{BTreeMap, BTreeSet};

/// Counts of one model route in one span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Span {
    pub wanted: u32,
    pub served: u32,
    pub shed: u32,
    pub errored: u32,
}

impl Span {
    /// Part served in target; none where nothing was wanted.
    pub fn share(&self) -> Option<f64> {
        (self.wanted > 0).then(|| f64::from(self.served) / f64::from(self.wanted))
    }

    fn add(&mut self, o: &Span) {
        self.wanted += o.wanted;
        self.served += o.served;
        self.shed += o.shed;
        self.errored += o.errored;
    }
}

#[derive(Clone, Debug, Default)]
pub struct Series {
    /// By model route, each second of the day.
    pub routes: BTreeMap<String, Vec<Span>>,
    pub seconds: usize,
}

/// Spans by which the worst time is looked for.
pub const WORST_S: usize = 10;

impl Series {
    /// `begun`: Unix time at the day's second 0. A request counts in the second in which it was first wanted.
    pub fn of(lines: &[RecordEntry], begun: f64, length_s: f64) -> Series {
        let seconds = length_s.ceil().max(1.0) as usize;
        let mut out = Series { routes: BTreeMap::new(), seconds };
        // Of each request: its route, second, and target; asked again it is the first that counts.
        let mut asks: BTreeMap<&str, (&str, usize, &RecordEntry)> = BTreeMap::new();
        let mut in_target: BTreeSet<&str> = BTreeSet::new();
        let mut served: BTreeSet<&str> = BTreeSet::new();
        for l in lines {
            let req = l.text("req");
            if l.event == "ask" {
                let origin = l.text("of");
                let at = match asks.get(origin) {
                    Some(first) => first.1,
                    None => ((l.number("intended") - begun).max(0.0) as usize).min(seconds - 1),
                };
                asks.insert(req, (l.text("model"), at, l));
                if origin.is_empty() {
                    out.span(l.text("model"), at).wanted += 1;
                }
                continue;
            }
            let Some(&(model, at, ask)) = asks.get(req) else { continue };
            let origin = if ask.text("of").is_empty() { req } else { ask.text("of") };
            match (l.event.as_str(), l.text("how")) {
                ("first", _) if l.time_s - ask.number("intended") <= ask.number("target_s") => {
                    in_target.insert(req);
                }
                ("final", "completed") if in_target.contains(req) && served.insert(origin) => {
                    out.span(model, at).served += 1;
                }
                ("final", "shed") => out.span(model, at).shed += 1,
                ("final", "errored") | ("cut", _) => out.span(model, at).errored += 1,
                _ => {}
            }
        }
        out
    }

    fn span(&mut self, model: &str, at: usize) -> &mut Span {
        &mut self.routes.entry(model.into()).or_insert_with(|| vec![Span::default(); self.seconds])[at]
    }

    /// All routes together, in a range of seconds.
    pub fn sum(&self, from: usize, to: usize) -> Span {
        let mut all = Span::default();
        for spans in self.routes.values() {
            spans[from.min(self.seconds)..to.min(self.seconds)].iter().for_each(|s| all.add(s));
        }
        all
    }

    /// The ten seconds with the least service: when they begin, and the part served.
    pub fn worst(&self) -> Option<(usize, f64)> {
        let last = self.seconds.saturating_sub(WORST_S);
        let spans = (0..=last).filter_map(|n| Some((n, self.sum(n, n + WORST_S).share()?)));
        spans.fold(None, |worst: Option<(usize, f64)>, x| match worst {
            Some(w) if w.1 <= x.1 => Some(w),
            _ => Some(x),
        })
    }

    /// Seconds from a moment until service, over spans of two seconds, is back within a part of what it was in the ten
    /// before it. None: not until the end.
    pub fn back_after(&self, at: usize, part: f64) -> Option<usize> {
        let before = self.sum(at.saturating_sub(WORST_S), at).share()?;
        let back = |n: &usize| self.sum(*n, n + 2).share().is_some_and(|s| s >= part * before);
        (at..self.seconds.saturating_sub(1)).find(back).map(|n| n - at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn line(t: f64, v: serde_json::Value) -> RecordEntry {
        let mut v = v;
        (v["t"], v["who"]) = (json!(t), json!("client"));
        RecordEntry::from_json(&v).unwrap()
    }

    #[test]
    fn a_request_counts_once_and_when_it_was_first_wanted() {
        let ask = |t: f64, req: &str, of: Option<&str>| {
            line(
                t,
                json!({"ev": "ask", "req": req, "of": of, "model": "chat", "intended": t, "target_s": 0.5}),
            )
        };
        let mut lines = Vec::new();
        for n in 0..30 {
            let (t, req) = (100.0 + f64::from(n), format!("q{n}"));
            lines.push(ask(t, &req, None));
            if !(10..15).contains(&n) {
                lines.push(line(t + 0.1, json!({"ev": "first", "req": req})));
                lines.push(line(t + 0.2, json!({"ev": "final", "how": "completed", "req": req})));
            } else {
                lines.push(line(t + 0.1, json!({"ev": "final", "how": "shed", "req": req})));
                // Asked again it is answered, in target and then late.
                let again = format!("{req}-1");
                lines.push(ask(t + 3.0, &again, Some(&req)));
                let late = if n == 10 { 0.1 } else { 2.0 };
                lines.push(line(t + 3.0 + late, json!({"ev": "first", "req": again})));
                lines.push(line(t + 6.0, json!({"ev": "final", "how": "completed", "req": again})));
            }
        }
        lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
        let s = Series::of(&lines, 100.0, 30.0);
        let spans = &s.routes["chat"];
        assert_eq!((spans[9].served, spans[10].served, spans[12].served), (1, 1, 0));
        assert_eq!((spans[12].shed, s.sum(0, 30).wanted, s.sum(0, 30).served), (1, 30, 26));
        assert_eq!(s.worst(), Some((5, 0.6)));
        assert_eq!((s.back_after(11, 0.95), s.back_after(20, 0.95)), (Some(4), Some(0)));
    }
}
