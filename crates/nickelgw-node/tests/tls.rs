//! TLS to engines on sockets: rotations that no stream notices, and bad engines that get no byte of a prompt.

mod common;

use common::{figures, World};
use nickelgw_node::TlsOptions;
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use nickelgw_test_servers::client::{self, CallResult};
use nickelgw_test_servers::engine_config::{EngineConfig, TlsFiles};
use nickelgw_tls::{Client, Files, Server, Versions};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;
use test_case::test_case;

struct Certs {
    dir: PathBuf,
    authority: Authority,
}

impl Certs {
    fn new(name: &str) -> Certs {
        let dir = std::env::temp_dir().join(format!("nickelgw-tls-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let authority = Authority::new("first").unwrap();
        replace_file(&dir.join("root.pem"), authority.root_pem.as_bytes(), 0o644).unwrap();
        let c = Certs { dir, authority };
        c.make("node0", "node0.example.org", CertificateFault::None);
        c
    }

    fn make(&self, file: &str, name: &str, fault: CertificateFault) -> [PathBuf; 2] {
        self.authority.write(&self.dir, file, name, fault).unwrap()
    }

    fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }

    fn engine(&self, id: &str, mutual: bool) -> EngineConfig {
        let name = format!("{id}.example.org");
        let [chain, key] = self.make(id, &name, CertificateFault::None);
        let tls = TlsFiles { name, chain, key, trust: self.path("root.pem"), mutual };
        EngineConfig { tls: Some(tls), ..figures(id) }
    }

    fn client(&self, own: bool) -> Client {
        let of = |f: &str| own.then(|| self.path(f));
        let files =
            Files { chain: of("node0.pem"), key: of("node0.key"), trust: Some(self.path("root.pem")) };
        let mut c = Client::new(files, Versions::Only13, 600.0);
        c.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
        assert!(c.config().is_some());
        c
    }

    fn start(&self, own: bool) -> TlsOptions {
        TlsOptions {
            engines: Some(self.client(own)),
            chat: None,
            reload_s: 0.05,
            max_handshakes: 8,
            max_handshakes_per_engine: 2,
            retire_gap_s: 0.05,
        }
    }
}

impl Drop for Certs {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn world(c: &Certs, engines: Vec<EngineConfig>, own: bool) -> World {
    World::with(engines, |s| s.tls = c.start(own))
}

fn handshakes(w: &World, engine: &str, field: &str) -> usize {
    let of = |l: &serde_json::Value| l["ev"] == "handshake" && (engine.is_empty() || l["who"] == engine);
    w.record.entries().iter().filter(|l| of(l) && l[field] == true).count()
}

fn sends(w: &World, engine: &str) -> usize {
    w.record.entries().iter().filter(|l| l["ev"] == "send" && l["who"] == engine).count()
}

/// Streams of some seconds, held open across what the test does.
fn open_streams(w: &World, n: usize) -> Vec<thread::JoinHandle<CallResult>> {
    let all = (0..n)
        .map(|k| {
            let mut a = w.ask(&format!("open{k}"), "chat");
            a.max_tokens = None;
            w.later(a)
        })
        .collect();
    w.wait("all have begun", |l| l.iter().filter(|l| l["ev"] == "first").count() >= n);
    all
}

fn all_whole(streams: Vec<thread::JoinHandle<CallResult>>) {
    for s in streams {
        let seen = s.join().unwrap();
        assert_eq!(seen.outcome, "completed", "{seen:?}");
        let words = seen.text.split_whitespace().count() as u64;
        assert!(words >= 20 && seen.text.ends_with(&format!("w{} ", words - 1)), "not whole: {}", seen.text);
    }
}

fn slow_writer(f: EngineConfig) -> EngineConfig {
    EngineConfig { decode_step_s: 0.05, mean_output_tokens: 40, ..f }
}

#[test]
fn all_goes_its_way_in_tls_with_both_sides_verified() {
    let c = Certs::new("way");
    let w = world(&c, ["r0a", "r1a", "w0a"].iter().map(|e| c.engine(e, true)).collect(), true);
    for n in 0..12 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), ["chat", "booking"][n % 2])).outcome, "completed");
    }
    w.assert_empty(&[]);
    // Work goes on open connections: handshakes are few, and none failed.
    assert!(handshakes(&w, "w0a", "ok") <= 4, "{}", handshakes(&w, "w0a", "ok"));
    assert_eq!(w.count("fetched", ""), 12);
    w.assert_sound();
}

