//! Prefix affinity: requests that share text go to the same prefill engines, which have that text cached.

use super::engine_table::Phase;
use super::hash::hash;
use super::request_table::Request;
use super::Router;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Share of a session's own text (its prompt after the shared prefix) that its first affinity engine is
/// expected to have cached.
const AFFINITY_CACHE_SHARE: f64 = 0.5;
/// Weight of the latest prefill in an engine's cache hit rate.
const CACHE_HIT_WEIGHT: f64 = 0.04;
/// Highest hit rate, relative to the expected one, that a single prefill counts as.
const MAX_CACHE_HIT_RATE: f64 = 2.0;
/// Number of latest arrivals from which a node estimates how popular a text is.
pub(super) const RECENT_ARRIVALS: usize = 64;
/// Share of the engines that a popular text gets, as a multiple of its share of recent arrivals.
const ENGINE_SHARE_MULTIPLE: f64 = 5.0;
/// Smallest number of affinity engines of a text, in zones that are large enough.
const MIN_ENGINES: f64 = 2.0;

/// Popularity of texts as observed by this node.
#[derive(Default)]
pub(super) struct PrefixAffinity {
    /// Prefix hashes of the latest arrivals, oldest first.
    recent_prefixes: VecDeque<u64>,
    /// Share of the requests with affinity to an engine of this node's zone that equals the engine's even
    /// share of all traffic.
    pub(super) local_share: f64,
}

impl PrefixAffinity {
    pub(super) fn record_arrival(&mut self, prefix_hash: u64) {
        self.recent_prefixes.push_back(prefix_hash);
        let surplus = self.recent_prefixes.len().saturating_sub(RECENT_ARRIVALS);
        self.recent_prefixes.drain(..surplus);
    }

    /// Returns how many engines a text gets: in proportion to its share of recent arrivals, so that copies of
    /// rare texts use little memory, and at least two, but at most half of the engines. With a fractional
    /// number the last engine gets only a part of the sessions.
    fn engines_for(&self, text_hash: u64, engine_count: f64) -> f64 {
        let matching_count =
            self.recent_prefixes.iter().filter(|&&prefix| prefix == text_hash).count() as f64;
        let share = matching_count / (self.recent_prefixes.len() as f64 + RECENT_ARRIVALS as f64 / 4.0);
        (ENGINE_SHARE_MULTIPLE * share * engine_count).max(MIN_ENGINES).min((engine_count / 2.0).max(1.0))
    }
}

impl Router {
    pub(super) fn update_local_affinity_share(&mut self, prefill_engines: &[usize]) {
        let mut zones: Vec<u32> = prefill_engines.iter().map(|&engine| self.engines[engine].zone).collect();
        let local_count = zones.iter().filter(|&&zone| zone == self.locality.zone).count() as f64;
        zones.sort_unstable();
        zones.dedup();
        let zone_count = zones.len() as f64;
        let engine_count = self.averages.prefill.available_engines;
        self.affinity.local_share =
            if local_count > 0.0 { local_count * zone_count / engine_count } else { 1.0 };
    }

    /// Returns the affinity engines of a request, best first: prefill engines of the node's zone, on which
    /// all nodes of the zone agree. The hash of the shared prefix selects some engines, the session's hash
    /// ranks them, and one more engine is added for requests that spill over.
    pub(super) fn affinity_engines(&self, request: &Request) -> Vec<usize> {
        let text = if request.prefix_hash != 0 { request.prefix_hash } else { request.session_hash };
        let mut ranked = self.local_prefill_engines();
        let selected_count = self.affinity.engines_for(text, ranked.len() as f64);
        ranked.sort_by_cached_key(|&engine| Reverse(hash(&self.engines[engine].id, text)));
        ranked.truncate(selected_count.ceil() as usize + 1);
        // With weighted rendezvous hashing few sessions move when the popularity changes or differs between
        // nodes.
        let score = |rank: usize, engine: usize| {
            let session_hash = hash(&self.engines[engine].id, request.session_hash);
            let fraction = (session_hash >> 11) as f64 / (1u64 << 53) as f64;
            fraction.ln() / (selected_count - rank as f64).clamp(1e-9, 1.0)
        };
        let mut scored: Vec<_> =
            ranked.iter().enumerate().map(|(rank, &engine)| (score(rank, engine), engine)).collect();
        scored.sort_by(|x, y| y.0.total_cmp(&x.0));
        scored.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns the available prefill engines of the node's zone, or all available ones if the zone has none.
    fn local_prefill_engines(&self) -> Vec<usize> {
        let mut engines = self.available_engines(Phase::Prefill);
        let is_local = |engine: &usize| self.engines[*engine].zone == self.locality.zone;
        if engines.iter().any(is_local) {
            engines.retain(is_local);
        }
        engines
    }

    /// Returns the number of prompt tokens that an engine is expected to have to prefill.
    pub(super) fn uncached_tokens(&self, engine: usize, request: usize) -> f64 {
        let hit_rate = self.engines[engine].cache_hit_rate.min(1.0);
        let cached_tokens = hit_rate * self.expected_cached_tokens(engine, request);
        (self.requests[request].prompt_tokens - cached_tokens).max(1.0)
    }

    /// Returns the number of prompt tokens that an engine should have cached according to the hash: at the
    /// first available affinity engine the shared prefix and half of the rest, at the next one the shared
    /// prefix. For all others it is 0, so that requests with the same text stay together.
    fn expected_cached_tokens(&self, engine: usize, request: usize) -> f64 {
        let request = &self.requests[request];
        let is_available = |&&engine: &&usize| self.is_available(engine, Phase::Prefill);
        let mut available = request.affinity_engines.iter().filter(is_available);
        match available.position(|&affinity_engine| affinity_engine == engine) {
            Some(0) => AFFINITY_CACHE_SHARE * (request.prompt_tokens + request.prefix_tokens),
            Some(1) if request.affinity_engines.len() > 2 => request.prefix_tokens,
            _ => 0.0,
        }
    }

    /// Updates an engine's cache hit rate from a finished prefill. Without it a recently started engine
    /// attracted all texts that its hash selected, though nothing was cached, and they queued there. An
    /// engine that started long ago is assumed to have cached what the hash says.
    pub(super) fn record_cache_hits(&mut self, request: usize, engine: usize, cached_tokens: f64) {
        let expected_tokens = self.expected_cached_tokens(engine, request);
        let engine = &mut self.engines[engine];
        if expected_tokens > 0.0 && engine.started_at.is_finite() {
            let hit_rate = (cached_tokens / expected_tokens).min(MAX_CACHE_HIT_RATE);
            engine.cache_hit_rate += CACHE_HIT_WEIGHT * (hit_rate - engine.cache_hit_rate);
        }
    }
}
