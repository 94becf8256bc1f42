use super::chunks::{Chunked, Step};
use super::engine::{answer, cause, comment, report, Passed};
use super::events::{Events, Piece};
use super::list::{News, Roll};
use super::request::{head, Names};
use super::*;
use bytes::{Bytes, BytesMut};
use nickelgw::interface::EngineRole;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_protocol::load::PENDING_PROMPT_TOKENS_METRIC;
use proptest::prelude::*;
use test_case::test_case;

const GOOD: &str = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: 9b1f03aa\r\n\
X-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: 7f3a\r\nX-Budget-Ms: 4800\r\n\
X-Call-Info: prefix=5c0f,prompt_len=12,prefix_len=4,max_out=800\r\nContent-Length: 20\r\n\r\n";

fn names() -> Names {
    Names { routes: vec!["doc".into(), "chat".into()], tenants: vec!["acme".into()] }
}

fn asked(text: &str) -> Result<nickelgw_node_core::AdmittedRequest, String> {
    let (h, _) = head(text.as_bytes()).map_err(|e| e.to_string())?.ok_or("not whole")?;
    h.ask(&names(), br#"{"model":"chat","x":"0123456789"}"#).map_err(str::to_string)
}

#[test]
fn a_request_is_taken_as_its_head_says() {
    let ask = asked(GOOD).unwrap();
    assert_eq!((ask.route, ask.tenant, ask.timeout_s), (1, Some(0), 4.8));
    assert_eq!((ask.prompt_tokens, ask.prefix_tokens), (12.0, 4.0));
    assert_eq!(
        (&*ask.session, ask.prefix.as_deref(), ask.name.as_deref()),
        ("7f3a", Some("5c0f"), Some("9b1f03aa"))
    );
    let (h, n) = head(GOOD.as_bytes()).unwrap().unwrap();
    assert_eq!(
        (n, h.framing, h.target.as_str()),
        (GOOD.len(), Framing::Length(20), "/v1/chat/completions?x=1")
    );
    assert!(head(&GOOD.as_bytes()[..GOOD.len() - 1]).unwrap().is_none());
}

// Clients that send what cannot be used: each refused at the door, none reaches the module or an engine.
#[test_case("X-Call-Id: 9b1f03aa\r\n", ""; "no id")]
#[test_case("9b1f03aa", "../x"; "an id that would change a path")]
#[test_case("X-Caller: acme", "X-Call-Id: other"; "two ids")]
#[test_case("Class: chat", "Class: nope"; "no such class")]
#[test_case("acme", "nobody"; "no such caller")]
#[test_case("4800", "-3"; "negative budget")]
#[test_case("4800", "soon"; "budget is no number")]
#[test_case("4800", "99999999999999999999"; "huge budget")]
#[test_case("prompt_len=12", "prompt_len=-12"; "negative length")]
#[test_case("prompt_len=12", "prompt_len=99999999"; "more tokens than characters")]
#[test_case("Content-Length: 20", "Content-Length: 20\r\nTransfer-Encoding: chunked"; "two framings")]
#[test_case("Content-Length: 20", "Content-Length: 20\r\nContent-Length: 20"; "two lengths")]
#[test_case("Content-Length: 20", "Content-Length: -1"; "negative content length")]
#[test_case("Content-Length: 20", "Transfer-Encoding: gzip, chunked"; "other coding")]
#[test_case("HTTP/1.1", "HTTP/9"; "no such version")]
#[test_case("Host: app.svc", "Ho st: app.svc"; "a header that cannot be read")]
fn what_cannot_be_used_is_refused(part: &str, by: &str) {
    assert!(GOOD.contains(part));
    assert!(asked(&GOOD.replacen(part, by, 1)).is_err());
}

/// Another deployment's key of a deduped class is a header that this one's page does not name.
#[test]
fn a_head_is_passed_on_whole_but_for_what_is_of_its_connection() {
    let text = GOOD.replacen(
        "Host: app.svc",
        "Host: app.svc\r\nX-Dedupe: k 1\r\nX-Twice: a\r\nx-twice: b\r\nX-Raw: \u{e9}\r\nTE: trailers\r\n\
         Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nExpect: 100-continue",
        1,
    );
    let (h, _) = head(text.as_bytes()).unwrap().unwrap();
    let wanted = "X-Dedupe: k 1\r\nX-Twice: a\r\nx-twice: b\r\nX-Raw: \u{e9}\r\nX-Call-Id: 9b1f03aa\r\n\
                  X-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: 7f3a\r\n\
                  X-Call-Info: prefix=5c0f,prompt_len=12,prefix_len=4,max_out=800\r\n";
    assert_eq!(std::str::from_utf8(&h.passed), Ok(wanted));
    let sent = Passed::new(&h, "9b1f03aa", Bytes::from_static(b"{}")).bytes("e:1", 1.5);
    let sent = String::from_utf8(sent).unwrap();
    assert!(sent.starts_with("POST /v1/chat/completions?x=1 HTTP/1.1\r\nhost: e:1\r\nX-Dedupe: k 1\r\n"));
    assert!(
        sent.ends_with("x-budget-ms: 1500\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}")
    );
}

#[test]
fn a_head_without_end_is_refused() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MOST_HEAD));
    assert_eq!(head(long.as_bytes()), Err(Spoilt::Long));
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn data(text: &str) -> Piece {
    Piece::Data(Bytes::from(text.to_string()))
}

