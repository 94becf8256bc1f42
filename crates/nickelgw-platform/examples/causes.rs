//! Why inferences were not served in target, as a table by cause, class and engines: read from the logs of all nodes of a
//! day (`--log-level debug`).
//!
//!     cargo run --release -p nickelgw-platform --example causes -- LOGS [--fresh SECONDS] [--reads]
//!
//! `--fresh`: an engine is called fresh for so long after its start (the settings' warm_within_s). `--reads`: times of reads
//! that ended, expected and taken, by how many prompts were there before.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// One inference, as its node wrote it down.
#[derive(Default)]
pub struct Story {
    route: u32,
    taken: f64,
    target: f64,
    /// The client's whole time for a first token.
    due: f64,
    sends: Vec<Send>,
    read: Option<f64>,
    begun: Option<f64>,
    whole: bool,
    gone: bool,
    reason: Option<String>,
}

struct Send {
    at: f64,
    reads: bool,
    there: f64,
    expected: f64,
    age: f64,
    silent: f64,
    ended: Option<String>,
}

#[derive(Default)]
pub struct Table {
    pub fresh: f64,
    pub rows: BTreeMap<(String, &'static str), BTreeMap<u32, u32>>,
    pub taken: BTreeMap<u32, u32>,
    pub served: BTreeMap<u32, u32>,
    /// By prompts there before: expected and taken, of reads that ended.
    pub reads: BTreeMap<u32, Vec<(f64, f64)>>,
}

/// The value of `name=` in a line, without quotes.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let at = line.match_indices(name).find(|(i, _)| {
        let before = line[..*i].chars().next_back();
        before.is_none_or(|c| c == ' ') && line[i + name.len()..].starts_with('=')
    })?;
    let rest = &line[at.0 + name.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}

fn number(line: &str, name: &str) -> f64 {
    field(line, name).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Reads one node's log; a request's id is its own on all nodes.
pub fn read(text: &str, stories: &mut BTreeMap<String, Story>, refused: &mut BTreeMap<String, u32>) {
    for line in text.lines() {
        let Some(word) = line.split(": ").nth(1) else { continue };
        let at = number(line, "at");
        if word.starts_with("refused ") {
            *refused.entry(field(line, "word").unwrap_or("?").to_string()).or_default() += 1;
        }
        let Some(id) = field(line, "request") else { continue };
        if word.starts_with("taken ") {
            let (route, target, due) =
                (number(line, "route") as u32, number(line, "target_s"), number(line, "due_s"));
            stories.insert(id.to_string(), Story { route, taken: at, target, due, ..Story::default() });
            continue;
        }
        let Some(s) = stories.get_mut(id) else { continue };
        let send = || field(line, "send").and_then(|n| n.parse::<usize>().ok());
        if word.starts_with("sent ") {
            s.sends.push(Send {
                at,
                reads: field(line, "read") == Some("true"),
                there: number(line, "there"),
                expected: number(line, "expected_s"),
                age: number(line, "age_s"),
                silent: number(line, "silent_s"),
                ended: None,
            });
        } else if word.starts_with("read ") {
            s.read = Some(at);
            s.sends
                .iter_mut()
                .rev()
                .find(|x| x.reads)
                .into_iter()
                .for_each(|x| x.ended = Some("Read".into()));
        } else if word.starts_with("send ended ") {
            let cause = field(line, "cause").unwrap_or("?").to_string();
            send().and_then(|n| s.sends.get_mut(n)).into_iter().for_each(|x| x.ended = Some(cause.clone()));
        } else if word.starts_with("begun ") {
            s.begun = Some(at);
        } else if word.starts_with("whole ") {
            s.whole = true;
        } else if word.starts_with("its client has gone") {
            s.gone = true;
        } else if word.starts_with("given up ") {
            s.reason = line.split_once("reason=").map(|r| r.1.to_string());
        }
    }
}

impl Table {
    pub fn add(&mut self, s: &Story) {
        *self.taken.entry(s.route).or_default() += 1;
        if s.whole && s.begun.is_some_and(|b| b - s.taken <= s.target) {
            *self.served.entry(s.route).or_default() += 1;
        } else {
            // Such clients ask again and again; they are no more than one each.
            let short =
                if s.begun.is_none() && s.due < s.target { ", client's time below the target" } else { "" };
            *self.rows.entry((cause(s) + short, self.engines(s))).or_default().entry(s.route).or_default() +=
                1;
        }
        let ended = s.sends.iter().find(|x| x.ended.as_deref() == Some("Read"));
        if let (Some(x), Some(at)) = (ended, s.read) {
            let there = if x.there < 1.0 { 0 } else { x.there.log2() as u32 + 1 };
            self.reads.entry(there).or_default().push((x.expected, at - x.at));
        }
    }

    /// What its engines were: of those it was sent to the worst off; unsent, whether fresh ones were kept from it.
    fn engines(&self, s: &Story) -> &'static str {
        if s.sends.is_empty() {
            let of = |name: &str| {
                s.reason
                    .as_deref()
                    .and_then(|r| r.split_once(&format!("{name}: ")))
                    .and_then(|r| r.1.split([',', ' ']).next().and_then(|n| n.parse::<u32>().ok()))
            };
            return match (of("open"), of("readers")) {
                (Some(0), _) => "none open to it",
                (Some(o), Some(n)) if o < n => "some kept from it",
                (Some(_), Some(_)) => "all open to it",
                _ => "",
            };
        }
        match s.sends.last() {
            Some(x) if x.silent > 0.0 || x.ended.as_deref() == Some("NoConnection") => "silent",
            Some(x) if x.age < self.fresh => "fresh",
            Some(_) => "sound",
            None => "",
        }
    }
}

