//! Streams of the `platform` command as a process: engines end them in every form in which a stream can fall short.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
mod processes;

use common::*;
use processes::{connect, exchange, start_node, Node};
use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time after an engine's last event by which the client of a broken stream must not be left waiting.
const CLOSE_WITHIN: Duration = Duration::from_secs(5);
/// Time between two parts of a stream that is written in parts.
const PART_DELAY: Duration = Duration::from_millis(30);

const FIRST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const FINISH: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"wxyz\"},\"finish_reason\":\"stop\"}]}\n\n";
const USAGE: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
const DONE: &str = "data: [DONE]\n\n";
const REPORT: &str = ": X-Load-Report: x0=0.1,x1=0\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns these events, each as a chunk.
fn chunks(events: &[&str]) -> Vec<String> {
    events.iter().map(|event| chunk(event)).collect()
}

fn whole_stream() -> Vec<String> {
    let mut parts = chunks(&[FIRST, FINISH, USAGE, DONE, REPORT]);
    parts.push(LAST_CHUNK.into());
    parts
}

/// How the engine's part of a connection ends after what it wrote.
#[derive(Clone, Copy, PartialEq)]
enum Ending {
    StaysOpen,
    Closes,
    Resets,
}

/// A form in which a stream falls short.
#[derive(Clone)]
struct ShortStream {
    head: &'static str,
    parts: Vec<String>,
    ending: Ending,
}

/// A stream of these parts, which ends with the last chunk.
fn ended(parts: Vec<String>) -> ShortStream {
    let parts = [parts, vec![LAST_CHUNK.to_string()]].concat();
    ShortStream { head: STREAM_HEAD, parts, ending: Ending::StaysOpen }
}

fn broken(parts: Vec<String>, ending: Ending) -> ShortStream {
    ShortStream { head: STREAM_HEAD, parts, ending }
}

fn write_stream(connection: &mut TcpStream, stream: &ShortStream, apart: bool) {
    let all: Vec<&str> = [stream.head].into_iter().chain(stream.parts.iter().map(String::as_str)).collect();
    connection.set_nodelay(true).unwrap();
    if apart {
        for part in all {
            let _ = connection.write_all(part.as_bytes());
            sleep(PART_DELAY);
        }
    } else {
        let _ = connection.write_all(all.concat().as_bytes());
    }
    match stream.ending {
        Ending::StaysOpen => {}
        Ending::Closes => drop(connection.shutdown(std::net::Shutdown::Both)),
        Ending::Resets => {
            let _ = socket2::SockRef::from(&*connection).set_linger(Some(Duration::ZERO));
            // The connection's thread ends and drops it, which resets it.
            let _ = connection.shutdown(std::net::Shutdown::Read);
        }
    }
}

/// Starts a decode engine whose streams fall short for requests whose id begins with `short`.
fn decode_engine(short: ShortStream, apart: bool) -> Peer {
    peer(move |request, _| {
        if !request.contains("X-Call-Id: short") {
            return PeerAction::Respond(
                [vec![STREAM_HEAD.to_string()], whole_stream()].concat().concat().into(),
            );
        }
        let short = short.clone();
        PeerAction::UseConnection(Box::new(move |connection| write_stream(connection, &short, apart)))
    })
}

fn start(address_byte: u8, prefill: &Peer, decode: &Peer) -> Node {
    let node = start_node(address_byte, &silent_discovery(), endpoint_list(&[prefill], &[decode]), 256, 256);
    node.wait_until_ready();
    node
}

/// Returns whether a client takes this response for a whole answer.
fn is_ended_as_whole(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200") && response.ends_with(LAST_CHUNK)
}

