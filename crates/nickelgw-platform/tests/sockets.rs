//! The platform's protocol on sockets, each hard case caused by a peer that does it.

#[path = "cases/close.rs"]
mod close;
mod common;
#[path = "cases/cut.rs"]
mod cut;
#[path = "cases/events.rs"]
mod events;
#[path = "cases/gone.rs"]
mod gone;
#[path = "cases/idle.rs"]
mod idle;
#[path = "cases/shutdown.rs"]
mod shutdown;
#[path = "cases/told.rs"]
mod told;

use common::*;
use std::io::{Read, Write};
use test_case::test_case;

#[test]
fn a_request_is_read_then_written_and_its_stream_passed_on_unchanged() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let got = world.say(ask("aa01").as_bytes());
    let body = got.split_once("\r\n\r\n").unwrap().1;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    assert_eq!(body, format!("{}{}0\r\n\r\n", chunk(EVENTS[0]), chunk(EVENTS[1])));
    for p in [&r, &w] {
        let sent = p.seen("POST /v1/chat/completions?v=2 HTTP/1.1\r\n").remove(0);
        assert!(sent.contains("X-Call-Id: aa01\r\n") && sent.contains("x-budget-ms: "), "{sent}");
        assert_eq!(sent.split_once("\r\n\r\n").unwrap().1, ask("").split_once("\r\n\r\n").unwrap().1);
    }
    assert!(r.seen("DELETE").is_empty(), "with the first token engines let go by themselves");
}

#[test_case("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"; "a head that cannot be read")]
#[test_case("\u{1}\u{2}noise\r\n"; "noise")]
#[test_case(&format!("{HEAD}zz\r\nab"); "a chunk without a size")]
#[test_case(&format!("{HEAD}c0000000\r\nab"); "a chunk of 3 GB")]
#[test_case(&format!("{HEAD}2\r\ndata: 1\n\n\r\n"); "a chunk that does not fit")]
fn a_stream_spoilt_before_its_first_event_is_sent_again(bytes: &str) {
    let bytes = bytes.as_bytes().to_vec();
    let got = after_a_bad_answer("aa02", move || Then::Answer(bytes.clone()));
    assert!(got.contains(&chunk(EVENTS[0])) && got.ends_with("0\r\n\r\n"), "{got}");
}

#[test]
fn what_belongs_to_no_stream_is_passed_over() {
    let w = peer(|_, _| {
        let mut bytes = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".to_vec();
        bytes.extend(stream());
        bytes.extend(plain("200 OK", "a second answer"));
        Then::Answer(bytes)
    });
    let r = reader();
    let world = node(&silent(), &[&r], &[&w], None);
    for id in ["aa03", "aa04"] {
        let got = world.say(ask(id).as_bytes());
        assert!(got.ends_with("0\r\n\r\n") && !got.contains("second"), "{got}");
    }
}

#[test_case(""; "cut")]
#[test_case("zz\r\nab\r\n"; "spoilt")]
fn a_stream_that_breaks_ends_the_connection_without_the_last_chunk(then: &str) {
    let bytes = format!("{HEAD}{}{then}", chunk(EVENTS[0])).into_bytes();
    let w = peer(move |_, _| Then::Break(bytes.clone()));
    let r = reader();
    let world = node(&silent(), &[&r], &[&w], None);
    let got = world.say(ask("aa05").as_bytes());
    assert!(got.ends_with(&chunk(EVENTS[0])), "{got}");
    assert_eq!(w.seen("POST").len(), 1, "nothing more is sent for it");
}

#[test]
fn a_client_that_leaves_is_called_off_and_its_state_let_go() {
    let (r, w) = (reader(), peer(|_, _| Then::Hold));
    let world = node(&silent(), &[&r], &[&w], None);
    let c = world.open("aa06", &w);
    drop(c);
    w.wait("CLOSED");
    assert!(r.wait("DELETE").starts_with("DELETE /internal/reservations/aa06 HTTP/1.1\r\n"));
}

#[test]
fn a_reader_that_cannot_be_reached_has_its_state_let_go_by_another_engine() {
    // It answers one read, and from then on takes no connection.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut r = reader();
    r.address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut c = listener.accept().unwrap().0;
        let _ = c.read(&mut [0; 4096]);
        drop(listener);
        let _ = c.write_all(&plain("202 Accepted\r\nconnection: close", "{}"));
    });
    let w = peer(|_, _| Then::Hold);
    let world = node(&silent(), &[&r], &[&w], None);
    let c = world.open("aa07", &w);
    drop(c);
    assert!(w.wait("DELETE").contains("/aa07 "));
}

#[test]
fn what_cannot_be_served_is_shed_at_once_and_the_connection_stays() {
    let r = peer(|_, _| Then::Answer(plain("500 Error", "")));
    let w = peer(|_, _| Then::Answer(stream()));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.client();
    for id in ["aa08", "aa09"] {
        c.write_all(ask(id).as_bytes()).unwrap();
        let got = answer(&mut c);
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert!(!got.contains("retry-after"), "only where the settings allow it");
    }
    assert!(w.seen("POST").is_empty());
}