/// What is taken of these bytes, each part as it comes.
fn pieces_of(parts: &[&[u8]]) -> (Vec<Piece>, Result<(), Spoilt>) {
    let (mut events, mut buf, mut all) = (Events::default(), BytesMut::new(), Vec::new());
    for part in parts {
        buf.extend_from_slice(part);
        loop {
            match events.next(&mut buf) {
                Ok(None) => break,
                Ok(Some(Piece::Last)) => {
                    all.push(Piece::Last);
                    return (all, Ok(()));
                }
                Ok(Some(p)) => all.push(p),
                Err(why) => return (all, Err(why)),
            }
        }
    }
    (all, Ok(()))
}

fn pieces(bytes: &[u8]) -> (Vec<Piece>, Result<(), Spoilt>) {
    pieces_of(&[bytes])
}

const ONE: &str = "data: 1\n\n";

#[test]
fn events_come_whole_and_as_soon_as_they_are() {
    let whole = format!("{}0\r\n\r\n", chunk(ONE));
    assert_eq!(pieces(whole.as_bytes()), (vec![data(ONE), Piece::Last], Ok(())));
    // Before its chunk is.
    assert_eq!(pieces(b"9\r\ndata: 1\n\n").0, [data(ONE)]);
    assert_eq!(pieces(b"20\r\ndata: 1\n\ndata: 2").0, [data(ONE)]);
    // Not by its half, whole as that chunk may be.
    let halves = [chunk("data: "), chunk("1\n"), chunk("\n")];
    assert_eq!(pieces(halves[0].as_bytes()).0, []);
    assert_eq!(pieces(halves[..2].concat().as_bytes()).0, []);
    assert_eq!(pieces(halves.concat().as_bytes()).0, [data(ONE)]);
    // Other ends of lines, several at once, and what the end of the stream ends.
    assert_eq!(pieces(chunk("data: 1\r\n\r\n").as_bytes()).0, [data("data: 1\r\n\r\n")]);
    assert_eq!(pieces(chunk("data: 1\n\ndata: 2\n\nda").as_bytes()).0, [data("data: 1\n\ndata: 2\n\n")]);
    assert_eq!(pieces(chunk(ONE).repeat(2).as_bytes()).0, [data(ONE), data(ONE)], "chunk by chunk");
    let comment = format!("{}0\r\n\r\n", chunk(": X-Load-Report: x0=1"));
    assert_eq!(pieces(comment.as_bytes()).0, [data(": X-Load-Report: x0=1"), Piece::Last]);
}