/// Regression test: a stream that was not whole was ended with the last chunk, as if it were.
#[test_case(1, ended(chunks(&[FIRST])); "no final event")]
#[test_case(2, ended(chunks(&[FIRST, FIRST, FIRST])); "no final event after several")]
#[test_case(3, ended(chunks(&[FIRST, FINISH])); "no usage and no done event")]
#[test_case(4, ended(chunks(&[FIRST, FINISH, USAGE])); "no done event")]
#[test_case(5, ended(chunks(&[FIRST, FIRST, DONE])); "no finish reason")]
#[test_case(6, ended(chunks(&[FIRST, &FINISH[..20]])); "inside an event")]
#[test_case(7, ended(chunks(&[FIRST, FINISH, USAGE, "data: [DO"])); "inside the done event")]
#[test_case(8, ended(chunks(&[FIRST, "data: \"[DONE]\"\n\n"])); "done event as a text")]
#[test_case(9, ended(vec![chunk(FIRST), format!("0\r\n{FINISH}\r\n"), chunk(USAGE), chunk(DONE)]); "a chunk stated as empty")]
#[test_case(10, ended(vec![chunk(FIRST), "0\r\nx: y\r\n\r\n".into()]); "trailers")]
#[test_case(11, ended(chunks(&[FIRST, REPORT])); "load report without a final event")]
#[test_case(12, ended(chunks(&[REPORT])); "load report alone")]
#[test_case(13, ended(vec![]); "no event")]
#[test_case(14, broken(chunks(&[FIRST]), Ending::Closes); "close")]
#[test_case(15, broken(chunks(&[FIRST, FINISH, USAGE, DONE]), Ending::Closes); "close before the last chunk")]
#[test_case(16, broken(vec![chunk(FIRST), "0\r\n".into()], Ending::Closes); "close inside the last chunk")]
#[test_case(17, broken(chunks(&[FIRST]), Ending::Resets); "reset")]
#[test_case(18, broken(chunks(&[FIRST]), Ending::StaysOpen); "silence")]
#[test_case(19, ShortStream { head: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n", parts: vec![FIRST.into()], ending: Ending::Closes }; "ended by its connection")]
#[test_case(20, ShortStream { head: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 87\r\n\r\n", parts: vec![FIRST.into()], ending: Ending::StaysOpen }; "ended by its length")]
#[test_case(21, ShortStream { head: "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n", parts: vec!["{}".into()], ending: Ending::StaysOpen }; "no stream")]
fn stream_that_falls_short_is_not_ended_as_whole(address_byte: u8, short: ShortStream) {
    for apart in [false, true] {
        let (prefill, decode) = (prefill_engine(), decode_engine(short.clone(), apart));
        let node = start(address_byte, &prefill, &decode);
        let mut client = connect(node.address);
        let sent_at = Instant::now();
        client.write_all(chat_request("short1").as_bytes()).unwrap();
        // Usual clients are served meanwhile.
        let usual = exchange(node.address, chat_request("usual1").as_bytes());
        assert!(is_ended_as_whole(&usual), "{usual}");
        let response = read_response(&mut client);
        let took = sent_at.elapsed();
        assert!(!is_ended_as_whole(&response), "in parts: {apart}: {response}");
        assert!(
            took < CLOSE_WITHIN,
            "in parts: {apart}: the client was left waiting for {took:?}: {response}"
        );
        // What the engine wrote afterwards is nobody's answer.
        let usual = exchange(node.address, chat_request("usual2").as_bytes());
        assert!(is_ended_as_whole(&usual), "{usual}");
    }
}

/// The same while the node shuts down: its clients' streams are forwarded until they end.
#[test]
fn stream_that_falls_short_during_a_shutdown_is_not_ended_as_whole() {
    let (prefill, decode) = (prefill_engine(), decode_engine(ended(chunks(&[FIRST, FIRST, FIRST])), true));
    let node = start(30, &prefill, &decode);
    let mut client = connect(node.address);
    client.write_all(chat_request("short1").as_bytes()).unwrap();
    decode.wait_for("POST");
    kill_process(Pid::from_child(&node.child), Signal::TERM).unwrap();
    let response = read_response(&mut client);
    assert!(!is_ended_as_whole(&response), "{response}");
}

/// Forms of a whole stream that engines may write; none of them is taken for one that falls short.
#[test_case(31, whole_stream(); "an event a chunk")]
#[test_case(32, vec![chunk(&[FIRST, FINISH, USAGE, DONE, REPORT].concat()), LAST_CHUNK.into()]; "one chunk")]
#[test_case(33, vec![chunk(&[FIRST, FINISH, USAGE, DONE].concat()), chunk(REPORT.trim_end()), LAST_CHUNK.into()]; "report without an empty line")]
#[test_case(34, vec![chunk(&[FIRST, FINISH, USAGE, DONE].concat().replace('\n', "\r\n")), LAST_CHUNK.into()]; "lines that end with a carriage return")]
#[test_case(35, vec![chunk(&[FIRST, FINISH, USAGE, REPORT, DONE].concat()), "0\r\nx: y\r\n\r\n".into()]; "trailers and an early report")]
#[test_case(36, vec![chunk(&FIRST[..30]), chunk(&FIRST[30..]), chunk(&[FINISH, USAGE, "data: [DO"].concat()), chunk("NE]\n\n"), LAST_CHUNK.into()]; "events across chunks")]
#[test_case(37, vec![chunk(FIRST), chunk(&FINISH.replace("\"finish_reason\":\"stop\"", "\"finish_reason\" : \"length\"")), chunk("data:[DONE]\n\n"), LAST_CHUNK.into()]; "other spaces and no usage")]
#[test_case(38, vec![chunk(EVENTS[0]), chunk(EVENTS[1]), LAST_CHUNK.into()]; "events without choices")]
fn whole_stream_is_ended_as_whole(address_byte: u8, parts: Vec<String>) {
    for apart in [false, true] {
        let form = ShortStream { head: STREAM_HEAD, parts: parts.clone(), ending: Ending::StaysOpen };
        let (prefill, decode) = (prefill_engine(), decode_engine(form, apart));
        let node = start(address_byte, &prefill, &decode);
        let response = exchange(node.address, chat_request("short1").as_bytes());
        assert!(is_ended_as_whole(&response), "in parts: {apart}: {response}");
    }
}
