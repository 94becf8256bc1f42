//! Generated tokens of a decode engine.

/// Tokens of an answer and the reason for its end.
pub(super) struct Generation {
    pub tokens: Vec<String>,
    pub finish_reason: &'static str,
}

impl Generation {
    /// Cuts the tokens off before the first stop sequence and after `max_tokens`.
    pub fn new(all: Vec<String>, stop: &[String], max_tokens: Option<u64>) -> Generation {
        let mut text = String::new();
        let mut tokens: Vec<String> = Vec::new();
        for token in all {
            if max_tokens.is_some_and(|max| tokens.len() as u64 >= max) {
                return Generation { tokens, finish_reason: "length" };
            }
            let token_begin = text.len();
            text.push_str(&token);
            if let Some(stop_begin) = stop.iter().filter_map(|sequence| text.find(sequence)).min() {
                // The part of this token before the stop sequence still belongs to the answer.
                let before_stop = stop_begin.checked_sub(token_begin).filter(|length| *length > 0);
                tokens.extend(before_stop.map(|length| token[..length].to_string()));
                break;
            }
            tokens.push(token);
        }
        Generation { tokens, finish_reason: "stop" }
    }
}
