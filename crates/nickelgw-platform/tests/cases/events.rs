//! Events are passed on whole, as they come, whatever the chunks in which an engine writes them.

use crate::common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Reads until the text has come, or the connection ends.
fn until(c: &mut TcpStream, text: &str) -> String {
    let (mut all, mut some) = (String::new(), [0; 4096]);
    while !all.contains(text) {
        match c.read(&mut some) {
            Ok(n) if n > 0 => all.push_str(&String::from_utf8_lossy(&some[..n])),
            _ => break,
        }
    }
    all
}

/// A writer that writes these one after another, each when the test has seen what the last one brought.
fn gated(parts: Vec<String>, gate: Receiver<()>) -> Peer {
    let work = Mutex::new(Some((parts, gate)));
    peer(move |_, _| {
        let Some((parts, gate)) = work.lock().unwrap().take() else { return Then::Answer(stream()) };
        Then::Do(Box::new(move |c| {
            for part in parts {
                c.write_all(part.as_bytes()).unwrap();
                // Its node may have given it up: then nobody opens the gate.
                let _ = gate.recv_timeout(LONG);
            }
        }))
    })
}

const TWO: &str = "data: {\"n\":2}\n\n";

/// A day at close range lost requests so: a third of the engines' first chunks held ten bytes of an event, the
/// connection was reset behind them, and the client had been given half an event and a close.
#[test_case("data: {\"ch"; "half a line")]
#[test_case("data: {\"n\":1}\n"; "all but its end")]
fn a_stream_that_breaks_inside_its_first_event_is_sent_again(half: &str) {
    let bytes = format!("{HEAD}{}", chunk(half)).into_bytes();
    let got = after_a_bad_answer("ea01", move || Then::Break(bytes.clone()));
    assert!(got.contains(&chunk(EVENTS[0])) && got.ends_with("0\r\n\r\n"), "{got}");
}

/// Two events in one chunk, the second much later; one event in a chunk of which no more comes; events in many pieces.
#[test_case(&format!("1e\r\n{}", EVENTS[0]), &format!("{TWO}\r\n"); "two in one chunk")]
#[test_case(&format!("{:x}\r\n{}", EVENTS[0].len(), EVENTS[0]), &format!("\r\n{}", chunk(TWO)); "a chunk without its end")]
#[test_case(&format!("{}{}", chunk("data: {\"n\""), chunk(":1}\n\ndata: ")), &chunk("{\"n\":2}\n\n"); "in pieces")]
fn an_event_is_passed_on_before_more_comes(first: &str, second: &str) {
    let (open, gate) = channel();
    let parts = vec![format!("{HEAD}{first}"), second.to_string(), "0\r\n\r\n".to_string()];
    let (r, w) = (reader(), gated(parts, gate));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.open("ea02", &w);
    let began = Instant::now();
    let got = until(&mut c, EVENTS[0]);
    assert!(got.ends_with(&chunk(EVENTS[0])), "the first alone, and whole: {got}");
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    open.send(()).unwrap();
    assert_eq!(until(&mut c, TWO), chunk(TWO));
    open.send(()).unwrap();
    assert_eq!(until(&mut c, "0\r\n\r\n"), "0\r\n\r\n");
}

/// A size that does not fit is still found before the first event is passed on, when the rest comes at once.
#[test]
fn a_first_chunk_that_does_not_fit_is_a_failed_attempt() {
    let first = format!("{HEAD}40\r\n{}\r\n{}{}", EVENTS[0], chunk(TWO), chunk(&TWO.repeat(9)));
    let got = after_a_bad_answer("ea03", move || Then::Answer(first.clone().into_bytes()));
    assert!(got.contains(&chunk(EVENTS[0])) && got.ends_with("0\r\n\r\n") && !got.contains(TWO), "{got}");
}

/// What no engine made as an event is not passed on, and the connection ends without the last chunk.
#[test]
fn a_chunk_line_inside_the_data_is_not_passed_on() {
    let (open, gate) = channel();
    let more = format!("\r\n{}{}", chunk(TWO), chunk(&TWO.repeat(9)));
    let (r, w) = (reader(), gated(vec![format!("{HEAD}40\r\n{}", EVENTS[0]), more], gate));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.open("ea04", &w);
    assert!(until(&mut c, EVENTS[0]).ends_with(&chunk(EVENTS[0])));
    open.send(()).unwrap();
    let rest = answer(&mut c);
    assert_eq!(rest, "", "nothing more, and a close");
}

/// For 8 s it takes 150 KB a second: what waited for it went out in one write of megabytes that had to be over within 5 s.
#[test]
fn a_client_that_reads_slowly_gets_its_whole_stream() {
    let event = format!("data: {}\n\n", "x".repeat(200_000));
    let bytes = format!("{HEAD}{}0\r\n\r\n", chunk(&event).repeat(45)).into_bytes();
    let (r, w) = (reader(), peer(move |_, _| Then::Answer(bytes.clone())));
    let world = node(&silent(), &[&r], &[&w], None);
    let s = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    s.set_recv_buffer_size(16 * 1024).unwrap();
    s.connect(&world.node.into()).unwrap();
    let mut c: TcpStream = s.into();
    c.set_read_timeout(Some(LONG)).unwrap();
    c.write_all(ask("eb01").as_bytes()).unwrap();
    let (mut all, mut last, mut some) = (0, Vec::new(), vec![0; 50_000]);
    let began = Instant::now();
    loop {
        let n = c.read(&mut some).unwrap_or(0);
        if n == 0 {
            break;
        }
        all += n;
        last = [&last[last.len().saturating_sub(5)..], &some[..n]].concat();
        if last.ends_with(b"0\r\n\r\n") {
            break;
        }
        let at = Duration::from_secs_f64((all as f64 / 150_000.0).min(8.0));
        std::thread::sleep(at.saturating_sub(began.elapsed()));
    }
    assert!(last.ends_with(b"0\r\n\r\n") && all > 9_000_000, "{all} bytes in {:?}", began.elapsed());
}
