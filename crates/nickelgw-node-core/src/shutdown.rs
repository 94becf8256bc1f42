//! The life of a node's process, without I/O: what is allowed in each stage, and when the next one begins.
//!
//! | stage | health | new connections | new requests | streams | ends when |
//! | --- | --- | --- | --- | --- | --- |
//! | starting | no | yes | yes (rejected: no engine is known) | - | an endpoint list is known |
//! | serving | yes | yes | yes | run | a signal asks for the shutdown |
//! | announcing | no | yes; no, once handed over | yes, each the last of its connection | run | `announce_s` is over |
//! | draining | no | no | rejected, with Retry-After | run | nothing is open, or `drain_timeout_s` is over |
//! | ending | no | no | rejected | each gets one final answer | reservations are released, or `exit_timeout_s` is over |

/// How often what remains is checked while the process drains and ends.
const POLL_INTERVAL_S: f64 = 0.02;

/// Time limits of the shutdown's stages.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownConfig {
    /// How long requests are still accepted once health checks fail, so that load balancers notice.
    pub announce_s: f64,
    /// How long open requests may run after that.
    pub drain_timeout_s: f64,
    /// How long final answers may take to reach clients, and reservations to be released.
    pub exit_timeout_s: f64,
}

/// A stage of the process's life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No endpoint list is known.
    Starting,
    /// The ordinary stage.
    Serving,
    /// Health checks fail, and requests are still accepted.
    Announcing {
        /// When the stage ends.
        until: f64,
    },
    /// Requests are rejected; those that are open run on.
    Draining {
        /// When the stage ends.
        until: f64,
    },
    /// Everything open has its final answer.
    Ending {
        /// When the stage ends.
        until: f64,
    },
    /// The process is to exit.
    Exited(Exit),
}

/// How the process ended; its exit code says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All open requests ended by themselves.
    Clean,
    /// Some were cut at the end of the drain timeout.
    RequestsCut,
    /// Some reservations could not be released: their engines' own limits free them.
    ReservationsLeft,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Clean => 0,
            Exit::RequestsCut => 3,
            Exit::ReservationsLeft => 4,
        }
    }
}

/// What is still open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Remaining {
    /// Requests without a final answer.
    pub open_requests: usize,
    /// Reservations that are not released.
    pub reservations: usize,
    /// Connections of clients.
    pub connections: usize,
}

impl Remaining {
    fn is_nothing(&self) -> bool {
        self.open_requests == 0 && self.reservations == 0 && self.connections == 0
    }
}

/// What the shell is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownCommand {
    /// Health checks fail from now on, and answers close their connections.
    AnnounceShutdown,
    /// Close the listening sockets.
    StopListening,
    /// Reject new requests, and close idle connections.
    StopAccepting,
    /// Give everything open its final answer.
    FailAllOpen,
    /// End the process.
    Exit(Exit),
}

/// The state machine of the process's life.
#[derive(Debug)]
pub struct ProcessLifecycle {
    config: ShutdownConfig,
    stage: Stage,
    listening: bool,
    requests_cut: bool,
    /// Stages still to be skipped: several signals may come between two polls.
    pending_skips: u32,
    pending_commands: Vec<ShutdownCommand>,
}

impl ProcessLifecycle {
    /// A process that starts.
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

    /// The present stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// An endpoint list is known: the node can serve.
    pub fn endpoints_known(&mut self) {
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
    }

    /// Begins the shutdown. `handed_over`: another process has the listening sockets already.
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

    /// A further signal: the next stage begins at once.
    pub fn skip_stage(&mut self, now: f64) {
        match self.stage {
            Stage::Starting | Stage::Serving => self.begin_drain(now, false),
            Stage::Announcing { .. } | Stage::Draining { .. } | Stage::Ending { .. } => {
                self.pending_skips += 1;
            }
            Stage::Exited(_) => {}
        }
    }

    /// What to do, and when to poll again.
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
            // From the time when the stage was to end: a late poll does not prolong the shutdown.
            self.stage = Stage::Draining { until: until.min(now) + self.config.drain_timeout_s };
        }
    }

    /// If the stage is over, when to poll next: what failing all requests has done is seen at a later poll.
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
        if remaining.is_nothing() || self.stage_is_over(now, until) {
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
