use super::chunked::{ChunkedDecoder, DecodeStep};
use super::endpoint_list::{DiscoveredEndpoints, DiscoveryUpdate};
use super::engine::{
    load_report_in_comment, parse_load_report, parse_response_head, unary_outcome, ForwardedRequest,
};
use super::event_stream::{EventStreamDecoder, StreamPiece};
use super::request::{parse_request_head, KnownNames};
use super::*;
use bytes::{Bytes, BytesMut};
use nickelgw::interface::EngineRole;
use nickelgw_node_core::{AdmittedRequest, AttemptOutcome};
use nickelgw_platform_config::MachineKind;
use nickelgw_protocol::list::EngineState;
use nickelgw_protocol::load::PENDING_PROMPT_TOKENS_METRIC;
use proptest::prelude::*;
use test_case::test_case;

const VALID_HEAD: &str = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: 9b1f03aa\r\n\
X-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: 7f3a\r\nX-Budget-Ms: 4800\r\n\
X-Call-Info: prefix=5c0f,prompt_len=12,prefix_len=4,max_out=800\r\nContent-Length: 20\r\n\r\n";

fn known_names() -> KnownNames {
    KnownNames { routes: vec!["doc".into(), "chat".into()], tenants: vec!["acme".into()] }
}

/// Returns the request with this head in the form in which it is admitted.
fn admitted(text: &str) -> Result<AdmittedRequest, String> {
    let parsed = parse_request_head(text.as_bytes()).map_err(|error| error.to_string())?;
    let (head, _) = parsed.ok_or("the head is incomplete")?;
    let body = br#"{"model":"chat","x":"0123456789"}"#;
    head.to_admitted(&known_names(), body).map_err(|error| error.to_string())
}

#[test]
fn request_is_admitted_as_its_head_states() {
    let request = admitted(VALID_HEAD).unwrap();
    assert_eq!((request.route, request.tenant, request.timeout_s), (1, Some(0), 4.8));
    assert_eq!((request.prompt_tokens, request.prefix_tokens), (12.0, 4.0));
    assert_eq!(
        (&*request.session, request.prefix.as_deref(), request.name.as_deref()),
        ("7f3a", Some("5c0f"), Some("9b1f03aa"))
    );
    let (head, length) = parse_request_head(VALID_HEAD.as_bytes()).unwrap().unwrap();
    assert_eq!(
        (length, head.framing, head.target.as_str()),
        (VALID_HEAD.len(), Framing::Length(20), "/v1/chat/completions?x=1")
    );
    let incomplete = &VALID_HEAD.as_bytes()[..VALID_HEAD.len() - 1];
    assert!(parse_request_head(incomplete).unwrap().is_none());
}

// Invalid requests are refused before admission: none reaches the decision module or an engine.
#[test_case("X-Call-Id: 9b1f03aa\r\n", ""; "no id")]
#[test_case("9b1f03aa", "../x"; "an id that would change a path")]
#[test_case("X-Caller: acme", "X-Call-Id: other"; "two ids")]
#[test_case("Class: chat", "Class: nope"; "unknown class")]
#[test_case("acme", "nobody"; "unknown caller")]
#[test_case("4800", "-3"; "negative budget")]
#[test_case("4800", "soon"; "budget that is not a number")]
#[test_case("4800", "99999999999999999999"; "huge budget")]
#[test_case("prompt_len=12", "prompt_len=-12"; "negative length")]
#[test_case("prompt_len=12", "prompt_len=99999999"; "more tokens than characters")]
#[test_case("Content-Length: 20", "Content-Length: 20\r\nTransfer-Encoding: chunked"; "two framings")]
#[test_case("Content-Length: 20", "Content-Length: 20\r\nContent-Length: 20"; "two lengths")]
#[test_case("Content-Length: 20", "Content-Length: -1"; "negative content length")]
#[test_case("Content-Length: 20", "Transfer-Encoding: gzip, chunked"; "unsupported transfer coding")]
#[test_case("HTTP/1.1", "HTTP/9"; "unsupported version")]
#[test_case("Host: app.svc", "Ho st: app.svc"; "malformed header")]
fn invalid_request_is_refused(part: &str, replacement: &str) {
    assert!(VALID_HEAD.contains(part));
    assert!(admitted(&VALID_HEAD.replacen(part, replacement, 1)).is_err());
}

