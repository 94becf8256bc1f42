//! Bytes in the very moment of a close, and peers that are slow, endless or too many.

use crate::common::*;
use std::io::{ErrorKind, Read, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Up to the end of the connection: what came, and whether it ended in order rather than by a reset.
fn to_the_end(c: &mut std::net::TcpStream) -> (String, bool) {
    let (mut all, mut some) = (String::new(), [0; 4096]);
    loop {
        match c.read(&mut some) {
            Ok(0) => return (all, true),
            Ok(n) => all.push_str(&String::from_utf8_lossy(&some[..n])),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return (all, false),
        }
    }
}

/// Closed over unread bytes a connection is reset, and the answer is lost with it.
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", "HTTP/1.1 413"; "too long")]
#[test_case("nonsense\r\n\r\n", "HTTP/1.1 400"; "unreadable")]
fn a_last_answer_is_not_reset_away(head: &str, wanted: &str) {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.client();
    // More comes behind it than the node reads before it answers.
    let all = [head.as_bytes(), &[b'x'; 100_000]].concat();
    c.write_all(&all).unwrap();
    sleep(Duration::from_millis(200));
    let (got, in_order) = to_the_end(&mut c);
    assert!(got.starts_with(wanted) && got.ends_with('}') && in_order, "{in_order} {got}");
}

/// A request on a resting connection at the very moment of a shutdown is answered, or was never sent on.
#[test]
fn a_request_in_the_moment_of_a_shutdown_is_answered_or_never_sent_on() {
    for k in 0..12 {
        let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
        let world = node(&silent(), &[&r], &[&w], None);
        let mut rest = world.client();
        rest.write_all(ask("da01").as_bytes()).unwrap();
        assert!(answer(&mut rest).ends_with("0\r\n\r\n"));
        world.signals.request_shutdown();
        // Resting connections are closed half a second after the order.
        sleep(Duration::from_micros(497_000 + 1_000 * k));
        let sent = rest.write_all(ask("da02").as_bytes()).is_ok();
        let (got, _) = to_the_end(&mut rest);
        // What were read after the close would be sent on a little later.
        sleep(Duration::from_millis(100));
        let ran = r.seen("POST").iter().any(|p| p.contains("X-Call-Id: da02"));
        assert!(!ran || got.ends_with("0\r\n\r\n"), "sent {sent}, and it got {got:?}");
    }
}

/// The table is full, and a request arrives slowly: those that rest make room, never this one.
#[test]
fn a_request_that_is_arriving_is_not_closed_to_make_room() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut slow = world.client();
    let bytes = ask("da03").into_bytes();
    slow.write_all(&bytes[..1]).unwrap();
    let crowd: Vec<_> = (0..200).map(|_| world.client()).collect();
    for part in bytes[1..].chunks(bytes.len() / 12 + 1) {
        slow.write_all(part).unwrap();
        sleep(Duration::from_millis(120));
    }
    let got = answer(&mut slow);
    assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("0\r\n\r\n"), "{got}");
    drop(crowd);
}

#[test_case(b"HTTP/1.1 20".to_vec(); "half a line")]
#[test_case(format!("{HEAD}4").into_bytes(); "half a chunk's size")]
#[test_case(format!("{HEAD}40\r\ndata: {{\"n\"").into_bytes(); "half an event")]
fn an_answer_that_breaks_off_before_its_first_event_is_sent_again(bytes: Vec<u8>) {
    let got = after_a_bad_answer("da04", move || Then::Break(bytes.clone()));
    assert!(got.contains(&chunk(EVENTS[0])) && got.ends_with("0\r\n\r\n"), "{got}");
}

/// What never ends costs its connection alone: bounded in bytes or by the send's time, and another engine serves.
#[test_case("HTTP/1.1 200 OK\r\nx-more: ", "and more "; "a head")]
#[test_case("", "HTTP/1.1 102 Processing\r\n\r\n"; "interim answers")]
#[test_case("HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nmore\r\n"; "an error")]
#[test_case(HEAD, "1"; "a chunk's size")]
fn an_answer_that_never_ends_costs_its_connection_alone(first: &'static str, more: &'static str) {
    let w = peer(move |_, n| match n {
        1 => Then::Endless(first, more),
        _ => Then::Answer(stream()),
    });
    let r = reader();
    let world = node(&silent(), &[&r], &[&w], None);
    let began = Instant::now();
    let got = world.say(ask("da05").as_bytes());
    assert!(got.contains(&chunk(EVENTS[0])) && got.ends_with("0\r\n\r\n"), "{got}");
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// A client that takes an answer slowly gets all of it, in order; one that sends slowly gets an error in time.
#[test]
fn very_slow_clients_are_served_or_refused_in_time() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.client();
    c.write_all(ask("da06").as_bytes()).unwrap();
    let (mut got, mut one) = (String::new(), [0; 16]);
    while !got.ends_with("0\r\n\r\n") {
        let n = c.read(&mut one).unwrap();
        assert!(n > 0, "{got}");
        got.push_str(&String::from_utf8_lossy(&one[..n]));
        sleep(Duration::from_millis(10));
    }
    let mut c = world.client();
    let began = Instant::now();
    while began.elapsed() < LONG && c.write_all(b"x").is_ok() {
        sleep(Duration::from_millis(100));
        c.set_nonblocking(true).unwrap();
        let there = c.peek(&mut [0]);
        c.set_nonblocking(false).unwrap();
        if there.is_ok() {
            break;
        }
    }
    assert!(began.elapsed() < Duration::from_secs(3));
    assert!(answer(&mut c).starts_with("HTTP/1.1 408"));
}

/// A flood over many connections: all get an error, an answer or a close, and the node goes on.
#[test]
fn a_flood_over_many_connections_is_answered_and_passes() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let crowd: Vec<_> = (0..120)
        .map(|n| {
            let mut c = world.client();
            c.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
            std::thread::spawn(move || {
                let head = ask(&format!("db{n}")).replace("Content-Length: ", "Content-Length: 26");
                let _ = c.write_all(head.as_bytes());
                let _ = c.write_all(&vec![b'x'; 200_000]);
                // Fewer bytes than were announced, or more: it ends either way.
                let (got, _) = to_the_end(&mut c);
                got
            })
        })
        .collect();
    let began = Instant::now();
    for c in crowd {
        let got = c.join().unwrap();
        assert!(got.is_empty() || got.starts_with("HTTP/1.1 4") || got.starts_with("HTTP/1.1 5"), "{got}");
    }
    assert!(began.elapsed() < Duration::from_secs(4));
    assert!(world.say(ask("db").as_bytes()).ends_with("0\r\n\r\n"));
}
