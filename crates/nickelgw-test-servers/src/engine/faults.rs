//! Faults that tests cause by `POST /control`.

use serde_json::Value;

/// Length of pauses for which the control call gives none.
const DEFAULT_PAUSE_S: f64 = 0.2;
/// Period of pauses for which the control call gives none.
const DEFAULT_PAUSE_PERIOD_S: f64 = 1.0;
/// Shortest period of pauses; a period of zero would have no remainder.
const MIN_PAUSE_PERIOD_S: f64 = 0.01;

/// Fault that affects a share of the requests, chosen at random.
#[derive(Clone, Copy, Default)]
pub(super) struct RandomFault {
    until: f64,
    share: f64,
}

impl RandomFault {
    /// Returns whether the fault affects a request. `drawn` is a random number from 0 to 1.
    pub fn affects(&self, now: f64, drawn: f64) -> bool {
        now < self.until && drawn < self.share
    }
}

/// Network partition: engines and nodes of a zone cannot reach those of other zones.
#[derive(Default)]
struct Partition {
    until: f64,
    zone: String,
}

/// Periodic pauses: the engine stops for `length_s` in every period.
#[derive(Default)]
struct Pauses {
    until: f64,
    length_s: f64,
    period_s: f64,
}

impl Pauses {
    /// Returns the end of the pause that contains `now`, or zero outside pauses.
    fn end(&self, now: f64) -> f64 {
        if now < self.until && now % self.period_s < self.length_s {
            now - now % self.period_s + self.length_s
        } else {
            0.0
        }
    }
}

/// Way in which streams end.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum StreamEnding {
    #[default]
    Normal,
    /// The final event is sent twice.
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

/// Faults of streams.
#[derive(Clone, Default)]
pub(super) struct StreamFaults {
    pub ending: StreamEnding,
    /// Text to send instead of numbered words, one character for each token. Empty for numbered words.
    pub text: String,
    /// Size of the pieces in which streams are sent. 0 for whole events.
    pub piece_bytes: usize,
    /// Number of bytes added to each token, so that few tokens fill a buffer.
    pub padding_bytes: usize,
}

/// All faults of an engine.
#[derive(Default)]
pub(super) struct Faults {
    silent_until: f64,
    partition: Partition,
    pauses: Pauses,
    /// Fault that answers requests with an internal error.
    pub fail: RandomFault,
    /// Fault that drops the response after the work is done.
    pub lose_response: RandomFault,
    /// Number of requests still to reject as if the engine were full.
    reject_next: u64,
    /// Whether the engine exits halfway through the next fetch of a KV state.
    pub exit_in_fetch: bool,
    pub stream: StreamFaults,
}

impl Faults {
    /// Returns the time until which the engine is unreachable for a caller in `zone`. It is in the past if
    /// the engine is reachable.
    pub fn unreachable_until(&self, now: f64, zone: &str, own_zone: &str) -> f64 {
        let partition = &self.partition;
        let crosses_zones = !zone.is_empty() && zone != own_zone;
        let is_cut = crosses_zones && (partition.zone == zone || partition.zone == own_zone);
        let cut_until = if is_cut { partition.until } else { 0.0 };
        self.silent_until.max(cut_until).max(self.pauses.end(now))
    }

    /// Returns whether this request is to be rejected, and counts it.
    pub fn take_rejection(&mut self) -> bool {
        let rejects = self.reject_next > 0;
        self.reject_next = self.reject_next.saturating_sub(1);
        rejects
    }

    /// Applies a control call. Returns `false` if it asks for a fault of another kind.
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

/// Returns the name of the fault that a control call asks for.
pub(super) fn fault_name(command: &Value) -> &str {
    command["fault"].as_str().unwrap_or("")
}
