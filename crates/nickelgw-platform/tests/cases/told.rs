//! When a change of the list is told: whatever call failed before, it counts as told 6 s after discovery had it and could
//! be reached, and the node keeps a second of that for itself.

use crate::common::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const WITHIN_S: f64 = 5.0;

/// What an agent has, and how it answers.
struct Agent {
    generation: u64,
    instances: Value,
    /// Calls for the list, and watches, to leave unanswered from now on.
    lists_silent: usize,
    watches_silent: usize,
    /// Lists to break off in the middle.
    broken: usize,
}

type Shared = Arc<Mutex<Agent>>;

fn agent(instances: Value) -> Shared {
    let all = Agent { generation: 3, instances, lists_silent: 0, watches_silent: 0, broken: 0 };
    Arc::new(Mutex::new(all))
}

fn count_down(n: &mut usize) -> bool {
    let some = *n > 0;
    *n = n.saturating_sub(1);
    some
}

fn says(shared: &Shared, asked: &str) -> Then {
    let field = |name: &str| {
        let (_, rest) = asked.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    let began = Instant::now();
    if let Some(since) = field("since=") {
        let waits = Duration::from_millis(field("timeout_ms=").unwrap());
        while began.elapsed() < waits && shared.lock().unwrap().generation == since {
            sleep(Duration::from_millis(5));
            if shared.lock().unwrap().watches_silent > 0 {
                break;
            }
        }
    }
    let mut a = shared.lock().unwrap();
    let watch = asked.contains("since=");
    if count_down(if watch { &mut a.watches_silent } else { &mut a.lists_silent }) {
        return Then::Hold;
    }
    let all = json!({"generation": a.generation, "reset": true, "instances": a.instances}).to_string();
    let whole = plain("200 OK", &all);
    match !watch && count_down(&mut a.broken) {
        true => Then::Break(whole[..whole.len() / 2].to_vec()),
        false => Then::Answer(whole),
    }
}

fn discovery(shared: &Shared) -> Peer {
    let shared = shared.clone();
    peer(move |asked, _| says(&shared, asked))
}

/// Two readers, the first drains; before and after.
struct Drain {
    first: Peer,
    second: Peer,
    before: Value,
    after: Value,
}

fn drain() -> Drain {
    let (first, second) = (reader(), reader());
    let w = peer(|_, _| Then::Answer(stream()));
    let before = list(&[&first], &[&w])["instances"].clone();
    let mut after = list(&[&first, &second], &[&w])["instances"].clone();
    after[0]["lifecycle"] = "draining".into();
    Drain { first, second, before, after }
}

impl Drain {
    fn world(&self, discovery: &Peer, path: Option<std::path::PathBuf>) -> World {
        self.world_within(discovery, path, 1.0)
    }

    /// Where nothing new may be sent so long after a drain was told.
    fn world_within(&self, discovery: &Peer, path: Option<std::path::PathBuf>, s: f64) -> World {
        let known = json!({"generation": 3, "reset": true, "instances": self.before});
        node_of(discovery, known, path, |told| told["settings"]["rules"]["stop_sending_within_s"] = s.into())
    }

    /// From now on discovery has the change and can be reached: seconds until the node keeps to it.
    fn told_in_s(&self, world: &World) -> f64 {
        let began = Instant::now();
        let mut n = 0;
        while self.second.seen("POST").is_empty() {
            assert!(began.elapsed() < LONG, "never told");
            world.say(ask(&format!("{:08x}", began.elapsed().as_micros())).as_bytes());
            sleep(Duration::from_millis(20));
        }
        let took = began.elapsed().as_secs_f64();
        let before = self.first.seen("POST").len();
        while n < 5 {
            world.say(ask(&format!("b{n}")).as_bytes());
            n += 1;
        }
        assert_eq!(self.first.seen("POST").len(), before, "it drains");
        took
    }
}

fn changed(shared: &Shared, d: &Drain) {
    let mut a = shared.lock().unwrap();
    a.generation += 1;
    a.instances = d.after.clone();
}

/// A watch falls silent just as it has begun, and the next call for the list is not answered either: with 4 s asked for
/// and 1 s for each answer the node came to it after more than 6 s.
#[test]
fn a_change_that_a_silent_watch_misses_is_told_in_time() {
    let d = drain();
    let shared = agent(d.before.clone());
    let p = discovery(&shared);
    let world = d.world(&p, None);
    p.wait("GET /v1/servers?since=");
    {
        let mut a = shared.lock().unwrap();
        (a.watches_silent, a.lists_silent) = (1, 1);
    }
    sleep(Duration::from_millis(30));
    changed(&shared, &d);
    assert!(d.told_in_s(&world) < WITHIN_S);
}

/// An address where nobody listens yet.
fn refusing() -> (Socket, SocketAddr) {
    let s = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    s.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let at = s.local_addr().unwrap().as_socket().unwrap();
    (s, at)
}

/// Gaps after refusals are bounded, however many there were.
#[test]
fn a_change_is_told_at_once_after_20_s_of_refusals() {
    let d = drain();
    let (s, address) = refusing();
    let mut nowhere = silent();
    nowhere.address = address;
    let world = d.world(&nowhere, None);
    sleep(Duration::from_secs(20));
    let shared = agent(d.after.clone());
    s.listen(64).unwrap();
    let listener: TcpListener = s.into();
    let up = peer_at(listener, move |asked, _| says(&shared, asked));
    assert!(d.told_in_s(&world) < 1.0);
    assert!(!up.seen("GET").is_empty());
}

/// The agent takes connections and answers nothing; a call that it took before its return is never answered.
#[test]
fn a_change_is_told_in_time_after_calls_that_are_never_answered() {
    let d = drain();
    let shared = agent(d.before.clone());
    shared.lock().unwrap().lists_silent = usize::MAX;
    let world = d.world(&discovery(&shared), None);
    sleep(Duration::from_secs(3));
    changed(&shared, &d);
    shared.lock().unwrap().lists_silent = 0;
    assert!(d.told_in_s(&world) < 2.0);
}

#[test]
fn a_change_is_told_in_time_after_a_list_that_broke_off() {
    let d = drain();
    let shared = agent(d.before.clone());
    shared.lock().unwrap().broken = 3;
    let world = d.world(&discovery(&shared), None);
    sleep(Duration::from_millis(100));
    changed(&shared, &d);
    assert!(d.told_in_s(&world) < 2.0);
}

/// What a new address has counts 4 s after SIGHUP, also where the old one is silent.
#[test]
fn an_address_that_moves_during_an_outage_is_asked_at_once() {
    let d = drain();
    let old = agent(d.before.clone());
    old.lock().unwrap().lists_silent = usize::MAX;
    let path = std::env::temp_dir().join(format!("nickelgw-told-{}.json", std::process::id()));
    let world = d.world(&discovery(&old), Some(path.clone()));
    sleep(Duration::from_millis(700));
    let new = discovery(&agent(d.after.clone()));
    std::fs::write(&path, config("x", &new.address.to_string(), Value::Null).to_string()).unwrap();
    world.signals.request_reload();
    let took = d.told_in_s(&world);
    std::fs::remove_file(path).unwrap();
    assert!(took < 1.0);
}

/// The first list after an outage is followed by a watch at once: a drain right after it is heard.
#[test]
fn a_drain_in_the_second_after_the_return_is_told() {
    let d = drain();
    let shared = agent(d.before.clone());
    shared.lock().unwrap().lists_silent = usize::MAX;
    let p = discovery(&shared);
    let world = d.world(&p, None);
    sleep(Duration::from_secs(1));
    shared.lock().unwrap().lists_silent = 0;
    p.wait("GET /v1/servers?since=");
    sleep(Duration::from_millis(300));
    changed(&shared, &d);
    assert!(d.told_in_s(&world) < 1.0);
}

/// Another deployment's fleet days: nothing new may be sent 0.25 s after the return told of a drain, and a call under way
/// then was waited for until its second was over: 24 sends came too late.
#[test]
fn at_the_return_a_drain_is_told_well_within_the_time_to_stop() {
    let d = drain();
    let shared = agent(d.before.clone());
    shared.lock().unwrap().lists_silent = usize::MAX;
    let world = d.world_within(&discovery(&shared), None, 0.25);
    sleep(Duration::from_millis(1510));
    changed(&shared, &d);
    shared.lock().unwrap().lists_silent = 0;
    assert!(d.told_in_s(&world) < 0.25);
}

/// A connection to an engine came up after the drain was told: what was ordered before goes elsewhere.
#[test]
fn nothing_goes_out_on_a_connection_that_comes_up_after_the_drain_was_told() {
    let (cut, second) = (cut_off(), reader());
    let w = peer(|_, _| Then::Answer(stream()));
    let mut first = reader();
    first.address = cut.address;
    let before = list(&[&first], &[&w])["instances"].clone();
    let mut after = list(&[&first, &second], &[&w])["instances"].clone();
    after[0]["lifecycle"] = "draining".into();
    let shared = agent(before.clone());
    let known = json!({"generation": 3, "reset": true, "instances": before});
    let world = node_of(&discovery(&shared), known, None, |told| {
        told["settings"]["limits"]["connect_timeout_s"] = json!(3.5);
    });
    let mut c = world.client();
    c.write_all(ask("fa01").as_bytes()).unwrap();
    sleep(Duration::from_millis(100));
    shared.lock().unwrap().instances = after;
    shared.lock().unwrap().generation += 1;
    sleep(Duration::from_millis(600));
    let bytes = cut.bytes_when_back(Duration::from_millis(2500));
    assert_eq!(bytes, 0, "it drains");
    let got = answer(&mut c);
    assert!(got.ends_with("0\r\n\r\n") && second.seen("POST").len() == 1, "{got}");
}

/// An agent that answers each watch at once, and with nothing, is not asked without end.
#[test]
fn a_watch_that_does_not_wait_is_not_asked_without_end() {
    let d = drain();
    let shared = agent(d.before.clone());
    let unwaited = shared.clone();
    let p = peer(move |asked, _| match asked.contains("since=") {
        true => Then::Answer(plain("200 OK", r#"{"generation":3,"reset":false,"instances":[]}"#)),
        false => says(&unwaited, asked),
    });
    let _world = d.world(&p, None);
    p.wait("GET /v1/servers?since=");
    let before = p.seen("GET").len();
    sleep(Duration::from_secs(1));
    let asked = p.seen("GET").len() - before;
    assert!((4..=12).contains(&asked), "{asked} calls in a second");
}

/// Discovery began anew and counts from the beginning: changes of its new list mean nothing to the old one.
#[test]
fn changes_of_an_older_list_are_answered_by_asking_for_the_whole() {
    let d = drain();
    let (before, after) = (d.before.clone(), d.after.clone());
    let lists = std::sync::atomic::AtomicUsize::new(0);
    let p = peer(move |asked, _| {
        let list = |generation: u64, instances: &Value| {
            let all = json!({"generation": generation, "reset": true, "instances": instances}).to_string();
            Then::Answer(plain("200 OK", &all))
        };
        if asked.contains("since=41") {
            return Then::Answer(plain("200 OK", r#"{"generation":2,"reset":false,"instances":[]}"#));
        }
        if asked.contains("since=") {
            // Nothing is newer than that.
            sleep(Duration::from_millis(400));
            return Then::Answer(plain("200 OK", r#"{"generation":2,"reset":false,"instances":[]}"#));
        }
        match lists.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 => list(41, &before),
            _ => list(2, &after),
        }
    });
    let world = d.world(&p, None);
    assert!(d.told_in_s(&world) < 1.0);
}
