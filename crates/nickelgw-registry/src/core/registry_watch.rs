//! Watch of the registry: a full read, followed by a watch from the next revision on. Handles watches that
//! break, become idle or ask for a compacted revision, and registries whose revision goes back. After a
//! failure, the next registry server is tried, with jittered backoff.

use nanorand::{Rng, WyRand};

/// Timeouts of a [`RegistryWatch`].
#[derive(Clone, Copy, Debug)]
pub struct RegistryWatchConfig {
    /// Time in seconds without any message, even a progress notification, after which a watch counts as
    /// failed.
    pub idle_timeout_s: f64,
    /// Backoff in seconds after the first failure; doubles with each further consecutive failure.
    pub initial_backoff_s: f64,
    /// Longest backoff in seconds.
    pub max_backoff_s: f64,
    /// A revision lower than the known one is accepted only if two servers report it, or if the only server
    /// reports it twice at least this many seconds apart.
    pub rollback_confirmation_s: f64,
}

impl Default for RegistryWatchConfig {
    fn default() -> Self {
        RegistryWatchConfig {
            idle_timeout_s: 4.0,
            initial_backoff_s: 0.1,
            max_backoff_s: 2.0,
            rollback_confirmation_s: 1.0,
        }
    }
}

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Fraction of the backoff that applies before the first attempt at another server, since the failure of a
/// single server should cause little delay.
const FIRST_FAILOVER_SHARE: f64 = 0.1;

/// Command to the caller. `endpoint` is the index of a registry server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCommand {
    /// Read all keys of the prefix.
    Read {
        /// Registry server to read from.
        endpoint: usize,
    },
    /// Watch the prefix for changes.
    Watch {
        /// Registry server to watch.
        endpoint: usize,
        /// First revision to receive.
        from: u64,
    },
    /// Cancel the open watch.
    CloseWatch,
}

/// Result of comparing a full read with the known revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadVerdict {
    /// The read is at the known revision or a newer one.
    Good,
    /// The registry was rolled back or restored, and this is confirmed.
    RolledBack,
    /// The read is older than the known revision: the server lags, or a rollback is not confirmed yet.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Backoff { until: f64 },
    Reading,
    Watching { last_message_at: f64 },
}

/// Report of a lower revision that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct SuspectedRollback {
    endpoint: usize,
    since: f64,
}

/// State of the watch of one prefix of the registry.
pub struct RegistryWatch {
    config: RegistryWatchConfig,
    endpoints: usize,
    endpoint: usize,
    state: State,
    consecutive_failures: u32,
    /// Newest known revision.
    revision: u64,
    /// Whether the next step is a full read.
    needs_read: bool,
    /// Id of the cluster that the revisions belong to; empty if it is not known.
    cluster: String,
    suspected_rollback: Option<SuspectedRollback>,
    random: WyRand,
    /// Number of watches and reads that failed.
    pub failures: u64,
    /// Number of watches whose revision had been compacted.
    pub compacted: u64,
}

impl RegistryWatch {
    /// Creates the watch of a registry with `endpoints` servers. The seed determines the server at which the
    /// watch begins, so that nodes with different seeds are spread over the servers.
    pub fn new(config: RegistryWatchConfig, endpoints: usize, seed: u64) -> RegistryWatch {
        let mut random = WyRand::new_seed(seed);
        let endpoints = endpoints.max(1);
        let endpoint = random.generate_range(0..endpoints);
        RegistryWatch {
            config,
            endpoints,
            endpoint,
            state: State::Backoff { until: 0.0 },
            consecutive_failures: 0,
            revision: 0,
            needs_read: true,
            cluster: String::new(),
            suspected_rollback: None,
            random,
            failures: 0,
            compacted: 0,
        }
    }