#[test_case("engine"; "an engine's certificate")]
#[test_case("node"; "the node's certificate")]
#[test_case("engines first"; "the authority, engines first")]
#[test_case("nodes first"; "the authority, nodes first")]
#[test_case("twice"; "two rotations within a second")]
fn a_rotation_drops_no_open_stream(what: &str) {
    let c = Certs::new(&what.replace(' ', "-"));
    let engines = vec![c.engine("r0a", true), slow_writer(c.engine("w0a", true))];
    let w = world(&c, engines, true);
    let streams = open_streams(&w, 6);
    let again = |c: &Certs, a: &Authority| {
        for e in ["r0a", "w0a"] {
            let [chain, key] =
                a.write(&c.dir, e, &format!("{e}.example.org"), CertificateFault::None).unwrap();
            w.control(e, json!({"fault": "cert", "chain": chain, "key": key}));
        }
    };
    let second = Authority::new("second").unwrap();
    let both = format!("{}{}", c.authority.root_pem, second.root_pem);
    let settle = || thread::sleep(Duration::from_millis(300));
    match what {
        "engine" => again(&c, &c.authority),
        "node" => drop(c.make("node0", "node0.example.org", CertificateFault::None)),
        // Trust of both first, as a rollout goes; then one side's certificates, then the other's.
        "engines first" | "nodes first" => {
            replace_file(&c.path("root.pem"), both.as_bytes(), 0o644).unwrap();
            settle();
            let node =
                || drop(second.write(&c.dir, "node0", "node0.example.org", CertificateFault::None).unwrap());
            if what == "engines first" {
                again(&c, &second);
                settle();
                node();
            } else {
                again(&c, &c.authority);
                node();
                settle();
                again(&c, &second);
            }
            settle();
            replace_file(&c.path("root.pem"), second.root_pem.as_bytes(), 0o644).unwrap();
        }
        _ => {
            again(&c, &c.authority);
            c.make("node0", "node0.example.org", CertificateFault::None);
            settle();
            c.make("node0", "node0.example.org", CertificateFault::None);
            again(&c, &c.authority);
        }
    }
    settle();
    for n in 0..4 {
        assert_eq!(w.play(w.ask(&format!("new{n}"), "chat")).outcome, "completed");
    }
    all_whole(streams);
    w.assert_sound();
}

