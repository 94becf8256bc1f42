//! A node's life, without I/O: what is allowed in each stage, and when the next one comes.
//!
//! | stage | health | new connections | new requests | streams | ends when |
//! | --- | --- | --- | --- | --- | --- |
//! | starting | no | yes | yes (shed: nothing is known) | - | a list is heard |
//! | serving | yes | yes | yes | run | told to leave |
//! | leaving | no | yes; no, once handed over | yes, each the last of its connection | run | `notice_s` is over |
//! | draining | no | no | refused, with a time to come back | run | nothing is open, or `grace_s` is over |
//! | ending | no | no | refused | each gets one clear ending | states are let go of, or `end_s` is over |

#[derive(Clone, Copy, Debug)]
pub struct ShutdownConfig {
    /// How long work is still taken once the front layer is told: for its health checks to see it.
    pub announce_s: f64,
    /// How long what runs may run on after that.
    pub drain_timeout_s: f64,
    /// How long endings may take to reach clients, and states to be let go of.
    pub exit_timeout_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Starting,
    Serving,
    Announcing { until: f64 },
    Draining { until: f64 },
    Ending { until: f64 },
    Exited(Exit),
}

/// How it ended; the process's exit code says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All that was open ended by itself.
    Clean,
    /// Some was ended by the grace's end.
    RequestsCut,
    /// Besides, states could not be let go of: their readers' own limits free them.
    ReservationsLeft,
}

impl Exit {
    pub fn code(self) -> u8 {
        match self {
            Exit::Clean => 0,
            Exit::RequestsCut => 3,
            Exit::ReservationsLeft => 4,
        }
    }
}

/// What is still there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Remaining {
    pub open_requests: usize,
    pub reservations: usize,
    pub connections: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownCommand {
    /// The health check says that it goes, and answers close their connections.
    AnnounceShutdown,
    StopListening,
    /// New requests are refused, unused connections closed.
    StopAccepting,
    /// Everything open gets its ending now.
    FailAllOpen,
    Exit(Exit),
}

#[derive(Debug)]
pub struct ProcessLifecycle {
    figures: ShutdownConfig,
    stage: Stage,
    listening: bool,
    cut: bool,
    /// Stages to be cut short: several signals may come between two looks.
    hastened: u32,
    ready: Vec<ShutdownCommand>,
}

/// How often what is left is looked at, once it counts.
const LOOK_S: f64 = 0.02;

