use super::super::event_stream::{EventStreamDecoder, StreamPiece};
use super::super::MalformedMessage;
use super::*;
use bytes::BytesMut;
use proptest::prelude::*;
use test_case::test_case;

const EVENTS: [&str; 5] = [
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\\\"finish_reason\\\":1\"},\"finish_reason\":null}]}\n\n",
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"[DONE]\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":2}}\n\n",
    "data: [DONE]\n\n",
    ": X-Load-Report: x0=0.1\n\n",
];

#[test_case(&[0, 1, 2, 3], true; "whole")]
#[test_case(&[1, 3], true; "no usage")]
#[test_case(&[3], true; "no choices")]
#[test_case(&[0, 1, 3, 0], true; "surplus events")]
#[test_case(&[0, 1, 2], false; "no done event")]
#[test_case(&[0, 3], false; "no finish reason")]
#[test_case(&[4], false; "comment alone")]
fn events_make_a_whole_answer(events: &[usize], expected: bool) {
    let mut completeness = StreamCompleteness::default();
    for event in events {
        completeness.record(EVENTS[*event].as_bytes());
    }
    assert_eq!(completeness.is_whole(), expected);
}

/// Decodes a body of chunks with these sizes, and returns the text of its events and how it ended.
fn decode_chunks(text: &str, sizes: &[usize]) -> (String, Result<bool, MalformedMessage>) {
    let (mut decoder, mut buffer) = (EventStreamDecoder::default(), BytesMut::new());
    let (mut rest, mut decoded) = (text.as_bytes(), String::new());
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (data, later) = rest.split_at((*size).min(rest.len()));
        buffer.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        buffer.extend_from_slice(data);
        buffer.extend_from_slice(b"\r\n");
        rest = later;
    }
    buffer.extend_from_slice(b"0\r\n\r\n");
    loop {
        match decoder.next(&mut buffer) {
            Ok(Some(StreamPiece::Events(events))) => decoded.push_str(&String::from_utf8_lossy(&events)),
            Ok(Some(StreamPiece::End)) => return (decoded, Ok(true)),
            Ok(None) => return (decoded, Ok(false)),
            Err(error) => return (decoded, Err(error)),
        }
    }
}

proptest! {
    /// Wherever the body ends, whatever its chunks: a stream that falls short is not taken for a whole one, and no part
    /// of an event is passed on.
    #[test]
    fn stream_ends_as_whole_only_after_its_done_event(
        cut in 0.0..1.0_f64,
        sizes in prop::collection::vec(1..120_usize, 1..6),
    ) {
        let text = EVENTS.concat();
        let done_at = text.find("data: [DONE]").unwrap() + "data: [DONE]".len();
        let length = (cut * (text.len() + 1) as f64) as usize;
        let (decoded, end) = decode_chunks(&text[..length], &sizes);
        prop_assert_eq!(end == Ok(true), length >= done_at, "{:?}", end);
        prop_assert!(text.starts_with(&decoded));
        if length < done_at {
            prop_assert!(decoded.is_empty() || decoded.ends_with("\n\n"), "{}", decoded);
        }
    }
}