#[test_case(CertificateFault::Expired; "expired")]
#[test_case(CertificateFault::NotYetValid; "not yet valid")]
#[test_case(CertificateFault::WrongName; "wrong name")]
#[test_case(CertificateFault::SelfSigned; "self signed")]
fn a_bad_engine_gets_no_byte_of_a_prompt(fault: CertificateFault) {
    let c = Certs::new(&format!("{fault:?}"));
    let [chain, key] = c.make("bad", "w1a.example.org", fault);
    let bad = |f: EngineConfig| EngineConfig {
        tls: f.tls.map(|t| TlsFiles { chain: chain.clone(), key: key.clone(), ..t }),
        ..f
    };
    let w =
        world(&c, vec![c.engine("r0a", false), c.engine("w0a", false), bad(c.engine("w1a", false))], false);
    for n in 0..20 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), "booking")).outcome, "completed");
    }
    assert_eq!((sends(&w, "w1a"), sends(&w, "w0a")), (0, 20));
    // Left alone between tries, not asked again with each request.
    let failed = w.record.entries().iter().filter(|l| l["ev"] == "handshake" && l["ok"] == false).count();
    assert!((1..=12).contains(&failed), "{failed} handshakes");
    // Put right, it is taken back.
    let [chain, key] = c.make("good", "w1a.example.org", CertificateFault::None);
    w.control("w1a", json!({"fault": "cert", "chain": chain, "key": key}));
    w.control("w0a", json!({"fault": "drain"}));
    let mut back = false;
    for n in 0..40 {
        back |= w.play(w.ask(&format!("back{n}"), "chat")).outcome == "completed" && sends(&w, "w1a") > 0;
        if back {
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    assert!(back, "never used again");
    w.assert_sound();
}

#[test]
fn an_unknown_authority_and_a_missing_certificate_of_ours_cost_no_prompt_either() {
    let c = Certs::new("unknown");
    let stranger = Certs::new("stranger");
    let mut unknown = c.engine("w1a", false);
    let [chain, key] = stranger.make("w1a", "w1a.example.org", CertificateFault::None);
    unknown.tls = unknown.tls.map(|t| TlsFiles { chain, key, ..t });
    // This one wants to see a certificate of the node, which has none.
    let strict = c.engine("w2a", true);
    let engines = vec![c.engine("r0a", false), c.engine("w0a", false), unknown, strict];
    let w = world(&c, engines, false);
    for n in 0..16 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), "booking")).outcome, "completed");
    }
    assert_eq!((sends(&w, "w1a"), sends(&w, "w2a"), sends(&w, "w0a")), (0, 0, 16));
    w.assert_sound();
}

#[test]
fn a_rotation_by_half_is_refused_and_completed_later() {
    let c = Certs::new("half");
    let w = world(&c, vec![c.engine("r0a", true), c.engine("w0a", true)], true);
    let issued = c.authority.issue("node0.example.org", CertificateFault::None).unwrap();
    replace_file(&c.path("node0.pem"), issued.chain_pem.as_bytes(), 0o644).unwrap();
    thread::sleep(Duration::from_millis(300));
    // The chain is new, the key is not: the old generation serves on.
    assert_eq!(w.play(w.ask("half", "chat")).outcome, "completed");
    replace_file(&c.path("node0.key"), issued.key_pem.as_bytes(), 0o600).unwrap();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(w.play(w.ask("whole", "chat")).outcome, "completed");
    std::fs::write(c.path("root.pem"), "no certificate").unwrap();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(w.play(w.ask("garbage", "chat")).outcome, "completed");
    w.assert_sound();
}

/// A peer that takes the hello and then does as told.
fn peer(then: fn(std::net::TcpStream)) -> String {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for s in l.incoming().flatten() {
            thread::spawn(move || {
                let mut s = s;
                let _ = s.read(&mut [0; 4096]);
                then(s);
            });
        }
    });
    address
}

#[test_case(|_| thread::sleep(Duration::from_secs(5)); "stalls after the hello")]
#[test_case(|mut s| drop(s.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")); "speaks no TLS")]
#[test_case(|mut s| drop(s.write_all(&[0x16, 3, 3, 0xff, 0xff, 1, 2, 3])); "garbage in a record")]
#[test_case(drop; "closes after the hello")]
fn a_handshake_that_goes_wrong_proves_that_nothing_ran(then: fn(std::net::TcpStream)) {
    let c = Certs::new(&format!("peer-{:?}", thread::current().name().map(|n| n.replace(':', "-"))));
    // The probe beside it is given up before the handshake is: what is called off then has not run either.
    let w = World::with(vec![c.engine("r0a", false), c.engine("w0a", false)], |s| {
        s.tls = c.start(false);
        (s.limits.connect_timeout_s, s.limits.probe_timeout_s) = (0.6, 0.15);
    });
    let mut line = common::line(&c.engine("w1a", false), &peer(then));
    line.tls_name = Some("w1a.example.org".into());
    w.control("list", json!({"line": line}));
    w.wait("it is listed", |l| {
        l.iter().any(|l| l["ev"] == "told" && l["in"] == json!(["r0a", "w0a", "w1a"]))
    });
    thread::sleep(Duration::from_millis(50));
    // Non-retriable ones too: no byte of a prompt went out, so another writer may be tried.
    for n in 0..8 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), "booking")).outcome, "completed");
    }
    w.assert_sound();
}

