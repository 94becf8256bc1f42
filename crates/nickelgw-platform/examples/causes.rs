//! Prints why requests were not served within their objective, as a table by cause, state of the engines and
//! route. The data is read from the logs of all nodes of a day (`--log-level debug`).
//!
//!     cargo run --release -p nickelgw-platform --example causes -- LOGS [--warmup SECONDS] [--prefills]
//!
//! `--warmup`: time after its start during which an engine counts as warming up (`warm_within_s` in the
//! settings). `--prefills`: also prints expected and measured times of finished prefills, by the number of
//! requests that were at the engine before.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Time for which an engine warms up, in seconds, if `--warmup` is not given.
const DEFAULT_WARMUP_S: f64 = 13.0;
/// Current and former name of the field of a rejection reason with the number of engines that admitted the
/// request.
const ADMITTING_FIELDS: [&str; 2] = ["admitting", "open"];
/// Current and former name of the field of a rejection reason with the number of all prefill engines.
const ENGINES_FIELDS: [&str; 2] = ["prefill_engines", "readers"];

/// One request, as its node logged it.
#[derive(Default)]
pub struct RequestTrace {
    route: u32,
    accepted_at: f64,
    ttft_objective_s: f64,
    /// The client's timeout for the first token, in seconds.
    timeout_s: f64,
    attempts: Vec<Attempt>,
    prefilled_at: Option<f64>,
    started_at: Option<f64>,
    finished: bool,
    disconnected: bool,
    rejection: Option<String>,
}

/// One attempt, as its node logged it.
struct Attempt {
    at: f64,
    is_prefill: bool,
    requests_ahead: f64,
    expected_s: f64,
    engine_age_s: f64,
    unreachable_s: f64,
    outcome: Option<String>,
}

/// Expected and measured time of a prefill that finished, in seconds.
pub struct PrefillTime {
    expected_s: f64,
    measured_s: f64,
}

/// Requests by cause and engines, and by route.
#[derive(Default)]
pub struct CauseTable {
    /// Age in seconds below which an engine counts as warming up.
    pub warmup_s: f64,
    /// Numbers of requests not served within their objective: by cause and state of the engines, then by
    /// route.
    pub rows: BTreeMap<(String, &'static str), BTreeMap<u32, u32>>,
    /// Numbers of accepted requests by route.
    pub accepted: BTreeMap<u32, u32>,
    /// Numbers of requests served within their objective, by route.
    pub served: BTreeMap<u32, u32>,
    /// Prefills that finished, by the number of requests ahead: 0 if there was none, otherwise one more than
    /// the whole part of that number's binary logarithm.
    pub prefills: BTreeMap<u32, Vec<PrefillTime>>,
}

/// Content of the logs, as far as it is used.
#[derive(Default)]
pub struct LogContents {
    /// Accepted requests by id.
    pub requests: BTreeMap<String, RequestTrace>,
    /// Numbers of requests refused before admission, by reason.
    pub refused: BTreeMap<String, u32>,
}

/// Returns the value of `name=` in a line, without quotes; `None` if the line has no such field.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (start, _) = line.match_indices(name).find(|(start, _)| {
        let before = line[..*start].chars().next_back();
        before.is_none_or(|character| character == ' ') && line[start + name.len()..].starts_with('=')
    })?;
    let value = &line[start + name.len() + 1..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split(' ').next(),
    }
}

