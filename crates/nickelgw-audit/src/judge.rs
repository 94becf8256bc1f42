//! The five rules, one function each.

use crate::{Break, Line, Rule, Verdict};
use std::collections::BTreeMap;

/// Figures of the rules, from the record's own `rules` line.
struct Figures<'a> {
    grace: f64,
    hold: f64,
    /// What is allowed for between an action and its record: scheduling, not policy.
    slack: f64,
    /// A word that takes away more than this part, and number, of the engines at once may be doubted for so long; where
    /// the record says nothing of it, it may not.
    doubt: Option<(f64, f64, f64)>,
    routes: &'a serde_json::Value,
}

/// Everything recorded of one inference.
#[derive(Default)]
struct Story<'a> {
    ask: Option<&'a Line>,
    finals: Vec<&'a Line>,
    first: Option<&'a Line>,
    left: Option<&'a Line>,
    cut: Option<&'a Line>,
    sends: Vec<&'a Line>,
    ran: Vec<&'a Line>,
    turned: Vec<&'a str>,
}

impl<'a> Story<'a> {
    /// Sends to writers that no word of theirs proves not to have run.
    fn unproven(&self) -> impl Iterator<Item = &&'a Line> {
        self.sends.iter().filter(|s| s.text("role") == "write" && !self.turned.contains(&s.text("send")))
    }
}

fn add(v: &mut Verdict, rule: Rule, what: String, evidence: &[&Line]) {
    v.breaks.push(Break { rule, what, evidence: evidence.iter().map(|l| l.rest.clone()).collect() });
}

pub fn judge(lines: &[Line]) -> Verdict {
    let mut v = Verdict::default();
    let Some(head) = lines.iter().find(|l| l.ev == "rules") else {
        add(&mut v, Rule::Lost, "the record has no line of rules: nothing can be judged".into(), &[]);
        return v;
    };
    let f = Figures {
        grace: head.num("drain_grace_s"),
        hold: head.num("hold_limit_s"),
        slack: head.num("slack_s"),
        doubt: head.rest["doubt_share"].as_f64().map(|s| (s, head.num("doubt_least"), head.num("doubt_s"))),
        routes: &head.rest["routes"],
    };
    let mut stories: BTreeMap<&str, Story> = BTreeMap::new();
    for l in lines.iter().filter(|l| !l.text("req").is_empty()) {
        let s = stories.entry(l.text("req")).or_default();
        match l.ev.as_str() {
            "ask" => s.ask = Some(l),
            "first" => s.first = Some(l),
            "final" => s.finals.push(l),
            "left" => s.left = Some(l),
            "cut" => s.cut = Some(l),
            "send" => s.sends.push(l),
            "ran" => s.ran.push(l),
            "turned" => s.turned.push(l.text("send")),
            _ => {}
        }
    }
    let killed: Vec<&Line> = lines.iter().filter(|l| l.ev == "killed").collect();
    for (req, s) in &stories {
        if let Some(ask) = s.ask {
            lost(&mut v, &f, req, s, ask, &killed);
            twice(&mut v, &f, req, s, ask, lines);
        }
    }
    drain(&mut v, &f, lines);
    cold(&mut v, lines);
    pinned(&mut v, &f, lines, &killed);
    v
}

fn lost(v: &mut Verdict, f: &Figures, req: &str, s: &Story, ask: &Line, killed: &[&Line]) {
    *v.judged.entry("lost").or_default() += 1;
    if s.finals.len() > 1 {
        add(v, Rule::Lost, format!("{req} got {} final answers", s.finals.len()), &s.finals);
    }
    let node = ask.text("node");
    match (s.finals.first(), s.left, s.cut) {
        (Some(last), _, _) => {
            let due = ask.t + ask.num("timeout_s") + f.slack;
            // A begun stream has no deadline; a beginning has.
            let answered = s.first.map_or(last.t, |x| x.t);
            if answered > due {
                let late =
                    format!("{req} was answered {:.3} s after the client's time", answered - due + f.slack);
                add(v, Rule::Lost, late, &[ask, last]);
            }
        }
        (None, Some(_), _) => {}
        (None, None, cut) => {
            let until = cut.map_or(f64::INFINITY, |c| c.t + f.slack);
            let dead = killed.iter().any(|k| k.text("node") == node && k.t >= ask.t - 5.0 && k.t <= until);
            if !dead {
                let mut evidence = vec![ask];
                evidence.extend(cut);
                add(v, Rule::Lost, format!("{req} got no final answer though its node lived"), &evidence);
            }
        }
    }
    let over = [s.finals.first().copied(), s.left].into_iter().flatten().min_by(|a, b| a.t.total_cmp(&b.t));
    if let Some(over) = over {
        for late in s.sends.iter().filter(|x| x.t > over.t + f.slack) {
            add(v, Rule::Lost, format!("{req} was sent after it was over"), &[over, late]);
        }
    }
}