#[test]
fn a_connection_opened_again_resumes_where_keys_and_trust_stand() {
    let c = Certs::new("resume");
    let w = World::with(vec![c.engine("r0a", true), c.engine("w0a", true)], |s| {
        (s.tls, s.limits.idle_timeout_s) = (c.start(true), 0.1);
    });
    assert_eq!(w.play(w.ask("first", "chat")).outcome, "completed");
    thread::sleep(Duration::from_millis(700));
    assert_eq!(w.play(w.ask("second", "chat")).outcome, "completed");
    assert!(handshakes(&w, "w0a", "resumed") >= 1);
    // Tickets do not cross generations.
    c.make("node0", "node0.example.org", CertificateFault::None);
    thread::sleep(Duration::from_millis(700));
    let full = |w: &World| handshakes(w, "w0a", "ok") - handshakes(w, "w0a", "resumed");
    let before = full(&w);
    assert_eq!(w.play(w.ask("third", "chat")).outcome, "completed");
    assert!(full(&w) > before);
    w.assert_sound();
}

#[test]
fn an_engine_that_forgets_its_tickets_gets_full_handshakes() {
    let c = Certs::new("tickets");
    let mut w = world(&c, vec![c.engine("r0a", false), c.engine("w0a", false)], false);
    assert_eq!(w.play(w.ask("first", "chat")).outcome, "completed");
    // A new process at the same name: another ticket key.
    w.control("w0a", json!({"fault": "die"}));
    w.record.for_source("w0a").record("died", json!({}));
    let line = w.engine(c.engine("w0a", false));
    w.control("list", json!({"line": line}));
    w.wait("it is listed", |l| l.iter().filter(|l| l["ev"] == "told").count() >= 2);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(w.play(w.ask("second", "chat")).outcome, "completed");
    w.assert_sound();
}

#[test]
fn a_stream_cut_without_its_end_is_no_end() {
    let c = Certs::new("cut");
    let w = world(&c, vec![c.engine("r0a", false), slow_writer(c.engine("w0a", false))], false);
    let mut streams = open_streams(&w, 1);
    w.control("w0a", json!({"fault": "die"}));
    let seen = streams.remove(0).join().unwrap();
    assert_eq!((seen.outcome.as_str(), seen.code.as_deref()), ("errored", Some("stream_broken")));
    w.assert_sound();
}

#[test]
fn the_chat_port_serves_tls_by_the_same_code() {
    let c = Certs::new("chat");
    let [chain, key] = c.make("chat", "localhost", CertificateFault::None);
    let mut server =
        Server::new(Files { chain: Some(chain), key: Some(key), trust: None }, Versions::Only13, 0.0, false);
    server.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
    let w = World::with(vec![figures("r0a"), figures("w0a")], |s| s.tls.chat = Some(server));
    let answer = smol::block_on(https(&w.node, &c.path("root.pem"), "localhost", &w.ask("q", "chat").body()));
    assert!(answer.contains("200 OK") && answer.contains("[DONE]"), "{answer}");
    let plain = smol::block_on(client::send_raw(&w.node, &[b"GET /healthz HTTP/1.1\r\n\r\n"], 0.0, 1.0));
    assert!(!String::from_utf8_lossy(&plain).contains("200 OK"));
}

async fn https(address: &str, root: &Path, name: &str, body: &[u8]) -> String {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let mut c = Client::new(Files { trust: Some(root.into()), ..Files::default() }, Versions::Only13, 0.0);
    c.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
    let stream = smol::net::TcpStream::connect(address).await.unwrap();
    let name = futures_rustls::pki_types::ServerName::try_from(name.to_string()).unwrap();
    let connector = futures_rustls::TlsConnector::from(c.config().unwrap().0);
    let mut s = connector.connect(name, stream).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        common::KEY,
        body.len()
    );
    s.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}
