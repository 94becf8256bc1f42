//! What a stand-in engine holds and how long its work takes. No I/O.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Read,
    Write,
}

/// Figures of one engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Figures {
    pub id: String,
    pub zone: String,
    pub cell: u32,
    pub role: Role,
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: f64,
    /// A read takes `read_s` and what its unkept tokens take.
    pub read_s: f64,
    pub read_tokens_per_s: f64,
    /// Gap between tokens of one stream, and what each stream beside it adds.
    pub step_s: f64,
    pub step_per_stream_s: f64,
    pub out_tokens: usize,
    pub state_bytes_per_token: f64,
    /// A state that nobody fetches or lets go is freed after so long.
    pub state_ttl_s: f64,
    pub cold: bool,
    pub cold_from: f64,
    pub warm_s: f64,
    pub tip_multiple: f64,
    pub tip_window_s: f64,
    /// Serves, and fetches from readers, in TLS.
    pub tls: Option<TlsFiles>,
    /// A state is handed out only by a grant that one of these keys made; none: to anybody.
    pub grant_keys: Vec<(u32, String)>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TlsFiles {
    /// The name that its certificate stands for.
    pub name: String,
    pub chain: PathBuf,
    pub key: PathBuf,
    pub trust: PathBuf,
    /// Nodes and writers must show a certificate.
    pub mutual: bool,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            id: "engine".into(),
            zone: "a".into(),
            cell: 0,
            role: Role::Read,
            slots: 8,
            queue: 32,
            memory_tokens: 200_000.0,
            read_s: 0.01,
            read_tokens_per_s: 20_000.0,
            step_s: 0.01,
            step_per_stream_s: 0.0002,
            out_tokens: 40,
            state_bytes_per_token: 256.0,
            state_ttl_s: 10.0,
            cold: false,
            cold_from: 0.3,
            warm_s: 10.0,
            tip_multiple: 3.0,
            tip_window_s: 2.0,
            tls: None,
            grant_keys: Vec::new(),
        }
    }
}

/// What a writer will say: its tokens, and why it ends.
pub struct Speech {
    pub tokens: Vec<String>,
    pub finish: &'static str,
}

impl Speech {
    /// The tokens, ended before the first text of `stop` and after `most`.
    pub fn of(all: Vec<String>, stop: &[String], most: Option<u64>) -> Speech {
        let mut said = String::new();
        let mut tokens: Vec<String> = Vec::new();
        for t in all {
            if most.is_some_and(|m| tokens.len() as u64 >= m) {
                return Speech { tokens, finish: "length" };
            }
            said.push_str(&t);
            if let Some(at) = stop.iter().filter_map(|s| said.find(s)).min() {
                // The part of this token before it is said, if there is one.
                let rest = said.len() - t.len();
                tokens.extend(at.checked_sub(rest).filter(|n| *n > 0).map(|n| t[..n].to_string()));
                break;
            }
            tokens.push(t);
        }
        Speech { tokens, finish: "stop" }
    }
}

/// Texts kept at most.
const TEXTS: usize = 2048;

#[derive(Debug, Default)]
pub struct Model {
    pub figures: Figures,
    pub started: f64,
    pub running: usize,
    pub waiting: usize,
    pub waiting_tokens: f64,
    pub memory: f64,
    /// States held: tokens, and since when.
    pub states: BTreeMap<String, (f64, f64)>,
    /// Which node each was read for.
    pub owners: BTreeMap<String, String>,
    kept: VecDeque<(String, f64)>,
    /// Work that came lately: when, and how much in slot seconds.
    recent: VecDeque<(f64, f64)>,
    pub draining: bool,
    pub fallen: bool,
    pub slow: (f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Full,
    Draining,
    Fallen,
}

impl Model {
    pub fn new(figures: Figures, now: f64) -> Model {
        let started = if figures.cold { now } else { f64::NEG_INFINITY };
        Model { figures, started, slow: (0.0, 1.0), ..Model::default() }
    }

    /// Share of its full speed that the engine has now.
    pub fn warmth(&self, now: f64) -> f64 {
        let f = &self.figures;
        (f.cold_from + (1.0 - f.cold_from) * (now - self.started) / f.warm_s).min(1.0)
    }

    fn pace(&self, now: f64) -> f64 {
        let slow = if now < self.slow.0 { self.slow.1 } else { 1.0 };
        slow / self.warmth(now)
    }

    pub fn read_takes(&self, now: f64, unkept: f64) -> f64 {
        (self.figures.read_s + unkept / self.figures.read_tokens_per_s) * self.pace(now)
    }

    pub fn step_takes(&self, now: f64) -> f64 {
        let f = &self.figures;
        (f.step_s + f.step_per_stream_s * self.running as f64) * self.pace(now)
    }

    /// Slot seconds that a send is worth on a warm engine.
    pub fn work(&self, prompt: f64) -> f64 {
        let f = &self.figures;
        match f.role {
            Role::Read => f.read_s + prompt / f.read_tokens_per_s,
            Role::Write => f.out_tokens as f64 * f.step_s,
        }
    }