/// The header with the idempotency key of a deduplicated class (X-Dedupe) is named by a deployment and
/// unknown to the node.
#[test]
fn head_is_forwarded_without_the_headers_of_its_connection() {
    let text = VALID_HEAD.replacen(
        "Host: app.svc",
        "Host: app.svc\r\nX-Dedupe: k 1\r\nX-Twice: a\r\nx-twice: b\r\nX-Raw: \u{e9}\r\nTE: trailers\r\n\
         Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nExpect: 100-continue",
        1,
    );
    let (head, _) = parse_request_head(text.as_bytes()).unwrap().unwrap();
    let expected = "X-Dedupe: k 1\r\nX-Twice: a\r\nx-twice: b\r\nX-Raw: \u{e9}\r\nX-Call-Id: 9b1f03aa\r\n\
                    X-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: 7f3a\r\n\
                    X-Call-Info: prefix=5c0f,prompt_len=12,prefix_len=4,max_out=800\r\n";
    assert_eq!(std::str::from_utf8(&head.forwarded_headers), Ok(expected));
    let forwarded = ForwardedRequest::new(&head, "9b1f03aa", Bytes::from_static(b"{}"));
    let parts = forwarded.encode("e:1", 1.5);
    let bytes = String::from_utf8(parts.concat()).unwrap();
    assert!(bytes.starts_with("POST /v1/chat/completions?x=1 HTTP/1.1\r\nhost: e:1\r\nX-Dedupe: k 1\r\n"));
    assert!(
        bytes.ends_with("x-budget-ms: 1500\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}")
    );
}

#[test]
fn head_without_end_is_refused() {
    let endless = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(parse_request_head(endless.as_bytes()), Err(MalformedMessage::TooLong));
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn events(text: &str) -> StreamPiece {
    StreamPiece::Events(Bytes::from(text.to_string()))
}

/// Decodes bytes that arrive in these parts. Returns the pieces, and the error at which decoding ended.
fn decode_parts(parts: &[&[u8]]) -> (Vec<StreamPiece>, Result<(), MalformedMessage>) {
    let (mut decoder, mut buffer) = (EventStreamDecoder::default(), BytesMut::new());
    let mut pieces = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            match decoder.next(&mut buffer) {
                Ok(None) => break,
                Ok(Some(StreamPiece::End)) => {
                    pieces.push(StreamPiece::End);
                    return (pieces, Ok(()));
                }
                Ok(Some(piece)) => pieces.push(piece),
                Err(error) => return (pieces, Err(error)),
            }
        }
    }
    (pieces, Ok(()))
}

fn decode(bytes: &[u8]) -> (Vec<StreamPiece>, Result<(), MalformedMessage>) {
    decode_parts(&[bytes])
}

const EVENT: &str = "data: 1\n\n";
const DONE_EVENT: &str = "data: [DONE]\n\n";