fn cause(s: &Story) -> String {
    let why = s.reason.as_deref().map(|r| r.split(' ').next().unwrap_or(r));
    let Some(last) = s.sends.last() else {
        return match why {
            Some(why) => format!("unsent: {why}"),
            None if s.gone => "unsent: client gone".into(),
            None => "unsent: node ended".into(),
        };
    };
    if let Some(begun) = s.begun {
        if begun - s.taken <= s.target {
            return if s.gone { "begun in time: client gone" } else { "begun in time: broke" }.into();
        }
        let read = s.read.unwrap_or(last.at);
        let first = s.sends.first().map_or(last.at, |x| x.at);
        let again = s.sends.iter().filter(|x| x.reads).count() > 1;
        let parts = [
            ("queued at the node", first - s.taken),
            (if again { "read again" } else { "queue and read at the reader" }, read - first),
            ("at the writer", begun - read),
        ];
        let longest = parts.iter().max_by(|x, y| x.1.total_cmp(&y.1)).map_or("", |p| p.0);
        return format!("begun late: {longest}");
    }
    let tried = s.sends.len();
    let stage = if last.reads { "at a reader" } else { "at a writer" };
    let how = match (last.ended.as_deref(), why) {
        (None | Some("CalledOff" | "NoAnswer"), _) => "no answer".to_string(),
        (Some("Read"), _) => return format!("read, no writer: {}", why.unwrap_or("client gone")),
        (Some(c), _) => c.to_string(),
    };
    let more = if tried > 2 { ", sent again" } else { "" };
    let gone = if s.gone && why.is_none() { ", client gone" } else { "" };
    format!("sent: {how} {stage}{more}{gone}")
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(dir) = args.first() else {
        eprintln!("causes LOGS [--fresh SECONDS] [--reads]");
        std::process::exit(2);
    };
    let after = |name: &str| args.iter().position(|a| a == name).and_then(|i| args.get(i + 1));
    let fresh = after("--fresh").and_then(|s| s.parse().ok()).unwrap_or(13.0);
    let mut table = Table { fresh, ..Table::default() };
    let mut refused = BTreeMap::new();
    let mut stories = BTreeMap::new();
    files(Path::new(dir), &mut |text| read(text, &mut stories, &mut refused))?;
    stories.values().for_each(|s| table.add(s));
    show(&table, &refused, args.iter().any(|a| a == "--reads"));
    Ok(())
}

fn files(at: &Path, each: &mut impl FnMut(&str)) -> std::io::Result<()> {
    let mut paths: Vec<_> =
        fs::read_dir(at)?.collect::<Result<Vec<_>, _>>()?.iter().map(|e| e.path()).collect();
    paths.sort();
    for p in paths {
        if p.is_dir() {
            files(&p, each)?;
        } else {
            each(&String::from_utf8_lossy(&fs::read(&p)?));
        }
    }
    Ok(())
}

fn show(t: &Table, refused: &BTreeMap<String, u32>, reads: bool) {
    let routes: Vec<u32> = t.taken.keys().copied().collect();
    let line = |name: &str, engines: &str, of: &BTreeMap<u32, u32>| {
        let each: Vec<String> = routes.iter().map(|r| of.get(r).copied().unwrap_or(0).to_string()).collect();
        println!("| {name} | {engines} | {} | {} |", of.values().sum::<u32>(), each.join(" | "));
    };
    let heads: Vec<String> = routes.iter().map(|r| format!("route {r}")).collect();
    println!("| cause | engines | all | {} |\n|{}", heads.join(" | "), " --- |".repeat(routes.len() + 3));
    line("taken", "", &t.taken);
    line("served in target", "", &t.served);
    let mut rows: Vec<_> = t.rows.iter().collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.1.values().sum::<u32>()));
    for ((cause, engines), of) in rows {
        line(cause, engines, of);
    }
    println!("refused at the door, not taken: {refused:?}");
    if reads {
        println!("\n| there before | reads | expected s, middle | taken s, middle | taken s, 95th |\n| --- | --- | --- | --- | --- |");
        for (there, times) in &t.reads {
            let part = |q: f64, of: fn(&(f64, f64)) -> f64| {
                let mut all: Vec<f64> = times.iter().map(of).collect();
                all.sort_by(f64::total_cmp);
                all[((all.len() - 1) as f64 * q) as usize]
            };
            let from = if *there == 0 { 0 } else { 1 << (there - 1) };
            let middle = (part(0.5, |t| t.0), part(0.5, |t| t.1), part(0.95, |t| t.1));
            println!(
                "| {from} and more | {} | {:.3} | {:.3} | {:.3} |",
                times.len(),
                middle.0,
                middle.1,
                middle.2
            );
        }
    }
}
