use super::chunks::{next, Piece};
use super::engine::{answer, cause, comment, report};
use super::list::{News, Roll};
use super::request::{head, Names};
use super::*;
use bytes::{Bytes, BytesMut};
use nickelgw::interface::Role;
use nickelgw_node::core::Cause;
use nickelgw_protocol::load::UNREAD;
use proptest::prelude::*;
use test_case::test_case;

const GOOD: &str = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: 9b1f03aa\r\n\
X-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: 7f3a\r\nX-Budget-Ms: 4800\r\n\
X-Call-Info: prefix=5c0f,prompt_len=12,prefix_len=4,max_out=800\r\nContent-Length: 20\r\n\r\n";

fn names() -> Names {
    Names { routes: vec!["doc".into(), "chat".into()], tenants: vec!["acme".into()] }
}

fn asked(text: &str) -> Result<nickelgw_node::core::Ask, String> {
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

#[test]
fn a_head_without_end_is_refused() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MOST_HEAD));
    assert_eq!(head(long.as_bytes()), Err(Spoilt::Long));
}

fn pieces(bytes: &[u8]) -> Result<Vec<Piece>, Spoilt> {
    let mut buf = BytesMut::from(bytes);
    let mut all = Vec::new();
    while let Some(p) = next(&mut buf, MOST_BODY)? {
        all.push(p);
    }
    Ok(all)
}

#[test]
fn chunks_come_whole() {
    let data = Piece::Data(Bytes::from_static(b"data: 1\n\n"));
    assert_eq!(pieces(b"9\r\ndata: 1\n\n\r\n0\r\n\r\n").unwrap(), [data, Piece::Last]);
    assert_eq!(pieces(b"9\r\ndata: 1\n\n").unwrap(), []);
    assert_eq!(pieces(b"9\r\ndata: 1\n\n\r").unwrap(), []);
}

// Streams that arrive spoilt: found before any of the chunk is passed on.
#[test_case(b"zz\r\nab\r\n", Spoilt::Chunk; "no size")]
#[test_case(b"2\r\nabc\r\n", Spoilt::Chunk; "too small a size")]
#[test_case(b"4\r\nab\r\n4\r\n", Spoilt::Chunk; "too large a size")]
#[test_case(b"c0000000\r\nab", Spoilt::Long; "3 GB")]
#[test_case(b"fffffffffffffffff\r\nab", Spoilt::Chunk; "past all numbers")]
#[test_case(b"0\r\nno trailer\r\n\r\n", Spoilt::Chunk; "bad trailers")]
fn spoilt_chunks_are_found(bytes: &[u8], why: Spoilt) {
    assert_eq!(pieces(bytes), Err(why));
}

#[test_case("202 Accepted", true, Cause::Read; "read")]
#[test_case("202 Accepted", false, Cause::Garbled; "a writer that says read")]
#[test_case("410 Gone\r\nX-Rejected: 1", false, Cause::NoState; "no state")]
#[test_case("503 Full\r\nX-Rejected: 1", true, Cause::TurnedAway; "turned away")]
#[test_case("504 Late\r\nX-Rejected: 1", false, Cause::TurnedAway; "too late")]
#[test_case("503 Full", false, Cause::Failed(503); "a bare 503 proves nothing")]
#[test_case("500 Error", true, Cause::Failed(500); "error")]
fn answers_mean(head: &str, read: bool, wanted: Cause) {
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
    assert_eq!((r.mem_utilization, r.named(UNREAD)), (Some(0.4), Some(2500.0)));
    for bad in ["x0=NaN", "x0", "x0=-1", "x0=1e99", "\u{0}"] {
        assert!(report(bad).is_none(), "{bad}");
    }
    assert_eq!(comment(b"data: [DONE]\n\n: X-Load-Report: x0=0.4,x1=2.5\n\n"), Some(r));
    assert_eq!(comment(b"data: {\"a\": \": X-Load-Report: x0=1\"}\n\n"), None);
}

#[test]
fn the_list_is_told_whole_or_by_its_changes() {
    let kinds = vec![("m1".to_string(), Role::Read, 9.0), ("m2".to_string(), Role::Write, 9.0)];
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
    assert_eq!(told, [("bb", nickelgw_protocol::list::State::Draining, None)]);
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
        let mut buf = BytesMut::from(&bytes[..cut]);
        let mut all = Vec::new();
        while let Some(p) = next(&mut buf, MOST_BODY).unwrap() { all.push(p); }
        buf.extend_from_slice(&bytes[cut..]);
        while let Some(p) = next(&mut buf, MOST_BODY).unwrap() { all.push(p); }
        prop_assert_eq!(all, [Piece::Data(Bytes::from(data)), Piece::Last]);
    }
}