#[test]
fn events_are_decoded_whole_and_as_soon_as_they_are_complete() {
    let stream = format!("{}{}0\r\n\r\n", chunk(EVENT), chunk(DONE_EVENT));
    let whole = vec![events(EVENT), events(DONE_EVENT), StreamPiece::End];
    assert_eq!(decode(stream.as_bytes()), (whole, Ok(())));
    // The end of the body is none of the stream without its final event.
    let short = format!("{}0\r\n\r\n", chunk(EVENT));
    assert_eq!(decode(short.as_bytes()), (vec![events(EVENT)], Err(MalformedMessage::Incomplete)));
    // An event is returned before its chunk is complete.
    assert_eq!(decode(b"9\r\ndata: 1\n\n").0, [events(EVENT)]);
    assert_eq!(decode(b"20\r\ndata: 1\n\ndata: 2").0, [events(EVENT)]);
    // Half an event is not returned, even if its chunk is complete.
    let parts = [chunk("data: "), chunk("1\n"), chunk("\n")];
    assert_eq!(decode(parts[0].as_bytes()).0, []);
    assert_eq!(decode(parts[..2].concat().as_bytes()).0, []);
    assert_eq!(decode(parts.concat().as_bytes()).0, [events(EVENT)]);
    // Events with other line ends, several events at once, and an event that is ended by the end of the
    // stream.
    assert_eq!(decode(chunk("data: 1\r\n\r\n").as_bytes()).0, [events("data: 1\r\n\r\n")]);
    let two_and_a_part = chunk("data: 1\n\ndata: 2\n\nda");
    assert_eq!(decode(two_and_a_part.as_bytes()).0, [events("data: 1\n\ndata: 2\n\n")]);
    assert_eq!(
        decode(chunk(EVENT).repeat(2).as_bytes()).0,
        [events(EVENT), events(EVENT)],
        "one piece per chunk"
    );
    let comment = format!("{}{}0\r\n\r\n", chunk(DONE_EVENT), chunk(": X-Load-Report: x0=1"));
    let whole = [events(DONE_EVENT), events(": X-Load-Report: x0=1"), StreamPiece::End];
    assert_eq!(decode(comment.as_bytes()).0, whole);
}

// Malformed streams are detected before any of the event is forwarded.
#[test_case(b"zz\r\nab\r\n", MalformedMessage::Chunk; "no size")]
#[test_case(b"2\r\nabc\r\n", MalformedMessage::Chunk; "too small a size")]
#[test_case(b"4\r\nab\r\n4\r\n", MalformedMessage::Chunk; "too large a size")]
#[test_case(b"c0000000\r\nab", MalformedMessage::TooLong; "3 GB")]
#[test_case(b"fffffffffffffffff\r\nab", MalformedMessage::Chunk; "size beyond 64 bits")]
#[test_case(b"0\r\nno trailer\r\n\r\n", MalformedMessage::Chunk; "malformed trailers")]
#[test_case(b"9\r\nnoise: \n\n\r\n", MalformedMessage::Events; "unknown field")]
fn malformed_chunk_is_detected(bytes: &[u8], error: MalformedMessage) {
    assert_eq!(decode(bytes), (vec![], Err(error)));
}

/// The data contains the size line of the next chunk: the first event is complete and forwarded, and nothing
/// after it.
#[test]
fn size_that_includes_the_next_chunk_ends_the_stream() {
    let bytes = format!("40\r\n{EVENT}\r\n{}{}", chunk(EVENT), chunk(&"data: 22\n\n".repeat(9)));
    let (pieces, end) = decode_parts(&[&bytes.as_bytes()[..13], &bytes.as_bytes()[13..]]);
    assert_eq!((pieces, end), (vec![events(EVENT)], Err(MalformedMessage::Events)));
}

#[test]
fn event_without_end_is_bounded() {
    let line = chunk(&format!("data: {}", "x".repeat(MAX_BODY_BYTES / 2)));
    assert_eq!(decode(line.repeat(3).as_bytes()), (vec![], Err(MalformedMessage::TooLong)));
}

#[test]
fn chunk_longer_than_allowed_is_detected() {
    let (mut body, mut decoder) = (BytesMut::new(), ChunkedDecoder::default());
    let mut bytes = BytesMut::from(format!("{}0\r\n\r\n", chunk("abc").repeat(3)).as_bytes());
    for step in [DecodeStep::ChunkEnd, DecodeStep::ChunkEnd, DecodeStep::ChunkEnd, DecodeStep::BodyEnd] {
        assert_eq!(decoder.decode(&mut bytes, &mut body, 4), Ok(step));
    }
    assert_eq!(&body[..], b"abcabcabc", "the caller limits the length of all chunks together");
    assert_eq!(
        ChunkedDecoder::default().decode(&mut BytesMut::from(&b"5\r\n"[..]), &mut body, 4),
        Err(MalformedMessage::TooLong)
    );
}