#[test_case("GET / HTTP/1.1\r\n\r\n"; "no such call")]
#[test_case("nonsense\r\n\r\n"; "no request")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\nxx"; "60 MB")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\nxx"; "a negative length")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\n\r\nxx"; "half a body")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nX: "; "half a head")]
#[test_case(""; "nothing")]
fn rude_clients_get_an_error_or_a_close_in_time(bytes: &str) {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let began = std::time::Instant::now();
    let got = world.say(bytes.as_bytes());
    assert!(got.is_empty() || got.starts_with("HTTP/1.1 4"), "{got}");
    assert!(began.elapsed().as_secs_f64() < 2.9);
    assert!(r.seen("POST").is_empty());
}

#[test]
fn a_request_that_hides_another_is_not_passed_on() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let both = ask("aa10").replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length");
    assert!(world.say(both.as_bytes()).starts_with("HTTP/1.1 400"));
    assert!(r.seen("POST").is_empty());
}

#[test]
fn the_id_of_an_open_request_is_refused() {
    let (r, w) = (reader(), peer(|_, _| Then::Hold));
    let world = node(&silent(), &[&r], &[&w], None);
    let _open = world.open("aa11", &w);
    assert!(world.say(ask("aa11").as_bytes()).starts_with("HTTP/1.1 409"));
}

#[test]
fn a_new_configuration_moves_discovery_and_the_new_list_counts() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let told = list(&[&r], &[&w]).to_string();
    let other = peer(move |head, _| match head.starts_with("GET /v1/servers HTTP") {
        true => Then::Answer(plain("200 OK", &told)),
        false => Then::Hold,
    });
    let path = std::env::temp_dir().join(format!("nickelgw-platform-{}.json", std::process::id()));
    let first = silent();
    let world = node(&first, &[], &[], Some(path.clone()));
    first.wait("GET /v1/servers");
    assert!(world.say(ask("aa12").as_bytes()).starts_with("HTTP/1.1 503"), "no engine is known yet");
    std::fs::write(&path, config("x", &other.address.to_string(), serde_json::Value::Null).to_string())
        .unwrap();
    world.signals.request_reload();
    other.wait("GET /v1/servers?since=3&timeout_ms=");
    let got = world.say(ask("aa13").as_bytes());
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_node_that_is_told_to_go_serves_what_is_open_and_ends() {
    let (go, gone) = async_channel::bounded::<()>(1);
    let (r, w) = (
        reader(),
        peer(move |_, _| {
            let _ = gone.recv_blocking();
            Then::Answer(stream())
        }),
    );
    let world = node(&silent(), &[&r], &[&w], None);
    let mut c = world.open("aa14", &w);
    world.signals.request_shutdown();
    // New connections still come for a while.
    let ready = b"GET /healthz HTTP/1.1\r\n\r\n";
    assert!(world.say(ready).starts_with("HTTP/1.1 "));
    go.send_blocking(()).unwrap();
    let got = answer(&mut c);
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    let until = std::time::Instant::now() + LONG;
    while !world.ended.is_finished() {
        assert!(std::time::Instant::now() < until, "it does not end");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// On the day of bad clients new connections were closed unserved while silent ones filled the table.
#[test]
fn silent_connections_make_room_for_one_that_asks() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    // More than the part of 256 descriptors that is for clients.
    let crowd: Vec<_> = (0..200).map(|_| world.client()).collect();
    let got = world.say(ask("aa15").as_bytes());
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    drop(crowd);
}

/// Incident rd36976: hundreds of connections that asked whether the node is ready, and stayed, kept usual clients out.
#[test]
fn a_connection_that_asked_for_readiness_takes_no_place() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let world = node(&silent(), &[&r], &[&w], None);
    let mut stay = Vec::new();
    for _ in 0..200 {
        let mut c = world.client();
        c.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        assert!(answer(&mut c).starts_with("HTTP/1.1 200"));
        stay.push(c);
    }
    let began = std::time::Instant::now();
    let got = world.say(ask("aa16").as_bytes());
    assert!(got.ends_with("0\r\n\r\n") && began.elapsed().as_secs_f64() < 1.5, "{got}");
    assert_eq!(stay[0].read(&mut [0; 8]).unwrap(), 0, "closed with its answer");
}

/// A list longer than any request was refused, and the node kept to the engines of its start.
#[test_case(false; "in one length")]
#[test_case(true; "in one chunk")]
fn a_fleet_of_over_a_thousand_engines_is_heard(chunked: bool) {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let (readers, writers) = (vec![&r; 800], vec![&w; 800]);
    let mut all = list(&readers, &writers);
    for (n, i) in all["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
        i["instanceId"] = format!("{n}-{}", "long".repeat(50)).into();
    }
    let all = all.to_string();
    assert!(all.len() > 256 * 1024);
    let discovery = peer(move |asked, _| match asked.contains("since=") {
        true => Then::Hold,
        false if chunked => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            Then::Answer(format!("{head}{}0\r\n\r\n", chunk(&all)).into_bytes())
        }
        false => Then::Answer(plain("200 OK", &all)),
    });
    let world = node(&discovery, &[], &[], None);
    let served = (0..40).any(|n| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        world.say(ask(&format!("ab{n:02}")).as_bytes()).starts_with("HTTP/1.1 200")
    });
    assert!(served);
}
