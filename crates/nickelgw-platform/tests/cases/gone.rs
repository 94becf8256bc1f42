//! Clients that have gone: nothing begins for them any more, wherever their request stands, and what is held is let go of.

use crate::common::*;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// After a client has gone no attempt begins later than this.
const LATE: Duration = Duration::from_millis(100);

fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// A reader that takes so long for a read, and then answers like this.
fn slow_reader(ms: u64, answer: Vec<u8>) -> Peer {
    peer(move |_, _| {
        wait_ms(ms);
        Then::Answer(answer.clone())
    })
}

fn read() -> Vec<u8> {
    plain("202 Accepted", r#"{"cached_tokens":4}"#)
}

/// How a client goes.
#[derive(Clone, Copy)]
enum How {
    Closes,
    /// It ends its sending alone: on this platform that gives an attempt up, and a client is taken the same way.
    HalfCloses,
    /// Behind requests that it has sent ahead, of so many bytes each.
    ClosesBehind(usize, usize),
}

fn go(world: &World, id: &str, how: How, after_ms: u64) -> Option<std::net::TcpStream> {
    let mut c = world.client();
    c.write_all(ask(id).as_bytes()).unwrap();
    if let How::ClosesBehind(n, bytes) = how {
        for k in 0..n {
            let body = format!(r#"{{"model":"chat","messages":["{}"]}}"#, "x".repeat(bytes));
            let head = ask(&format!("{id}-{k}"));
            let head = head.split("Content-Length").next().unwrap();
            let more = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            c.write_all(more.as_bytes()).unwrap();
        }
    }
    wait_ms(after_ms);
    if matches!(how, How::HalfCloses) {
        c.shutdown(Shutdown::Write).unwrap();
        return Some(c);
    }
    None
}

#[test_case(How::Closes; "closed")]
#[test_case(How::HalfCloses; "half closed")]
#[test_case(How::ClosesBehind(6, 20_000); "closed behind requests sent ahead")]
fn nothing_is_sent_for_one_that_went_while_it_was_queued(how: How) {
    // No reader is known, until a while after the client has gone.
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let all = list(&[&r], &[&w]).to_string();
    let told = Instant::now() + Duration::from_millis(400);
    let discovery = peer(move |asked, _| {
        if asked.contains("since=") {
            return Then::Hold;
        }
        sleep(told.saturating_duration_since(Instant::now()));
        Then::Answer(plain("200 OK", &all))
    });
    let world = node(&discovery, &[], &[&w], None);
    let _stays = go(&world, "ca01", how, 60);
    wait_ms(900);
    assert!(r.seen("POST").is_empty() && w.seen("POST").is_empty());
    // It was the client that kept the reader idle, not the list.
    assert!(world.say(ask("ca02").as_bytes()).starts_with("HTTP/1.1 200"));
}

#[test_case(How::Closes; "closed")]
#[test_case(How::HalfCloses; "half closed")]
#[test_case(How::ClosesBehind(6, 20_000); "closed behind requests sent ahead")]
fn nothing_is_written_for_one_that_went_while_it_was_read(how: How) {
    let (r, w) = (slow_reader(400, read()), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let _stays = go(&world, "ca03", how, 60);
    r.wait("DELETE /internal/reservations/ca03 ");
    wait_ms(600);
    assert!(w.seen("POST").is_empty(), "the read was over 340 ms after the client had gone");
    assert_eq!(r.seen("POST").len(), 1, "nor is what it sent ahead begun");
}

#[test_case(How::Closes; "closed")]
#[test_case(How::ClosesBehind(6, 20_000); "closed behind requests sent ahead")]
fn nothing_is_sent_again_for_one_that_went_before_the_next_try(how: How) {
    // Full: it takes a further send only after a while.
    let full = plain("503 Full\r\nX-Rejected: 1", "");
    let (r, w) = (slow_reader(150, full), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let _stays = go(&world, "ca04", how, 60);
    let gone = r.seen("POST").len();
    wait_ms(LATE.as_millis() as u64);
    let begun = r.seen("POST").len();
    wait_ms(600);
    assert_eq!((gone, begun, r.seen("POST").len()), (1, 1, 1));
}

/// The attempt begins when its bytes go out: a connection that comes up after the client has gone carries none.
#[test_case(How::Closes; "closed")]
#[test_case(How::ClosesBehind(6, 20_000); "closed behind requests sent ahead")]
fn a_connection_that_comes_up_too_late_carries_nothing(how: How) {
    let cut = cut_off();
    let w = peer(|_, _| Then::Answer(stream()));
    let mut r = reader();
    r.address = cut.address;
    let known = list(&[&r], &[&w]);
    let world = node_of(&silent(), known, None, |told| {
        told["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
        told["settings"]["limits"]["most_tries"] = json!(2);
    });
    let _stays = go(&world, "ca05", how, 150);
    let bytes = cut.bytes_when_back(Duration::from_millis(2500));
    assert_eq!(bytes, 0);
    assert!(w.seen("POST").is_empty());
}

/// More than a request's bytes ahead of the answer: what follows would hide whether the client has gone.
#[test]
fn one_that_floods_its_connection_gets_an_error_and_its_send_is_called_off() {
    let (r, w) = (peer(|_, _| Then::Hold), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.open("ca06", &r);
    let junk = vec![b'x'; 64 * 1024];
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2)
        && c.write_all(&junk).is_ok()
        && r.seen("CLOSED").is_empty()
    {}
    r.wait("CLOSED");
    let got = answer(&mut c);
    assert!(got.is_empty() || got.starts_with("HTTP/1.1 413"), "{got}");
    assert!(world.say(b"GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
}

/// Usual clients are answered however much they have sent ahead in reason.
#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let (r, w) = (slow_reader(20, read()), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.client();
    let all: String = (0..5).map(|k| ask(&format!("cb{k}"))).collect();
    c.write_all(all.as_bytes()).unwrap();
    for _ in 0..5 {
        let got = answer(&mut c);
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("0\r\n\r\n"), "{got}");
    }
    let ids: Vec<String> =
        r.seen("POST").iter().map(|p| p.split("X-Call-Id: ").nth(1).unwrap()[..3].into()).collect();
    assert_eq!(ids, ["cb0", "cb1", "cb2", "cb3", "cb4"]);
}