    /// Returns the newest known revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn is_other_cluster(&self, cluster: &str) -> bool {
        !cluster.is_empty() && !self.cluster.is_empty() && self.cluster != cluster
    }

    /// Returns whether a message comes from the known cluster. A different id is that of a restored cluster,
    /// whose revisions are unrelated to the known ones, whether higher or lower; in that case a full read is
    /// scheduled.
    pub fn check_cluster(&mut self, now: f64, cluster: &str) -> bool {
        if !self.is_other_cluster(cluster) {
            return true;
        }
        self.read_again(now);
        false
    }

    fn read_again(&mut self, now: f64) {
        self.needs_read = true;
        self.state = State::Backoff { until: now };
    }

    /// Records that a full read succeeded.
    pub fn read_finished(&mut self, now: f64, revision: u64, cluster: &str) -> ReadVerdict {
        let is_other_cluster = self.is_other_cluster(cluster);
        if !cluster.is_empty() {
            self.cluster = cluster.into();
        }
        let is_older = revision < self.revision && !is_other_cluster;
        if is_older && !self.confirms_rollback(now) {
            self.suspected_rollback.get_or_insert(SuspectedRollback { endpoint: self.endpoint, since: now });
            // Another server may have newer data.
            self.back_off(now);
            self.needs_read = true;
            return ReadVerdict::Stale;
        }
        self.revision = revision;
        self.suspected_rollback = None;
        self.needs_read = false;
        self.consecutive_failures = 0;
        self.state = State::Backoff { until: now };
        if is_other_cluster || is_older {
            return ReadVerdict::RolledBack;
        }
        ReadVerdict::Good
    }

    /// Returns whether a report of a lower revision by the present server confirms an earlier report.
    fn confirms_rollback(&self, now: f64) -> bool {
        self.suspected_rollback.is_some_and(|suspected| {
            let is_lone_server = self.endpoints == 1;
            let is_long_ago = now >= suspected.since + self.config.rollback_confirmation_s;
            suspected.endpoint != self.endpoint || (is_lone_server && is_long_ago)
        })
    }

    /// Records that the watch received events or progress up to a revision. Returns false if the revision is
    /// lower than the known one. Then the server lags or the registry was rolled back, and a full read is
    /// scheduled to find out which.
    pub fn watch_progressed(&mut self, now: f64, revision: u64) -> bool {
        if revision < self.revision {
            self.read_again(now);
            return false;
        }
        if let State::Watching { last_message_at } = &mut self.state {
            *last_message_at = now;
            self.consecutive_failures = 0;
            self.revision = revision;
        }
        true
    }

    /// Records that a read or watch failed. A watch resumes at the next revision without a full read.
    pub fn failed(&mut self, now: f64) {
        self.failures += 1;
        self.back_off(now);
    }

    /// Records that the revision to resume from was compacted, and schedules a full read.
    pub fn was_compacted(&mut self, now: f64) {
        self.compacted += 1;
        self.read_again(now);
    }

    fn back_off(&mut self, now: f64) {
        let config = self.config;
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = (config.initial_backoff_s * f64::from(1u32 << doublings)).min(config.max_backoff_s);
        let jitter = self.random.generate::<u32>() as f64 / u32::MAX as f64;
        let is_first_failover = self.consecutive_failures == 0 && self.endpoints > 1;
        let backoff_s = if is_first_failover { FIRST_FAILOVER_SHARE * backoff_s } else { backoff_s };
        self.consecutive_failures += 1;
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        self.state = State::Backoff { until: now + backoff_s * (0.5 + 0.5 * jitter) };
    }

    /// Returns the commands to carry out now, and the time of the next poll.
    pub fn poll_commands(&mut self, now: f64) -> (Vec<WatchCommand>, f64) {
        let mut commands = Vec::new();
        if let State::Watching { last_message_at } = self.state {
            if now >= last_message_at + self.config.idle_timeout_s {
                self.failed(now);
                commands.push(WatchCommand::CloseWatch);
            }
        }
        let idle_timeout_s = self.config.idle_timeout_s;
        match self.state {
            State::Backoff { until } if now >= until => {
                commands.push(self.next_step(now));
                (commands, now + idle_timeout_s)
            }
            State::Backoff { until } => (commands, until),
            State::Reading => (commands, now + idle_timeout_s),
            State::Watching { last_message_at } => (commands, last_message_at + idle_timeout_s),
        }
    }

    fn next_step(&mut self, now: f64) -> WatchCommand {
        let endpoint = self.endpoint;
        if self.needs_read {
            self.state = State::Reading;
            return WatchCommand::Read { endpoint };
        }
        self.state = State::Watching { last_message_at: now };
        WatchCommand::Watch { endpoint, from: self.revision + 1 }
    }
}

#[cfg(test)]
#[path = "registry_watch_tests.rs"]
mod tests;