fn number(line: &str, name: &str) -> f64 {
    field(line, name).and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

impl LogContents {
    /// Adds the log of one node. A request's id is unique across all nodes.
    pub fn add(&mut self, text: &str) {
        for line in text.lines() {
            let Some(message) = line.split(": ").nth(1) else { continue };
            if message.starts_with("request refused before admission ") {
                let reason = field(line, "reason").unwrap_or("?").to_string();
                *self.refused.entry(reason).or_default() += 1;
            }
            let Some(id) = field(line, "request") else { continue };
            if message.starts_with("request accepted ") {
                self.requests.insert(id.to_string(), RequestTrace::accepted(line));
            } else if let Some(request) = self.requests.get_mut(id) {
                request.add(message, line);
            }
        }
    }
}

impl RequestTrace {
    fn accepted(line: &str) -> RequestTrace {
        RequestTrace {
            route: number(line, "route") as u32,
            accepted_at: number(line, "at"),
            ttft_objective_s: number(line, "ttft_objective_s"),
            timeout_s: number(line, "timeout_s"),
            ..RequestTrace::default()
        }
    }

    /// Adds what one line of the log states.
    fn add(&mut self, message: &str, line: &str) {
        let at = number(line, "at");
        if message.starts_with("attempt started ") {
            self.attempts.push(Attempt::started(line));
        } else if message.starts_with("prefill finished ") {
            self.prefilled_at = Some(at);
            if let Some(attempt) = self.attempts.iter_mut().rev().find(|attempt| attempt.is_prefill) {
                attempt.outcome = Some("Prefilled".into());
            }
        } else if message.starts_with("attempt ended ") {
            let outcome = field(line, "outcome").unwrap_or("?").to_string();
            let position = field(line, "attempt").and_then(|number| number.parse::<usize>().ok());
            if let Some(attempt) = position.and_then(|position| self.attempts.get_mut(position)) {
                attempt.outcome = Some(outcome);
            }
        } else if message.starts_with("stream started ") {
            self.started_at = Some(at);
        } else if message.starts_with("stream finished ") {
            self.finished = true;
        } else if message.starts_with("client disconnected ") {
            self.disconnected = true;
        } else if message.starts_with("request rejected ") {
            self.rejection = line.split_once("reason=").map(|(_, reason)| reason.to_string());
        }
    }

    fn started_in_time(&self) -> bool {
        self.started_at.is_some_and(|started_at| started_at - self.accepted_at <= self.ttft_objective_s)
    }

    /// Returns the name of the rejection reason; `None` if the request was not rejected.
    fn rejection_name(&self) -> Option<&str> {
        self.rejection.as_deref().map(|reason| reason.split(' ').next().unwrap_or(reason))
    }

    /// Returns a field of the rejection reason under the first of these names that it has.
    fn rejection_field(&self, names: &[&str]) -> Option<u32> {
        let reason = self.rejection.as_deref()?;
        names.iter().find_map(|name| {
            let (_, value) = reason.split_once(&format!("{name}: "))?;
            value.split([',', ' ']).next()?.parse().ok()
        })
    }

    /// Returns why the request was not served within its objective.
    fn cause(&self) -> String {
        let Some(last) = self.attempts.last() else { return self.cause_without_attempt() };
        if let Some(started_at) = self.started_at {
            return self.cause_after_start(started_at, last);
        }
        let rejection = self.rejection_name();
        let outcome = match last.outcome.as_deref() {
            None | Some("Cancelled" | "TimedOut") => "no response",
            Some("Prefilled") => {
                let reason = rejection.unwrap_or("client disconnected");
                return format!("prefilled, no decode engine: {reason}");
            }
            Some(outcome) => outcome,
        };
        let engine = if last.is_prefill { "a prefill engine" } else { "a decode engine" };
        let retried = if self.attempts.len() > 2 { ", retried" } else { "" };
        let disconnected =
            if self.disconnected && rejection.is_none() { ", client disconnected" } else { "" };
        format!("attempt failed: {outcome} at {engine}{retried}{disconnected}")
    }

    fn cause_without_attempt(&self) -> String {
        match self.rejection_name() {
            Some(reason) => format!("never dispatched: {reason}"),
            None if self.disconnected => "never dispatched: client disconnected".into(),
            None => "never dispatched: node ended".into(),
        }
    }

    fn cause_after_start(&self, started_at: f64, last: &Attempt) -> String {
        if self.started_in_time() {
            let end = if self.disconnected { "client disconnected" } else { "stream broke" };
            return format!("started in time: {end}");
        }
        let prefilled_at = self.prefilled_at.unwrap_or(last.at);
        let dispatched_at = self.attempts.first().map_or(last.at, |attempt| attempt.at);
        let repeated = self.attempts.iter().filter(|attempt| attempt.is_prefill).count() > 1;
        let prefill = if repeated { "repeated prefill" } else { "queue and prefill at the engine" };
        let phases = [
            ("queue at the node", dispatched_at - self.accepted_at),
            (prefill, prefilled_at - dispatched_at),
            ("decode engine", started_at - prefilled_at),
        ];
        let longest = phases.iter().max_by(|left, right| left.1.total_cmp(&right.1));
        format!("started late: {}", longest.map_or("", |(phase, _)| phase))
    }

    /// Returns the state of the last attempt's engine; without an attempt, whether all engines admitted the
    /// request.
    fn engine_state(&self, warmup_s: f64) -> &'static str {
        match self.attempts.last() {
            None => self.admitting_state(),
            Some(last) if last.unreachable_s > 0.0 || last.outcome.as_deref() == Some("ConnectFailed") => {
                "unreachable"
            }
            Some(last) if last.engine_age_s < warmup_s => "warming up",
            Some(_) => "healthy",
        }
    }

    fn admitting_state(&self) -> &'static str {
        match (self.rejection_field(&ADMITTING_FIELDS), self.rejection_field(&ENGINES_FIELDS)) {
            (Some(0), _) => "none admitting",
            (Some(admitting), Some(engines)) if admitting < engines => "some not admitting",
            (Some(_), Some(_)) => "all admitting",
            _ => "",
        }
    }

    /// Returns the time of the request's finished prefill, with the number of requests ahead of it; `None` if
    /// no prefill finished.
    fn prefill_time(&self) -> Option<(f64, PrefillTime)> {
        let prefilled = |attempt: &&Attempt| attempt.outcome.as_deref() == Some("Prefilled");
        let attempt = self.attempts.iter().find(prefilled)?;
        let measured_s = self.prefilled_at? - attempt.at;
        Some((attempt.requests_ahead, PrefillTime { expected_s: attempt.expected_s, measured_s }))
    }
}

