//! State of a test engine and duration of its work, without I/O.

use crate::engine_config::{EngineConfig, Role};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
#[path = "model_tests.rs"]
mod tests;

/// Largest number of texts in the prefix cache.
const MAX_CACHED_TEXTS: usize = 2048;

/// KV state held for a decode engine.
#[derive(Debug)]
pub(super) struct Reservation {
    pub tokens: f64,
    created_at: f64,
    /// Node that sent the prefill.
    node: String,
}

/// Text in the prefix cache.
#[derive(Debug)]
struct CachedText {
    name: String,
    tokens: f64,
}

/// Arrival of a request, with the work that it brings.
#[derive(Debug)]
struct Arrival {
    time: f64,
    work_s: f64,
}

/// Fault that makes all work take longer.
#[derive(Debug)]
pub(super) struct Slowdown {
    pub until: f64,
    pub factor: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown { until: 0.0, factor: 1.0 }
    }
}

/// Reason for which a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Full,
    Draining,
    Overloaded,
}

/// State of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineModel {
    pub config: EngineConfig,
    started_at: f64,
    pub running: usize,
    pub queued: usize,
    pub queued_prompt_tokens: f64,
    pub memory_used: f64,
    /// Held KV states, by name.
    pub reservations: BTreeMap<String, Reservation>,
    /// Texts in the prefix cache, least recently used first.
    cached_texts: VecDeque<CachedText>,
    /// Arrivals within the overload window.
    arrivals: VecDeque<Arrival>,
    pub draining: bool,
    pub overloaded: bool,
    pub slowdown: Slowdown,
}

impl EngineModel {
    pub fn new(config: EngineConfig, now: f64) -> EngineModel {
        let started_at = if config.slow_start { now } else { f64::NEG_INFINITY };
        EngineModel { config, started_at, ..EngineModel::default() }
    }

    /// Returns the current speed of the engine as a share of its full speed.
    fn speed(&self, now: f64) -> f64 {
        let config = &self.config;
        let warmup = (1.0 - config.slow_start_speed) * (now - self.started_at) / config.slow_start_s;
        (config.slow_start_speed + warmup).min(1.0)
    }

    /// Returns the factor by which all work takes longer than on a warm engine without faults.
    fn time_factor(&self, now: f64) -> f64 {
        let slowdown = if now < self.slowdown.until { self.slowdown.factor } else { 1.0 };
        slowdown / self.speed(now)
    }

    pub fn prefill_time_s(&self, now: f64, uncached_tokens: f64) -> f64 {
        let config = &self.config;
        (config.prefill_base_s + uncached_tokens / config.prefill_tokens_per_s) * self.time_factor(now)
    }

    pub fn decode_step_time_s(&self, now: f64) -> f64 {
        let config = &self.config;
        let step_s = config.decode_step_s + config.decode_step_per_stream_s * self.running as f64;
        step_s * self.time_factor(now)
    }

    /// Returns the time in seconds for which a request occupies a slot of a warm engine.
    pub fn work_s(&self, prompt_tokens: f64) -> f64 {
        let config = &self.config;
        match config.role {
            Role::Prefill => config.prefill_base_s + prompt_tokens / config.prefill_tokens_per_s,
            Role::Decode => config.mean_output_tokens as f64 * config.decode_step_s,
        }
    }

    /// Counts the arrival of a request, whether or not it is rejected. Returns `true` if it overloads the
    /// engine. An overloaded engine rejects all requests.
    pub fn record_arrival(&mut self, now: f64, work_s: f64) -> bool {
        let config = &self.config;
        self.arrivals.push_back(Arrival { time: now, work_s });
        let window_begin = now - config.overload_window_s;
        while self.arrivals.front().is_some_and(|arrival| arrival.time < window_begin) {
            self.arrivals.pop_front();
        }
        if now - self.started_at >= config.slow_start_s || self.overloaded {
            return false;
        }
        let sum_s: f64 = self.arrivals.iter().map(|arrival| arrival.work_s).sum();
        let capacity_s = config.slots as f64 * self.speed(now) * config.overload_window_s;
        self.overloaded = sum_s > config.overload_multiple * capacity_s;
        self.overloaded
    }

    /// Checks whether a request is accepted, either to run at once or to wait for a slot.
    pub fn admit(&self, prompt_tokens: f64) -> Result<(), Rejection> {
        let config = &self.config;
        if self.overloaded {
            return Err(Rejection::Overloaded);
        }
        if self.draining {
            return Err(Rejection::Draining);
        }
        let queue_full = self.running >= config.slots && self.queued >= config.max_queue_len;
        let memory_full = self.memory_used + prompt_tokens > config.memory_tokens;
        if queue_full || (config.role == Role::Prefill && memory_full) {
            return Err(Rejection::Full);
        }
        Ok(())
    }

    /// Returns whether a slot and `memory_tokens` of memory are free.
    pub fn has_capacity(&self, memory_tokens: f64) -> bool {
        let memory_fits = self.memory_used + memory_tokens <= self.config.memory_tokens;
        self.running < self.config.slots && memory_fits
    }

    /// Puts a prompt into the prefix cache and returns the number of its tokens that were cached before.
    pub fn cache_prompt(&mut self, session: &str, prefix: Option<(&str, f64)>, prompt_tokens: f64) -> f64 {
        let mut cached_tokens = 0.0f64;
        if let Some((name, tokens)) = prefix {
            cached_tokens = cached_tokens.max(self.cache_text(name, tokens));
        }
        cached_tokens = cached_tokens.max(self.cache_text(session, prompt_tokens));
        while self.cached_texts.len() > MAX_CACHED_TEXTS {
            self.cached_texts.pop_front();
        }
        cached_tokens.min(prompt_tokens - 1.0).max(0.0)
    }

    /// Puts a text into the prefix cache and returns the number of its tokens that were cached before.
    fn cache_text(&mut self, name: &str, tokens: f64) -> f64 {
        let index = self.cached_texts.iter().position(|text| text.name == name);
        let before = index.and_then(|index| self.cached_texts.remove(index));
        self.cached_texts.push_back(CachedText { name: name.to_string(), tokens });
        before.map_or(0.0, |text| text.tokens.min(tokens))
    }

    pub fn clear_prefix_cache(&mut self) {
        self.cached_texts.clear();
    }

    /// Holds the KV state of a prompt for a decode engine.
    pub fn reserve(&mut self, now: f64, name: &str, node: &str, tokens: f64) {
        let reservation = Reservation { tokens, created_at: now, node: node.to_string() };
        self.reservations.insert(name.to_string(), reservation);
        self.memory_used += tokens;
    }

    /// Drops a KV state. Returns `false` if it was not held.
    pub fn release(&mut self, name: &str) -> bool {
        let reservation = self.reservations.remove(name);
        self.memory_used -= reservation.as_ref().map_or(0.0, |reservation| reservation.tokens);
        reservation.is_some()
    }

    /// Returns the names of KV states that were left by earlier processes of a node: those that do not begin
    /// with the name of its present process.
    pub fn orphans_of(&self, node: &str, present_process: &str) -> Vec<String> {
        let is_orphan = |(name, reservation): &(&String, &Reservation)| {
            reservation.node == node && !name.starts_with(present_process)
        };
        self.reservations.iter().filter(is_orphan).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the names of KV states held for longer than their time to live.
    pub fn expired(&self, now: f64) -> Vec<String> {
        let is_expired = |(_, reservation): &(&String, &Reservation)| {
            now - reservation.created_at > self.config.reservation_ttl_s
        };
        self.reservations.iter().filter(is_expired).map(|(name, _)| name.clone()).collect()
    }
}