// Streams that arrive spoilt: found before anything of the event is passed on.
#[test_case(b"zz\r\nab\r\n", Spoilt::Chunk; "no size")]
#[test_case(b"2\r\nabc\r\n", Spoilt::Chunk; "too small a size")]
#[test_case(b"4\r\nab\r\n4\r\n", Spoilt::Chunk; "too large a size")]
#[test_case(b"c0000000\r\nab", Spoilt::Long; "3 GB")]
#[test_case(b"fffffffffffffffff\r\nab", Spoilt::Chunk; "past all numbers")]
#[test_case(b"0\r\nno trailer\r\n\r\n", Spoilt::Chunk; "bad trailers")]
#[test_case(b"9\r\nnoise: \n\n\r\n", Spoilt::Events; "no event")]
fn spoilt_chunks_are_found(bytes: &[u8], why: Spoilt) {
    assert_eq!(pieces(bytes), (vec![], Err(why)));
}

/// The next chunk's line in the data: the first event is whole, and nothing behind it is passed on.
#[test]
fn a_size_that_takes_in_the_next_chunk_ends_the_stream() {
    let bytes = format!("40\r\n{ONE}\r\n{}{}", chunk(ONE), chunk(&"data: 22\n\n".repeat(9)));
    let (all, end) = pieces_of(&[&bytes.as_bytes()[..13], &bytes.as_bytes()[13..]]);
    assert_eq!((all, end), (vec![data(ONE)], Err(Spoilt::Events)));
}

#[test]
fn an_event_without_end_is_bounded() {
    let line = chunk(&format!("data: {}", "x".repeat(MOST_BODY / 2)));
    assert_eq!(pieces(line.repeat(3).as_bytes()), (vec![], Err(Spoilt::Long)));
}

#[test]
fn a_chunked_body_longer_than_allowed_is_found() {
    let (mut body, mut c) = (BytesMut::new(), Chunked::default());
    let mut bytes = BytesMut::from(format!("{}0\r\n\r\n", chunk("abc").repeat(3)).as_bytes());
    for step in [Step::Chunk, Step::Chunk, Step::Chunk, Step::Whole] {
        assert_eq!(c.decode(&mut bytes, &mut body, 4), Ok(step));
    }
    assert_eq!(&body[..], b"abcabcabc", "the sum is the caller's to bound");
    assert_eq!(
        Chunked::default().decode(&mut BytesMut::from(&b"5\r\n"[..]), &mut body, 4),
        Err(Spoilt::Long)
    );
}

#[test_case("202 Accepted", true, AttemptOutcome::Prefilled; "read")]
#[test_case("202 Accepted", false, AttemptOutcome::Malformed; "a writer that says read")]
#[test_case("410 Gone\r\nX-Rejected: 1", false, AttemptOutcome::ReservationNotFound; "no state")]
#[test_case("503 Full\r\nX-Rejected: 1", true, AttemptOutcome::Rejected; "turned away")]
#[test_case("504 Late\r\nX-Rejected: 1", false, AttemptOutcome::Rejected; "too late")]
#[test_case("503 Full", false, AttemptOutcome::ErrorStatus(503); "a bare 503 proves nothing")]
#[test_case("500 Error", true, AttemptOutcome::ErrorStatus(500); "error")]
fn answers_mean(head: &str, read: bool, wanted: AttemptOutcome) {
    let (a, _) = answer(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes()).unwrap().unwrap();
    assert_eq!(cause(&a, read), wanted);
}

#[test]
fn a_head_that_does_not_end_in_place_is_spoilt() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n9\r\ndata: 1\n\n\r\n";
    assert!(answer(head).is_err());
    assert!(answer(b"\x00\x07noise").is_err());
}

#[test]
fn reports_are_read_or_passed_over() {
    let r = report("x0=0.4,x1=2.5").unwrap();
    assert_eq!((r.mem_utilization, r.named_metric(PENDING_PROMPT_TOKENS_METRIC)), (Some(0.4), Some(2500.0)));
    for bad in ["x0=NaN", "x0", "x0=-1", "x0=1e99", "\u{0}"] {
        assert!(report(bad).is_none(), "{bad}");
    }
    assert_eq!(comment(b"data: [DONE]\n\n: X-Load-Report: x0=0.4,x1=2.5\n\n"), Some(r));
    assert_eq!(comment(b"data: {\"a\": \": X-Load-Report: x0=1\"}\n\n"), None);
}