#[test_case("202 Accepted", true, AttemptOutcome::Prefilled; "prefilled")]
#[test_case("202 Accepted", false, AttemptOutcome::Malformed; "202 from a decode engine")]
#[test_case("410 Gone\r\nX-Rejected: 1", false, AttemptOutcome::ReservationNotFound; "no reservation")]
#[test_case("503 Full\r\nX-Rejected: 1", true, AttemptOutcome::Rejected; "rejected because full")]
#[test_case("504 Late\r\nX-Rejected: 1", false, AttemptOutcome::Rejected; "rejected because too late")]
#[test_case("503 Full", false, AttemptOutcome::ErrorStatus(503); "503 without rejection header")]
#[test_case("500 Error", true, AttemptOutcome::ErrorStatus(500); "error")]
fn response_status_decides_the_outcome(head: &str, is_prefill: bool, expected: AttemptOutcome) {
    let bytes = format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n");
    let (response, _) = parse_response_head(bytes.as_bytes()).unwrap().unwrap();
    assert_eq!(unary_outcome(&response, is_prefill), expected);
}

#[test]
fn head_without_an_empty_line_at_its_end_is_malformed() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n9\r\ndata: 1\n\n\r\n";
    assert!(parse_response_head(head).is_err());
    assert!(parse_response_head(b"\x00\x07noise").is_err());
}

#[test]
fn malformed_load_report_is_ignored() {
    let report = parse_load_report("x0=0.4,x1=2.5").unwrap();
    assert_eq!(
        (report.mem_utilization, report.named_metric(PENDING_PROMPT_TOKENS_METRIC)),
        (Some(0.4), Some(2500.0))
    );
    for malformed in ["x0=NaN", "x0", "x0=-1", "x0=1e99", "\u{0}"] {
        assert!(parse_load_report(malformed).is_none(), "{malformed}");
    }
    let closing_comment = b"data: [DONE]\n\n: X-Load-Report: x0=0.4,x1=2.5\n\n";
    assert_eq!(load_report_in_comment(closing_comment), Some(report));
    assert_eq!(load_report_in_comment(b"data: {\"a\": \": X-Load-Report: x0=1\"}\n\n"), None);
}