/// Zone or cell of an engine, whichever the group goes by.
fn group_of(lines: &[Line], engine: &str, group: &str) -> String {
    let start = lines.iter().find(|l| l.ev == "start" && l.who == engine);
    match (start, group) {
        (Some(s), "zone") => s.text("zone").into(),
        (Some(s), "cell") => s.num("cell").to_string(),
        _ => String::new(),
    }
}

fn twice(v: &mut Verdict, f: &Figures, req: &str, s: &Story, ask: &Line, lines: &[Line]) {
    let route = &f.routes[ask.text("model")];
    let repeat = route["repeat"].as_str().unwrap_or("retriable");
    if repeat == "retriable" {
        return;
    }
    *v.judged.entry("twice").or_default() += 1;
    let group = route["group"].as_str().unwrap_or("all");
    let Some(first) = s.unproven().next() else { return };
    let shed = s.finals.iter().find(|l| l.text("how") == "shed");
    if let Some(shed) = shed.filter(|_| repeat == "non_retriable" || group != "all") {
        add(v, Rule::Twice, format!("{req} was shed though it may have run"), &[first, shed]);
    }
    let later = s.sends.iter().filter(|x| x.text("role") == "write" && x.t > first.t);
    for again in later {
        if repeat == "non_retriable" {
            add(
                v,
                Rule::Twice,
                format!("non-retriable {req} was sent again though it may have run"),
                &[first, again],
            );
            continue;
        }
        let memory = route["memory_s"].as_f64().unwrap_or(0.0);
        if again.t > first.t + memory + f.slack {
            add(
                v,
                Rule::Twice,
                format!("deduped {req} was sent again after the memory span"),
                &[first, again],
            );
        }
        if group_of(lines, &first.who, group) != group_of(lines, &again.who, group) {
            add(v, Rule::Twice, format!("deduped {req} was sent outside its {group}"), &[first, again]);
        }
    }
    if repeat == "non_retriable" && s.ran.len() > 1 {
        add(v, Rule::Twice, format!("non-retriable {req} ran {} times", s.ran.len()), &s.ran);
    }
}

fn drain(v: &mut Verdict, f: &Figures, lines: &[Line]) {
    // By node and engine: the line by which it was told that the engine is not in, while that stands, and whether it
    // is gone with so many others that this may be doubted.
    let mut out: BTreeMap<(&str, &str), (&Line, bool)> = BTreeMap::new();
    let mut known: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for l in lines {
        match l.ev.as_str() {
            "told" => {
                let node = l.text("node");
                let inside: Vec<&str> =
                    l.rest["in"].as_array().into_iter().flatten().filter_map(|x| x.as_str()).collect();
                let before = known.insert(node, inside.clone()).unwrap_or_default();
                out.retain(|k, _| k.0 != node || !inside.contains(&k.1));
                let gone: Vec<&str> = before.iter().copied().filter(|e| !inside.contains(e)).collect();
                let doubted = out.iter().filter(|(k, o)| k.0 == node && o.1).count();
                // Drains are never doubted.
                let without_drain = gone.iter().filter(|e| !l.has("draining", e)).count() + doubted;
                let many = f.doubt.is_some_and(|(share, least, _)| {
                    without_drain as f64 > least
                        && without_drain as f64 > share * (before.len() + doubted) as f64
                });
                for e in gone {
                    *v.judged.entry("drain").or_default() += 1;
                    out.entry((node, e)).or_insert((l, many && !l.has("draining", e)));
                }
            }
            "send" => {
                let Some((told, doubt)) = out.get(&(l.text("node"), l.who.as_str())) else { continue };
                let doubt_s = if *doubt { f.doubt.map_or(0.0, |d| d.2) } else { 0.0 };
                if doubt_s > 0.0 && l.t > told.t + f.grace + f.slack {
                    v.doubted += 1;
                }
                if l.t > told.t + doubt_s + f.grace + f.slack {
                    let late = l.t - told.t;
                    let state = if told.has("draining", &l.who) { "drained" } else { "was gone" };
                    let what =
                        format!("{} got a send {late:.3} s after {} heard it {state}", l.who, l.text("node"));
                    add(v, Rule::Drain, what, &[told, l]);
                }
            }
            // A process started anew knows what it is told anew.
            "killed" => out.retain(|k, _| k.0 != l.text("node")),
            _ => {}
        }
    }
}

