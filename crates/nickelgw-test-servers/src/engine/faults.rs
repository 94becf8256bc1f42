//! Faults that tests cause by `POST /control`.

use serde_json::Value;

/// Length and period of pauses that a control call leaves out.
const DEFAULT_PAUSE_S: f64 = 0.2;
const DEFAULT_PAUSE_PERIOD_S: f64 = 1.0;
/// Shortest period of pauses.
const MIN_PAUSE_PERIOD_S: f64 = 0.01;

/// A fault that hits a share of the requests.
#[derive(Clone, Copy, Default)]
pub(super) struct RandomFault {
    until: f64,
    share: f64,
}

impl RandomFault {
    /// Whether the fault hits a request for which this number from 0 to 1 was drawn.
    pub fn hits(&self, now: f64, drawn: f64) -> bool {
        now < self.until && drawn < self.share
    }
}

/// One zone cannot reach the others.
#[derive(Default)]
struct Partition {
    until: f64,
    zone: String,
}

/// The engine stops for a time in every period.
#[derive(Default)]
struct Pauses {
    until: f64,
    length_s: f64,
    period_s: f64,
}

impl Pauses {
    /// End of the pause that contains this time; zero outside pauses.
    fn end(&self, now: f64) -> f64 {
        if now < self.until && now % self.period_s < self.length_s {
            now - now % self.period_s + self.length_s
        } else {
            0.0
        }
    }
}

/// How a stream ends.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum StreamEnding {
    #[default]
    Normal,
    /// The final event comes twice.
    DoneTwice,
    /// The final event is missing.
    NoDone,
    /// Text follows the final event.
    TextAfterDone,
}

impl StreamEnding {
    fn parse(name: &str) -> StreamEnding {
        match name {
            "twice" => StreamEnding::DoneTwice,
            "none" => StreamEnding::NoDone,
            "text" => StreamEnding::TextAfterDone,
            _ => StreamEnding::Normal,
        }
    }
}

/// How streams differ from ordinary ones.
#[derive(Clone, Default)]
pub(super) struct StreamFaults {
    pub ending: StreamEnding,
    /// Text to send in place of numbered words, one character for each token.
    pub text: String,
    /// Size of the pieces in which streams are sent; 0: whole events.
    pub piece_bytes: usize,
    /// Padding of each token, so that few fill a buffer.
    pub padding_bytes: usize,
}

/// All faults of an engine.
#[derive(Default)]
pub(super) struct Faults {
    silent_until: f64,
    partition: Partition,
    pauses: Pauses,
    /// Requests answered with an internal error.
    pub fail: RandomFault,
    /// Requests whose response is lost after the work is done.
    pub lose_response: RandomFault,
    /// Requests still to reject as if the engine were full.
    reject_next: u64,
    /// The next fetch of a KV state ends halfway, and the process with it.
    pub exit_in_fetch: bool,
    pub stream: StreamFaults,
}

impl Faults {
    /// Until when a caller in this zone is out of reach.
    pub fn unreachable_until(&self, now: f64, zone: &str, own_zone: &str) -> f64 {
        let partition = &self.partition;
        let crosses_zones = !zone.is_empty() && zone != own_zone;
        let is_cut = crosses_zones && (partition.zone == zone || partition.zone == own_zone);
        let cut_until = if is_cut { partition.until } else { 0.0 };
        self.silent_until.max(cut_until).max(self.pauses.end(now))
    }

    /// Whether this request is one of those to reject.
    pub fn take_rejection(&mut self) -> bool {
        let rejects = self.reject_next > 0;
        self.reject_next = self.reject_next.saturating_sub(1);
        rejects
    }

    /// Applies a control call; false if it asks for no fault of this kind.
    pub fn apply(&mut self, command: &Value, until: f64, own_zone: &str) -> bool {
        self.apply_request_fault(command, until, own_zone) || self.apply_stream_fault(command)
    }

    fn apply_request_fault(&mut self, command: &Value, until: f64, own_zone: &str) -> bool {
        let share = command["share"].as_f64().unwrap_or(1.0);
        match fault_name(command) {
            "silence" => self.silent_until = until,
            "cut" => {
                let zone = command["zone"].as_str().unwrap_or(own_zone).to_string();
                self.partition = Partition { until, zone };
            }
            "fail" => self.fail = RandomFault { until, share },
            "lose" => self.lose_response = RandomFault { until, share },
            "pause" => {
                let length_s = command["pause_s"].as_f64().unwrap_or(DEFAULT_PAUSE_S);
                let period_s = command["every_s"].as_f64().unwrap_or(DEFAULT_PAUSE_PERIOD_S);
                self.pauses = Pauses { until, length_s, period_s: period_s.max(MIN_PAUSE_PERIOD_S) };
            }
            "refuse" => self.reject_next = command["times"].as_u64().unwrap_or(1),
            "die_in_fetch" => self.exit_in_fetch = true,
            _ => return false,
        }
        true
    }

    fn apply_stream_fault(&mut self, command: &Value) -> bool {
        let bytes = command["bytes"].as_u64().unwrap_or(0) as usize;
        match fault_name(command) {
            "ending" => self.stream.ending = StreamEnding::parse(command["how"].as_str().unwrap_or("")),
            "say" => self.stream.text = command["text"].as_str().unwrap_or("").into(),
            "pad" => self.stream.padding_bytes = bytes,
            "split" => self.stream.piece_bytes = bytes,
            _ => return false,
        }
        true
    }
}

/// The fault that a control call asks for.
pub(super) fn fault_name(command: &Value) -> &str {
    command["fault"].as_str().unwrap_or("")
}