#[test]
fn endpoint_list_is_replaced_or_updated() {
    let machine_kind =
        |name: &str, role: EngineRole| MachineKind { name: name.to_string(), role, memory_tokens: 9.0 };
    let machine_kinds = vec![machine_kind("m1", EngineRole::Prefill), machine_kind("m2", EngineRole::Decode)];
    let mut endpoints = DiscoveredEndpoints::new(machine_kinds);
    let entry = |id: &str, lifecycle: &str| {
        format!(
            r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{}","zone":"a","machineType":"m1","cell":3,
            "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
            id.len()
        )
    };
    let update = |reset: bool, entries: &[String]| {
        let text = format!(r#"{{"generation":4,"reset":{reset},"instances":[{}]}}"#, entries.join(","));
        DiscoveryUpdate::parse(text.as_bytes()).unwrap()
    };
    endpoints.apply(update(true, &[entry("a", "up"), entry("bb", "up")]));
    endpoints.apply(update(false, &[entry("a", "removed"), entry("bb", "draining")]));
    let list = endpoints.snapshot();
    assert_eq!(list.revision, 2);
    let engines: Vec<_> =
        list.engines.iter().map(|engine| (&*engine.id, engine.state, engine.started_at)).collect();
    assert_eq!(engines, [("bb", EngineState::Draining, None)]);
}

#[test]
fn possibly_stale_list_takes_back_no_drain_removal_or_restart() {
    let machine_kind = MachineKind { name: "m1".into(), role: EngineRole::Prefill, memory_tokens: 9.0 };
    let mut endpoints = DiscoveredEndpoints::new(vec![machine_kind]);
    let update = |reset: bool, entries: &[(&str, &str, f64)]| {
        let instances: Vec<_> = entries
            .iter()
            .map(|(id, lifecycle, started_at_ms)| {
                serde_json::json!({"instanceId": id, "machineType": "m1", "lifecycle": lifecycle, "startedAtMs": started_at_ms})
            })
            .collect();
        let text = serde_json::json!({"generation": 4, "reset": reset, "instances": instances}).to_string();
        DiscoveryUpdate::parse(text.as_bytes()).unwrap()
    };
    let known =
        [("draining", "draining", 0.0), ("restarted", "up", 5e3), ("up", "up", 0.0), ("gone", "up", 0.0)];
    let states = |endpoints: &DiscoveredEndpoints| -> Vec<_> {
        let engines = endpoints.snapshot().engines;
        engines.into_iter().map(|engine| (engine.id, engine.state, engine.started_at)).collect()
    };
    let kept = [
        ("draining".to_string(), EngineState::Draining, None),
        ("restarted".to_string(), EngineState::Active, Some(5.0)),
        ("up".to_string(), EngineState::Draining, None),
    ];
    for is_whole_list in [true, false] {
        endpoints.apply(update(true, &known));
        let mut entries = vec![
            ("draining", "up", 0.0),
            ("restarted", "up", 0.0),
            ("up", "draining", 0.0),
            ("removed", "up", 0.0),
        ];
        if !is_whole_list {
            entries.push(("gone", "removed", 0.0));
        }
        endpoints.apply_possibly_stale(update(is_whole_list, &entries));
        assert_eq!(states(&endpoints), kept);
    }
}

proptest! {
    // Received bytes never cause a panic, whatever they are.
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = parse_request_head(&bytes);
        let _ = parse_response_head(&bytes);
        let _ = decode(&bytes);
        let _ = DiscoveryUpdate::parse(&bytes);
        let _ = std::str::from_utf8(&bytes).map(parse_load_report);
        let _ = load_report_in_comment(&bytes);
    }

    #[test]
    fn chunks_are_decoded_the_same_however_they_arrive(
        data in proptest::collection::vec(any::<u8>(), 1..300),
        cut in 0usize..400,
    ) {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(&data);
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        let cut = cut.min(bytes.len());
        let (mut decoder, mut body) = (ChunkedDecoder::default(), BytesMut::new());
        let mut buffer = BytesMut::from(&bytes[..cut]);
        let mut decode_all = |buffer: &mut BytesMut| loop {
            match decoder.decode(buffer, &mut body, MAX_BODY_BYTES).unwrap() {
                DecodeStep::ChunkEnd => {}
                step => return step,
            }
        };
        prop_assert_eq!(decode_all(&mut buffer) == DecodeStep::BodyEnd, cut == bytes.len());
        buffer.extend_from_slice(&bytes[cut..]);
        prop_assert_eq!(decode_all(&mut buffer), DecodeStep::BodyEnd);
        prop_assert_eq!(&body[..], &data[..]);
        prop_assert!(buffer.is_empty());
    }

    // Independently of the chunks and of how they arrive, all data is decoded unchanged, and each piece has
    // complete events.
    #[test]
    fn events_are_decoded_the_same_whatever_the_chunks(
        texts in proptest::collection::vec("[a-z0-9 :]{0,12}", 1..12),
        sizes in proptest::collection::vec(1usize..40, 1..30),
        cuts in proptest::collection::vec(1usize..50, 1..30),
    ) {
        let texts = texts.iter().map(String::as_str).chain(["[DONE]"]);
        let all: String = texts.map(|text| format!("data: {text}\n\n")).collect();
        let (mut bytes, mut remaining) = (String::new(), &all[..]);
        for size in sizes.iter().cycle() {
            let (data, behind) = remaining.split_at((*size).min(remaining.len()));
            bytes += &chunk(data);
            remaining = behind;
            if remaining.is_empty() {
                break;
            }
        }
        bytes += "0\r\n\r\n";
        let (mut parts, mut remaining) = (Vec::new(), bytes.as_bytes());
        for cut in cuts.iter().cycle() {
            let (part, behind) = remaining.split_at((*cut).min(remaining.len()));
            parts.push(part);
            remaining = behind;
            if remaining.is_empty() {
                break;
            }
        }
        let (mut pieces, end) = decode_parts(&parts);
        prop_assert_eq!((pieces.pop(), end), (Some(StreamPiece::End), Ok(())));
        let mut text = Vec::new();
        for piece in pieces {
            let StreamPiece::Events(data) = piece else { panic!("a second end of the stream") };
            prop_assert!(data.ends_with(b"\n\n"));
            text.extend_from_slice(&data);
        }
        prop_assert_eq!(text, all.into_bytes());
    }
}