#[test]
fn the_list_is_told_whole_or_by_its_changes() {
    let kinds =
        vec![("m1".to_string(), EngineRole::Prefill, 9.0), ("m2".to_string(), EngineRole::Decode, 9.0)];
    let mut roll = Roll::new(kinds);
    let entry = |id: &str, state: &str| {
        format!(
            r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{}","zone":"a","machineType":"m1","cell":3,
            "lifecycle":"{state}","weight":1.0,"startedAtMs":0}}"#,
            id.len()
        )
    };
    let news = |reset: bool, entries: &[String]| {
        let text = format!(r#"{{"generation":4,"reset":{reset},"instances":[{}]}}"#, entries.join(","));
        News::parse(text.as_bytes()).unwrap()
    };
    roll.hear(news(true, &[entry("a", "up"), entry("bb", "up")]));
    roll.hear(news(false, &[entry("a", "removed"), entry("bb", "draining")]));
    let list = roll.list();
    assert_eq!(list.revision, 2);
    let told: Vec<_> = list.engines.iter().map(|l| (&*l.id, l.state, l.started_at)).collect();
    assert_eq!(told, [("bb", nickelgw_protocol::list::EngineState::Draining, None)]);
}

proptest! {
    // Bytes from outside never fail more than their connection.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = head(&bytes);
        let _ = answer(&bytes);
        let _ = pieces(&bytes);
        let _ = News::parse(&bytes);
        let _ = std::str::from_utf8(&bytes).map(report);
        let _ = comment(&bytes);
    }

    #[test]
    fn chunks_are_the_same_however_they_arrive(data in proptest::collection::vec(any::<u8>(), 1..300), cut in 0usize..400) {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(&data);
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        let cut = cut.min(bytes.len());
        let (mut chunked, mut body) = (Chunked::default(), BytesMut::new());
        let mut buf = BytesMut::from(&bytes[..cut]);
        let mut all = |buf: &mut BytesMut| loop {
            match chunked.decode(buf, &mut body, MOST_BODY).unwrap() {
                Step::Chunk => {}
                step => return step,
            }
        };
        prop_assert_eq!(all(&mut buf) == Step::Whole, cut == bytes.len());
        buf.extend_from_slice(&bytes[cut..]);
        prop_assert_eq!(all(&mut buf), Step::Whole);
        prop_assert_eq!(&body[..], &data[..]);
        prop_assert!(buf.is_empty());
    }

    // Whatever the chunks, and however they come: all of it, unchanged, each part whole events.
    #[test]
    fn events_are_the_same_whatever_the_chunks(
        texts in proptest::collection::vec("[a-z0-9 :]{0,12}", 1..12),
        sizes in proptest::collection::vec(1usize..40, 1..30),
        cuts in proptest::collection::vec(1usize..50, 1..30),
    ) {
        let all: String = texts.iter().map(|t| format!("data: {t}\n\n")).collect();
        let (mut bytes, mut rest) = (String::new(), &all[..]);
        for size in sizes.iter().cycle() {
            let (one, more) = rest.split_at((*size).min(rest.len()));
            bytes += &chunk(one);
            rest = more;
            if rest.is_empty() {
                break;
            }
        }
        bytes += "0\r\n\r\n";
        let (mut parts, mut rest) = (Vec::new(), bytes.as_bytes());
        for cut in cuts.iter().cycle() {
            let (one, more) = rest.split_at((*cut).min(rest.len()));
            parts.push(one);
            rest = more;
            if rest.is_empty() {
                break;
            }
        }
        let (mut got, end) = pieces_of(&parts);
        prop_assert_eq!((got.pop(), end), (Some(Piece::Last), Ok(())));
        let mut text = Vec::new();
        for p in got {
            let Piece::Data(d) = p else { panic!("one end") };
            prop_assert!(d.ends_with(b"\n\n"));
            text.extend_from_slice(&d);
        }
        prop_assert_eq!(text, all.into_bytes());
    }
}