    /// A send comes, rejected or not: a cold engine sent too much falls over and stays down.
    pub fn press(&mut self, now: f64, work: f64) -> bool {
        let f = &self.figures;
        self.recent.push_back((now, work));
        while self.recent.front().is_some_and(|r| r.0 < now - f.tip_window_s) {
            self.recent.pop_front();
        }
        if now - self.started >= f.warm_s || self.fallen {
            return false;
        }
        let sum: f64 = self.recent.iter().map(|r| r.1).sum();
        let can = f.slots as f64 * self.warmth(now) * f.tip_window_s;
        self.fallen = sum > f.tip_multiple * can;
        self.fallen
    }

    /// Whether a send may wait for a slot here.
    pub fn admit(&self, tokens: f64) -> Result<(), Refused> {
        let f = &self.figures;
        if self.fallen {
            return Err(Refused::Fallen);
        }
        if self.draining {
            return Err(Refused::Draining);
        }
        let full = self.running >= f.slots && self.waiting >= f.queue;
        if full || (f.role == Role::Read && self.memory + tokens > f.memory_tokens) {
            return Err(Refused::Full);
        }
        Ok(())
    }

    pub fn has_room(&self, tokens: f64) -> bool {
        self.running < self.figures.slots && self.memory + tokens <= self.figures.memory_tokens
    }

    /// Tokens of the prompt kept from before; the text counts as kept from now on.
    pub fn keep(&mut self, session: &str, prefix: Option<(&str, f64)>, prompt: f64) -> f64 {
        let mut found = 0.0f64;
        let mut touch = |text: &str, tokens: f64| {
            if let Some(i) = self.kept.iter().position(|k| k.0 == text) {
                let k = self.kept.remove(i).map_or(0.0, |k| k.1);
                found = found.max(k.min(tokens));
            }
            self.kept.push_back((text.to_string(), tokens));
        };
        if let Some((text, tokens)) = prefix {
            touch(text, tokens);
        }
        touch(session, prompt);
        while self.kept.len() > TEXTS {
            self.kept.pop_front();
        }
        found.min(prompt - 1.0).max(0.0)
    }

    pub fn forget(&mut self) {
        self.kept.clear();
    }

    pub fn hold(&mut self, now: f64, name: &str, tokens: f64) {
        self.states.insert(name.to_string(), (tokens, now));
        self.memory += tokens;
    }

    /// States of a node that are not named for the process given.
    pub fn left_by(&self, node: &str, except: &str) -> Vec<String> {
        let left = |(n, owner): &(&String, &String)| *owner == node && !n.starts_with(except);
        self.owners.iter().filter(left).map(|o| o.0.clone()).collect()
    }

    pub fn free(&mut self, name: &str) -> bool {
        self.owners.remove(name);
        let found = self.states.remove(name);
        self.memory -= found.map_or(0.0, |s| s.0);
        found.is_some()
    }

    pub fn expired(&self, now: f64) -> Vec<String> {
        let old = |s: &(&String, &(f64, f64))| now - s.1 .1 > self.figures.state_ttl_s;
        self.states.iter().filter(old).map(|s| s.0.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_engine_falls_when_pushed_and_stays_down() {
        let f = Figures { cold: true, slots: 2, ..Figures::default() };
        let mut m = Model::new(f.clone(), 10.0);
        // Three times 0.3 of two slots for two seconds: 3.6 slot seconds.
        assert!(!(0..35).any(|k| m.press(10.0 + k as f64 * 0.001, 0.1)));
        assert!((0..3).any(|k| m.press(10.1 + k as f64 * 0.001, 0.1)));
        assert_eq!(m.admit(1.0), Err(Refused::Fallen));
        let mut warm = Model::new(Figures { cold: false, ..f }, 10.0);
        assert!(!(0..500).any(|_| warm.press(10.0, 0.1)));
    }

    #[test]
    fn kept_text_shortens_reads_until_forgotten() {
        let mut m = Model::new(Figures::default(), 0.0);
        assert_eq!(m.keep("s", Some(("p", 50.0)), 100.0), 0.0);
        assert_eq!(m.keep("t", Some(("p", 50.0)), 100.0), 50.0);
        assert_eq!(m.keep("s", Some(("p", 50.0)), 150.0), 100.0);
        m.forget();
        assert_eq!(m.keep("s", None, 150.0), 0.0);
    }

    #[test]
    fn a_state_takes_memory_until_freed_or_expired() {
        let mut m = Model::new(Figures { memory_tokens: 100.0, ..Figures::default() }, 0.0);
        m.hold(0.0, "x", 80.0);
        assert_eq!(m.admit(30.0), Err(Refused::Full));
        assert_eq!(m.expired(11.0), vec!["x".to_string()]);
        assert!(m.free("x") && !m.free("x"));
        assert_eq!((m.admit(30.0), m.memory), (Ok(()), 0.0));
    }
}