impl ProcessLifecycle {
    pub fn new(figures: ShutdownConfig) -> ProcessLifecycle {
        ProcessLifecycle {
            figures,
            stage: Stage::Starting,
            listening: true,
            cut: false,
            hastened: 0,
            ready: Vec::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// A list of engines is known: it can serve.
    pub fn endpoints_known(&mut self) {
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
    }

    /// To go. `handed_over`: another process has the listening socket already.
    pub fn begin_drain(&mut self, now: f64, handed_over: bool) {
        if !matches!(self.stage, Stage::Starting | Stage::Serving) {
            return;
        }
        self.ready.push(ShutdownCommand::AnnounceShutdown);
        self.stage = Stage::Announcing { until: now + self.figures.announce_s };
        if handed_over {
            self.stop_listening();
        }
    }

    /// Told once more: the next stage comes at once.
    pub fn skip_stage(&mut self, now: f64) {
        match self.stage {
            Stage::Starting | Stage::Serving => self.begin_drain(now, false),
            Stage::Announcing { .. } | Stage::Draining { .. } | Stage::Ending { .. } => self.hastened += 1,
            Stage::Exited(_) => {}
        }
    }

    fn stop_listening(&mut self) {
        if std::mem::take(&mut self.listening) {
            self.ready.push(ShutdownCommand::StopListening);
        }
    }

    fn over(&mut self, now: f64, until: f64) -> bool {
        if now < until && self.hastened > 0 {
            self.hastened -= 1;
            return true;
        }
        now >= until
    }

    /// What to do, and when to look again.
    pub fn poll_commands(&mut self, now: f64, left: Remaining) -> (Vec<ShutdownCommand>, Option<f64>) {
        if let Stage::Announcing { until } = self.stage {
            if self.over(now, until) {
                self.stop_listening();
                self.ready.push(ShutdownCommand::StopAccepting);
                // From when it was due: a late look makes no longer life.
                self.stage = Stage::Draining { until: until.min(now) + self.figures.drain_timeout_s };
            }
        }
        if let Stage::Draining { until } = self.stage {
            if left.open_requests == 0 || self.over(now, until) {
                self.cut = left.open_requests > 0;
                if self.cut {
                    self.ready.push(ShutdownCommand::FailAllOpen);
                }
                self.stage = Stage::Ending { until: until.min(now) + self.figures.exit_timeout_s };
                // What ending all has done is seen at the next look.
                return (std::mem::take(&mut self.ready), Some(now + LOOK_S));
            }
        }
        if let Stage::Ending { until } = self.stage {
            let done = left.open_requests == 0 && left.reservations == 0 && left.connections == 0;
            if done || self.over(now, until) {
                let exit = match (left.reservations > 0, self.cut) {
                    (true, _) => Exit::ReservationsLeft,
                    (false, true) => Exit::RequestsCut,
                    (false, false) => Exit::Clean,
                };
                self.stage = Stage::Exited(exit);
                self.ready.push(ShutdownCommand::Exit(exit));
            }
        }
        let wake = match self.stage {
            Stage::Announcing { until } => Some(until),
            Stage::Draining { until } | Stage::Ending { until } => Some(until.min(now + LOOK_S)),
            _ => None,
        };
        (std::mem::take(&mut self.ready), wake)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const F: ShutdownConfig = ShutdownConfig { announce_s: 1.0, drain_timeout_s: 5.0, exit_timeout_s: 0.5 };

    fn left(open: usize, states: usize, connections: usize) -> Remaining {
        Remaining { open_requests: open, reservations: states, connections }
    }

    #[test]
    fn the_ordinary_end() {
        let mut l = ProcessLifecycle::new(F);
        l.endpoints_known();
        l.begin_drain(10.0, false);
        assert_eq!(
            l.poll_commands(10.0, left(3, 1, 4)),
            (vec![ShutdownCommand::AnnounceShutdown], Some(11.0))
        );
        assert_eq!(
            l.poll_commands(11.0, left(2, 1, 4)).0,
            vec![ShutdownCommand::StopListening, ShutdownCommand::StopAccepting]
        );
        assert_eq!(l.poll_commands(12.0, left(1, 0, 1)).0, vec![]);
        // Its last stream has ended, and the connection's last bytes are on their way.
        assert_eq!(l.poll_commands(12.5, left(0, 0, 1)).0, vec![]);
        assert_eq!(l.poll_commands(12.6, left(0, 0, 0)).0, vec![ShutdownCommand::Exit(Exit::Clean)]);
    }

    #[test]
    fn what_outlasts_the_grace_is_ended() {
        let mut l = ProcessLifecycle::new(F);
        l.begin_drain(0.0, true);
        assert_eq!(
            l.poll_commands(0.0, left(1, 1, 1)).0,
            vec![ShutdownCommand::AnnounceShutdown, ShutdownCommand::StopListening]
        );
        assert_eq!(l.poll_commands(1.0, left(1, 1, 1)).0, vec![ShutdownCommand::StopAccepting]);
        assert_eq!(l.poll_commands(6.0, left(1, 1, 1)).0, vec![ShutdownCommand::FailAllOpen]);
        assert_eq!(l.poll_commands(6.1, left(0, 1, 0)).0, vec![]);
        assert_eq!(
            l.poll_commands(6.5, left(0, 1, 0)).0,
            vec![ShutdownCommand::Exit(Exit::ReservationsLeft)]
        );
    }

    #[test]
    fn each_further_signal_hastens() {
        let mut l = ProcessLifecycle::new(F);
        l.begin_drain(0.0, false);
        l.poll_commands(0.0, left(1, 0, 1));
        l.skip_stage(0.1);
        assert!(l.poll_commands(0.1, left(1, 0, 1)).0.contains(&ShutdownCommand::StopAccepting));
        l.skip_stage(0.2);
        assert_eq!(l.poll_commands(0.2, left(1, 0, 1)).0, vec![ShutdownCommand::FailAllOpen]);
        l.skip_stage(0.25);
        assert_eq!(l.poll_commands(0.25, left(0, 0, 1)).0, vec![ShutdownCommand::Exit(Exit::RequestsCut)]);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn it_only_goes_on_says_each_thing_once_and_ends_in_time(
            steps in prop::collection::vec((0u8..6, 0usize..3, 0.0..0.6f64), 1..80),
        ) {
            let (mut l, mut now, mut said, mut told) = (ProcessLifecycle::new(F), 0.0, Vec::new(), None);
            let mut ended = None;
            let rank = |s: Stage| match s {
                Stage::Starting => 0, Stage::Serving => 1, Stage::Announcing { .. } => 2,
                Stage::Draining { .. } => 3, Stage::Ending { .. } => 4, Stage::Exited(_) => 5,
            };
            for (what, n, dt) in steps {
                now += dt;
                let before = rank(l.stage());
                match what {
                    0 => l.endpoints_known(),
                    1 => { l.begin_drain(now, n == 1); told = told.or(Some(now)); }
                    2 if told.is_some() => l.skip_stage(now),
                    _ => {}
                }
                said.extend(l.poll_commands(now, left(n, n, n)).0);
                ended = ended.or(matches!(l.stage(), Stage::Exited(_)).then_some(now));
                prop_assert!(rank(l.stage()) >= before);
            }
            if let Some(told) = told {
                let mut wake = Some(now);
                while let Some(at) = wake.filter(|_| rank(l.stage()) < 5) {
                    now = at.max(now + 1e-3);
                    let (todo, next) = l.poll_commands(now, left(1, 1, 1));
                    said.extend(todo);
                    wake = next;
                }
                // A look comes up to 0.6 s late.
                let most = told + F.announce_s + F.drain_timeout_s + F.exit_timeout_s + 0.6;
                prop_assert_eq!(rank(l.stage()), 5);
                prop_assert!(ended.unwrap_or(now) <= most);
                prop_assert_eq!(said.iter().filter(|d| matches!(d, ShutdownCommand::Exit(_))).count(), 1);
            }
            for d in &said {
                prop_assert_eq!(said.iter().filter(|x| *x == d).count(), 1, "{:?}", d);
            }
            let at = |d: ShutdownCommand| said.iter().position(|x| *x == d);
            if let (Some(refuse), Some(end)) = (at(ShutdownCommand::StopAccepting), at(ShutdownCommand::FailAllOpen)) {
                prop_assert!(at(ShutdownCommand::StopListening) < Some(refuse) && refuse < end);
            }
        }
    }
}
