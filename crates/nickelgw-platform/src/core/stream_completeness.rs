//! Whether the events of a stream make a whole answer. The framing cannot tell: an engine that fails while it writes
//! may still end the body.

/// Data of the event that ends a whole stream.
const DONE_DATA: &[u8] = b"[DONE]";
/// Member of a choice that states why its text has ended; `null` while the text goes on.
const FINISH_REASON_KEY: &[u8] = b"\"finish_reason\"";

/// What the choices of a stream have stated about the end of its text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TextState {
    /// No choice with a finish reason has come; such streams end with the done event alone.
    #[default]
    Unstated,
    /// The text goes on.
    Unfinished,
    /// The text has ended.
    Finished,
}

/// What the events of a stream so far tell about its end.
#[derive(Debug, Default)]
pub struct StreamCompleteness {
    text: TextState,
    is_done: bool,
}

impl StreamCompleteness {
    /// Takes complete events into account. Returns whether one of them had data; comments have none.
    pub fn record(&mut self, events: &[u8]) -> bool {
        let mut has_data = false;
        for data in lines(events).filter_map(line_data) {
            has_data = true;
            self.record_data(data);
        }
        has_data
    }

    fn record_data(&mut self, data: &[u8]) {
        if data == DONE_DATA {
            self.is_done = true;
        }
        match states_finish(data) {
            None => {}
            Some(true) => self.text = TextState::Finished,
            Some(false) if self.text == TextState::Finished => {}
            Some(false) => self.text = TextState::Unfinished,
        }
    }

    /// Returns whether the events make a whole answer.
    pub fn is_whole(&self) -> bool {
        self.is_done && self.text != TextState::Unfinished
    }
}

/// Returns whether bytes that the body's end follows, without an empty line, can stand there: comments and the done
/// event. Another event is a part of one.
pub fn may_end_stream(rest: &[u8]) -> bool {
    let is_comment = |line: &[u8]| line.is_empty() || line.starts_with(b":");
    lines(rest).all(|line| is_comment(line) || line_data(line) == Some(DONE_DATA))
}

/// Returns the lines of the events, without their ends.
pub fn lines(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the data of a line; `None` if the line has another field.
fn line_data(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(b"data:").map(<[u8]>::trim_ascii)
}

/// Returns whether the data states that the text of a choice has ended; `None` if it has no choice that states it.
/// Quotes inside a JSON text are escaped, so that the key is found nowhere else.
fn states_finish(data: &[u8]) -> Option<bool> {
    let key_at =
        |data: &[u8]| data.windows(FINISH_REASON_KEY.len()).position(|part| part == FINISH_REASON_KEY);
    let (mut rest, mut stated) = (data, None);
    while let Some(position) = key_at(rest) {
        rest = rest.get(position + FINISH_REASON_KEY.len()..).unwrap_or_default();
        let value = rest.trim_ascii_start().strip_prefix(b":").unwrap_or_default().trim_ascii_start();
        let is_finished = !value.is_empty() && !value.starts_with(b"null");
        stated = Some(is_finished || stated == Some(true));
    }
    stated
}

#[cfg(test)]
#[path = "stream_completeness_tests.rs"]
mod tests;
