//! Life cycle of a node process, without I/O: what is allowed in each stage, and when the next one begins.
//!
//! | stage | health checks | new connections | new requests | streams | ends after |
//! | --- | --- | --- | --- | --- | --- |
//! | starting | fail | accepted | rejected: no engine is known | - | the first endpoint list |
//! | serving | succeed | accepted | accepted | run | a signal to shut down |
//! | announcing | fail | until handed over | accepted, as the last of the connection | run | `announce_s` |
//! | draining | fail | refused | rejected, with Retry-After | run | all requests, or `drain_timeout_s` |
//! | ending | fail | refused | rejected | one final answer each | all releases, or `exit_timeout_s` |

/// Seconds between checks of the remaining work while the process drains and ends.
const POLL_INTERVAL_S: f64 = 0.02;

/// Time limits of the shutdown stages, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownConfig {
    /// How long requests are still accepted after health checks start to fail, so that load balancers notice.
    pub announce_s: f64,
    /// How long open requests may run after the announcement.
    pub drain_timeout_s: f64,
    /// How long final answers may take to reach clients, and reservations may take to be released.
    pub exit_timeout_s: f64,
}

/// Stage of the process's life cycle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The process has started but has no endpoint list yet.
    Starting,
    /// The node serves requests, and health checks succeed.
    Serving,
    /// Health checks fail, but requests are still accepted.
    Announcing {
        /// When the stage ends.
        until: f64,
    },
    /// New requests are rejected; open requests continue.
    Draining {
        /// When the stage ends.
        until: f64,
    },
    /// All requests have their final answers.
    Ending {
        /// When the stage ends.
        until: f64,
    },
    /// The process can exit.
    Exited(Exit),
}

/// How the process ended, which determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All open requests ended within the drain timeout, and all reservations were released.
    Clean,
    /// Some requests were failed at the end of the drain timeout.
    RequestsCut,
    /// Some reservations could not be released; their engines free them at their own time limit.
    ReservationsLeft,
}

impl Exit {
    /// Returns the process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Clean => 0,
            Exit::RequestsCut => 3,
            Exit::ReservationsLeft => 4,
        }
    }
}

/// What is still open during a shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Remaining {
    /// Number of requests without a final answer.
    pub open_requests: usize,
    /// Number of reservations that are not released.
    pub reservations: usize,
    /// Number of client connections.
    pub connections: usize,
}

impl Remaining {
    fn is_empty(&self) -> bool {
        self.open_requests == 0 && self.reservations == 0 && self.connections == 0
    }
}

/// A command for the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownCommand {
    /// From now on fail health checks, and close each connection after its next answer.
    AnnounceShutdown,
    /// Close the listening sockets.
    StopListening,
    /// Reject new requests, and close idle connections.
    StopAccepting,
    /// Send each open request its final answer.
    FailAllOpen,
    /// Exit the process.
    Exit(Exit),
}

/// State machine of the process's life cycle.
#[derive(Debug)]
pub struct ProcessLifecycle {
    config: ShutdownConfig,
    stage: Stage,
    listening: bool,
    requests_cut: bool,
    /// Number of stages to skip at the next polls: several signals may come between two polls.
    pending_skips: u32,
    pending_commands: Vec<ShutdownCommand>,
}

impl ProcessLifecycle {
    /// Creates the life cycle of a process that has just started.
    pub fn new(config: ShutdownConfig) -> ProcessLifecycle {
        ProcessLifecycle {
            config,
            stage: Stage::Starting,
            listening: true,
            requests_cut: false,
            pending_skips: 0,
            pending_commands: Vec::new(),
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Records that an endpoint list is available, so that the node can serve.
    pub fn endpoints_known(&mut self) {
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
    }

    /// Begins the shutdown. `handed_over`: another process has already taken over the listening sockets.
    pub fn begin_drain(&mut self, now: f64, handed_over: bool) {
        if !matches!(self.stage, Stage::Starting | Stage::Serving) {
            return;
        }
        self.pending_commands.push(ShutdownCommand::AnnounceShutdown);
        self.stage = Stage::Announcing { until: now + self.config.announce_s };
        if handed_over {
            self.stop_listening();
        }
    }

    /// Starts the next stage at the next poll. Called for each further signal.
    pub fn skip_stage(&mut self, now: f64) {
        match self.stage {
            Stage::Starting | Stage::Serving => self.begin_drain(now, false),
            Stage::Announcing { .. } | Stage::Draining { .. } | Stage::Ending { .. } => {
                self.pending_skips += 1;
            }
            Stage::Exited(_) => {}
        }
    }

    /// Returns the commands to carry out, and when to poll again (`None` if only an event requires it).
    pub fn poll_commands(&mut self, now: f64, remaining: Remaining) -> (Vec<ShutdownCommand>, Option<f64>) {
        if let Stage::Announcing { until } = self.stage {
            self.poll_announcing(now, until);
        }
        let mut next_poll = None;
        match self.stage {
            Stage::Draining { until } => next_poll = self.poll_draining(now, until, remaining),
            Stage::Ending { until } => self.poll_ending(now, until, remaining),
            _ => {}
        }
        let next_poll = next_poll.or_else(|| self.next_poll(now));
        (std::mem::take(&mut self.pending_commands), next_poll)
    }

    fn poll_announcing(&mut self, now: f64, until: f64) {
        if self.stage_is_over(now, until) {
            self.stop_listening();
            self.pending_commands.push(ShutdownCommand::StopAccepting);
            // Counted from the planned end of the stage, so that a late poll does not prolong the shutdown.
            self.stage = Stage::Draining { until: until.min(now) + self.config.drain_timeout_s };
        }
    }

    /// Returns when to poll next if the stage is over, because the effect of failing all requests shows only
    /// at a later poll; `None` if the stage continues.
    fn poll_draining(&mut self, now: f64, until: f64, remaining: Remaining) -> Option<f64> {
        if remaining.open_requests > 0 && !self.stage_is_over(now, until) {
            return None;
        }
        self.requests_cut = remaining.open_requests > 0;
        if self.requests_cut {
            self.pending_commands.push(ShutdownCommand::FailAllOpen);
        }
        self.stage = Stage::Ending { until: until.min(now) + self.config.exit_timeout_s };
        Some(now + POLL_INTERVAL_S)
    }

    fn poll_ending(&mut self, now: f64, until: f64, remaining: Remaining) {
        if remaining.is_empty() || self.stage_is_over(now, until) {
            let exit = match (remaining.reservations > 0, self.requests_cut) {
                (true, _) => Exit::ReservationsLeft,
                (false, true) => Exit::RequestsCut,
                (false, false) => Exit::Clean,
            };
            self.stage = Stage::Exited(exit);
            self.pending_commands.push(ShutdownCommand::Exit(exit));
        }
    }

    fn next_poll(&self, now: f64) -> Option<f64> {
        match self.stage {
            Stage::Announcing { until } => Some(until),
            Stage::Draining { until } | Stage::Ending { until } => Some(until.min(now + POLL_INTERVAL_S)),
            _ => None,
        }
    }

    fn stage_is_over(&mut self, now: f64, until: f64) -> bool {
        if now < until && self.pending_skips > 0 {
            self.pending_skips -= 1;
            return true;
        }
        now >= until
    }

    fn stop_listening(&mut self) {
        if std::mem::take(&mut self.listening) {
            self.pending_commands.push(ShutdownCommand::StopListening);
        }
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