fn cold(v: &mut Verdict, lines: &[Line]) {
    /// Its start, and what came since within its window: when, and how much.
    type Since<'a> = (&'a Line, Vec<(f64, f64)>);
    let mut started: BTreeMap<&str, Since> = BTreeMap::new();
    for l in lines {
        let who = l.who.as_str();
        match l.ev.as_str() {
            "start" if l.rest["cold"] == true => {
                started.insert(who, (l, Vec::new()));
                *v.judged.entry("cold").or_default() += 1;
            }
            "send" => {
                let Some((start, sends)) = started.get_mut(who) else { continue };
                let (age, window) = (l.t - start.t, start.num("tip_window_s"));
                if age > start.num("warm_s") {
                    continue;
                }
                sends.push((l.t, l.num("work")));
                sends.retain(|s| s.0 >= l.t - window);
                let from = start.num("cold_from");
                let warmth = (from + (1.0 - from) * age / start.num("warm_s")).min(1.0);
                let stands = start.num("tip_multiple") * start.num("slots") * warmth * window;
                let sum: f64 = sends.iter().map(|s| s.1).sum();
                v.nearest_cold = v.nearest_cold.max(sum / stands.max(1e-9));
            }
            "fell" => {
                let start = started.get(who).map(|s| s.0);
                let evidence: Vec<&Line> = start.into_iter().chain([l]).collect();
                add(v, Rule::Cold, format!("{who} was pushed over while cold"), &evidence);
            }
            _ => {}
        }
    }
}

/// When an engine could not be reached by all: from its faults, as it recorded them.
fn unreachable(lines: &[Line], engine: &str) -> Vec<(f64, f64)> {
    let of = lines.iter().filter(|l| l.ev == "fault" && l.who == engine);
    of.filter(|l| matches!(l.text("fault"), "cut" | "silence" | "handshake_cut" | "handshake_slow"))
        .map(|l| (l.t, l.t + l.num("for_s")))
        .collect()
}

fn pinned(v: &mut Verdict, f: &Figures, lines: &[Line], killed: &[&Line]) {
    struct Held<'a> {
        line: &'a Line,
        node: &'a str,
        /// Since when no send was out for it; none while one is.
        since: Option<f64>,
    }
    let mut node_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut held: BTreeMap<&str, Held> = BTreeMap::new();
    let mut taken_by: BTreeMap<&str, &str> = BTreeMap::new();
    let end = lines.last().map_or(0.0, |l| l.t);
    let mut over: Vec<(Held, f64)> = Vec::new();
    for l in lines {
        match l.ev.as_str() {
            "send" => {
                node_of.insert(l.text("send"), l.text("node"));
                let state = l.text("state");
                if let Some(h) = held.get_mut(state) {
                    if let Some(since) = h.since.take() {
                        over.push((Held { line: h.line, node: h.node, since: Some(since) }, l.t));
                    }
                    taken_by.insert(l.text("send"), state);
                }
            }
            "read" => {
                *v.judged.entry("pinned").or_default() += 1;
                let node = node_of.get(l.text("send")).copied().unwrap_or("");
                held.insert(l.text("send"), Held { line: l, node, since: Some(l.t) });
            }
            "turned" | "failed" => {
                if let Some(h) = taken_by.remove(l.text("send")).and_then(|s| held.get_mut(s)) {
                    h.since = Some(l.t);
                }
            }
            "fetched" | "let_go" | "expired" => {
                if let Some(h) = held.remove(l.text("state")) {
                    if h.since.is_some() {
                        over.push((h, l.t));
                    }
                }
            }
            // Its process ended, and all that it held with it.
            "start" | "died" => {
                let gone: Vec<&str> =
                    held.iter().filter(|(_, h)| h.line.who == l.who).map(|(n, _)| *n).collect();
                for name in gone {
                    if let Some(h) = held.remove(name).filter(|h| h.since.is_some()) {
                        over.push((h, l.t));
                    }
                }
            }
            _ => {}
        }
    }
    over.extend(held.into_values().filter(|h| h.since.is_some()).map(|h| (h, end)));
    for (h, until) in over {
        let since = h.since.unwrap_or(until);
        let limit = since + f.hold + f.slack;
        if until <= limit {
            v.held.push(until - since);
            continue;
        }
        // The limit rests on the node's being alive and its call's getting through.
        let died = killed.iter().any(|k| k.text("node") == h.node && k.t >= since - f.slack && k.t <= limit);
        let away = unreachable(lines, &h.line.who);
        let cut = away.iter().any(|a| a.0 <= limit && a.1 >= since && until <= a.1 + f.hold + f.slack);
        if died || cut {
            v.excused += 1;
            continue;
        }
        v.held.push(until - since);
        let what = format!("{} was held at {} for {:.3} s", h.line.text("send"), h.line.who, until - since);
        add(v, Rule::Pinned, what, &[h.line]);
    }
    v.held.sort_by(f64::total_cmp);
}