impl Attempt {
    fn started(line: &str) -> Attempt {
        Attempt {
            at: number(line, "at"),
            is_prefill: field(line, "prefill") == Some("true"),
            requests_ahead: number(line, "requests_ahead"),
            expected_s: number(line, "expected_s"),
            engine_age_s: number(line, "engine_age_s"),
            unreachable_s: number(line, "unreachable_s"),
            outcome: None,
        }
    }
}

impl CauseTable {
    /// Counts one request.
    pub fn add(&mut self, request: &RequestTrace) {
        *self.accepted.entry(request.route).or_default() += 1;
        if request.finished && request.started_in_time() {
            *self.served.entry(request.route).or_default() += 1;
        } else {
            // Marked in the table, since clients with such a timeout repeat their requests; each request
            // counts only once.
            let is_short = request.started_at.is_none() && request.timeout_s < request.ttft_objective_s;
            let short = if is_short { ", client's timeout below the objective" } else { "" };
            let row = (request.cause() + short, request.engine_state(self.warmup_s));
            *self.rows.entry(row).or_default().entry(request.route).or_default() += 1;
        }
        if let Some((requests_ahead, time)) = request.prefill_time() {
            let class = if requests_ahead < 1.0 { 0 } else { requests_ahead.log2() as u32 + 1 };
            self.prefills.entry(class).or_default().push(time);
        }
    }

    fn print(&self, refused: &BTreeMap<String, u32>) {
        let routes: Vec<String> = self.accepted.keys().map(|route| format!("route {route}")).collect();
        println!(
            "| cause | engines | all | {} |\n|{}",
            routes.join(" | "),
            " --- |".repeat(routes.len() + 3)
        );
        self.print_row("accepted", "", &self.accepted);
        self.print_row("served within the objective", "", &self.served);
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.values().sum::<u32>()));
        for ((cause, engines), counts) in rows {
            self.print_row(cause, engines, counts);
        }
        println!("refused before admission: {refused:?}");
    }

    fn print_row(&self, name: &str, engines: &str, counts: &BTreeMap<u32, u32>) {
        let count = |route: &u32| counts.get(route).copied().unwrap_or(0).to_string();
        let by_route: Vec<String> = self.accepted.keys().map(count).collect();
        println!("| {name} | {engines} | {} | {} |", counts.values().sum::<u32>(), by_route.join(" | "));
    }

    fn print_prefills(&self) {
        println!("\n| requests ahead | prefills | expected s, median | measured s, median | measured s, 95th |\n| --- | --- | --- | --- | --- |");
        for (class, times) in &self.prefills {
            let at_least = if *class == 0 { 0 } else { 1 << (class - 1) };
            println!(
                "| {at_least} and more | {} | {:.3} | {:.3} | {:.3} |",
                times.len(),
                quantile(times, 0.5, |time| time.expected_s),
                quantile(times, 0.5, |time| time.measured_s),
                quantile(times, 0.95, |time| time.measured_s)
            );
        }
    }
}

fn quantile(times: &[PrefillTime], share: f64, value: fn(&PrefillTime) -> f64) -> f64 {
    let mut values: Vec<f64> = times.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(logs) = arguments.first() else {
        eprintln!("causes LOGS [--warmup SECONDS] [--prefills]");
        std::process::exit(2);
    };
    let position = arguments.iter().position(|argument| argument == "--warmup");
    let warmup = position.and_then(|position| arguments.get(position + 1));
    let warmup_s = warmup.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_WARMUP_S);
    let mut table = CauseTable { warmup_s, ..CauseTable::default() };
    let mut contents = LogContents::default();
    read_files(Path::new(logs), &mut |text| contents.add(text))?;
    contents.requests.values().for_each(|request| table.add(request));
    table.print(&contents.refused);
    if arguments.iter().any(|argument| argument == "--prefills") {
        table.print_prefills();
    }
    Ok(())
}

fn read_files(directory: &Path, read: &mut impl FnMut(&str)) -> std::io::Result<()> {
    let entries = fs::read_dir(directory)?.collect::<Result<Vec<_>, _>>()?;
    let mut paths: Vec<_> = entries.iter().map(|entry| entry.path()).collect();
    paths.sort();
    for path in paths {
        if path.is_dir() {
            read_files(&path, read)?;
        } else {
            read(&String::from_utf8_lossy(&fs::read(&path)?));
        }
    }
    Ok(())
}
