//! Tests TLS over sockets: rotations interrupt no stream, and peers with an invalid certificate receive no
//! byte of a request.

mod certs;
#[path = "../common/mod.rs"]
mod common;

use certs::Certs;
use common::{engine_config, TestCluster};
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use nickelgw_test_servers::client::{self, CallResult};
use nickelgw_test_servers::engine_config::{EngineConfig, TlsFiles};
use nickelgw_tls::{Client, Files, Server, Versions};
use serde_json::json;
use std::io::{Read, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;
use test_case::test_case;

fn test_cluster(certs: &Certs, engines: Vec<EngineConfig>, has_certificate: bool) -> TestCluster {
    TestCluster::with_options(engines, |options| options.tls = certs.options(has_certificate))
}

/// Counts the handshakes of an engine in whose events `field` ("ok" or "resumed") is true; of all engines if
/// the id is empty.
fn handshakes(cluster: &TestCluster, engine: &str, field: &str) -> usize {
    let is_counted = |event: &&serde_json::Value| {
        event["ev"] == "handshake" && (engine.is_empty() || event["who"] == engine) && event[field] == true
    };
    cluster.recorder.entries().iter().filter(is_counted).count()
}

/// Counts the attempts at an engine.
fn attempts(cluster: &TestCluster, engine: &str) -> usize {
    cluster.count_events_at("send", engine)
}

/// Opens streams that last some seconds, so that they are open while the test changes certificates.
fn open_streams(cluster: &TestCluster, count: usize) -> Vec<thread::JoinHandle<CallResult>> {
    let open = |number: usize| {
        let mut request = cluster.chat_request(&format!("open{number}"), "chat");
        request.max_tokens = None;
        cluster.send_in_background(request)
    };
    let streams = (0..count).map(open).collect();
    cluster.wait_for("all streams have begun", |events| {
        events.iter().filter(|event| event["ev"] == "first").count() >= count
    });
    streams
}

fn assert_streams_complete(streams: Vec<thread::JoinHandle<CallResult>>) {
    for stream in streams {
        let response = stream.join().unwrap();
        assert_eq!(response.outcome, "completed", "{response:?}");
        let words = response.text.split_whitespace().count() as u64;
        let last_word = format!("w{} ", words.wrapping_sub(1));
        assert!(words >= 20 && response.text.ends_with(&last_word), "incomplete response: {}", response.text);
    }
}

fn slow_decode_engine(config: EngineConfig) -> EngineConfig {
    EngineConfig { decode_step_s: 0.05, mean_output_tokens: 40, ..config }
}

#[test]
fn mutual_tls_to_engines_reuses_connections() {
    let certs = Certs::new("way");
    let cluster =
        test_cluster(&certs, ["r0a", "r1a", "w0a"].iter().map(|id| certs.engine(id, true)).collect(), true);
    for n in 0..12 {
        assert_eq!(
            cluster.send(cluster.chat_request(&format!("q{n}"), ["chat", "booking"][n % 2])).outcome,
            "completed"
        );
    }
    cluster.assert_engines_idle(&[]);
    // Connections are reused: handshakes are few, and none failed.
    assert!(handshakes(&cluster, "w0a", "ok") <= 4, "{}", handshakes(&cluster, "w0a", "ok"));
    assert_eq!(cluster.count_events("fetched", ""), 12);
    cluster.assert_audit_passes();
}

#[test_case("engine"; "an engine's certificate")]
#[test_case("node"; "the node's certificate")]
#[test_case("engines first"; "the authority, engines first")]
#[test_case("nodes first"; "the authority, nodes first")]
#[test_case("twice"; "two rotations within a second")]
fn a_certificate_rotation_drops_no_open_stream(rotated: &str) {
    let certs = Certs::new(&rotated.replace(' ', "-"));
    let engines = vec![certs.engine("r0a", true), slow_decode_engine(certs.engine("w0a", true))];
    let cluster = test_cluster(&certs, engines, true);
    let streams = open_streams(&cluster, 6);
    let rotate_engines = |authority: &Authority| {
        for engine in ["r0a", "w0a"] {
            let name = format!("{engine}.example.org");
            let [chain, key] = authority.write(&certs.dir, engine, &name, CertificateFault::None).unwrap();
            cluster.control(engine, json!({"fault": "cert", "chain": chain, "key": key}));
        }
    };
    let second = Authority::new("second").unwrap();
    let both = format!("{}{}", certs.authority.root_pem, second.root_pem);
    let settle = || thread::sleep(Duration::from_millis(300));
    match rotated {
        "engine" => rotate_engines(&certs.authority),
        "node" => drop(certs.issue("node0", "node0.example.org", CertificateFault::None)),
        // As in a rollout, all peers trust both authorities first. Then one side gets certificates of the new
        // authority, and after that the other side.
        "engines first" | "nodes first" => {
            replace_file(&certs.path("root.pem"), both.as_bytes(), 0o644).unwrap();
            settle();
            let rotate_node = || {
                drop(second.write(&certs.dir, "node0", "node0.example.org", CertificateFault::None).unwrap())
            };
            if rotated == "engines first" {
                rotate_engines(&second);
                settle();
                rotate_node();
            } else {
                rotate_engines(&certs.authority);
                rotate_node();
                settle();
                rotate_engines(&second);
            }
            settle();
            replace_file(&certs.path("root.pem"), second.root_pem.as_bytes(), 0o644).unwrap();
        }
        _ => {
            rotate_engines(&certs.authority);
            certs.issue("node0", "node0.example.org", CertificateFault::None);
            settle();
            certs.issue("node0", "node0.example.org", CertificateFault::None);
            rotate_engines(&certs.authority);
        }
    }
    settle();
    for n in 0..4 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("new{n}"), "chat")).outcome, "completed");
    }
    assert_streams_complete(streams);
    cluster.assert_audit_passes();
}

#[test_case(CertificateFault::Expired; "expired")]
#[test_case(CertificateFault::NotYetValid; "not yet valid")]
#[test_case(CertificateFault::WrongName; "wrong name")]
#[test_case(CertificateFault::SelfSigned; "self signed")]
fn an_engine_with_an_invalid_certificate_gets_no_request(fault: CertificateFault) {
    let certs = Certs::new(&format!("{fault:?}"));
    let [chain, key] = certs.issue("bad", "w1a.example.org", fault);
    let with_bad_certificate = |config: EngineConfig| EngineConfig {
        tls: config.tls.map(|tls| TlsFiles { chain: chain.clone(), key: key.clone(), ..tls }),
        ..config
    };
    let cluster = test_cluster(
        &certs,
        vec![
            certs.engine("r0a", false),
            certs.engine("w0a", false),
            with_bad_certificate(certs.engine("w1a", false)),
        ],
        false,
    );
    for n in 0..20 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("q{n}"), "booking")).outcome, "completed");
    }
    assert_eq!((attempts(&cluster, "w1a"), attempts(&cluster, "w0a")), (0, 20));
    // The node backs off between handshakes instead of trying one with each request.
    let failed = cluster
        .recorder
        .entries()
        .iter()
        .filter(|event| event["ev"] == "handshake" && event["ok"] == false)
        .count();
    assert!((1..=12).contains(&failed), "{failed} failed handshakes");
    // The engine is used again once it has a valid certificate.
    let [chain, key] = certs.issue("good", "w1a.example.org", CertificateFault::None);
    cluster.control("w1a", json!({"fault": "cert", "chain": chain, "key": key}));
    cluster.control("w0a", json!({"fault": "drain"}));
    let mut is_used_again = false;
    for n in 0..40 {
        is_used_again |= cluster.send(cluster.chat_request(&format!("back{n}"), "chat")).outcome
            == "completed"
            && attempts(&cluster, "w1a") > 0;
        if is_used_again {
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    assert!(is_used_again, "the engine with a valid certificate was never used again");
    cluster.assert_audit_passes();
}

#[test]
fn an_unknown_authority_or_a_missing_client_certificate_sends_no_request() {
    let certs = Certs::new("unknown");
    let other_authority = Certs::new("stranger");
    let mut unknown = certs.engine("w1a", false);
    let [chain, key] = other_authority.issue("w1a", "w1a.example.org", CertificateFault::None);
    unknown.tls = unknown.tls.map(|tls| TlsFiles { chain, key, ..tls });
    // This engine requires a client certificate, which the node does not have.
    let mutual = certs.engine("w2a", true);
    let engines = vec![certs.engine("r0a", false), certs.engine("w0a", false), unknown, mutual];
    let cluster = test_cluster(&certs, engines, false);
    for n in 0..16 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("q{n}"), "booking")).outcome, "completed");
    }
    assert_eq!((attempts(&cluster, "w1a"), attempts(&cluster, "w2a"), attempts(&cluster, "w0a")), (0, 0, 16));
    cluster.assert_audit_passes();
}

#[test]
fn an_incomplete_rotation_is_rejected_until_it_is_complete() {
    let certs = Certs::new("half");
    let cluster = test_cluster(&certs, vec![certs.engine("r0a", true), certs.engine("w0a", true)], true);
    let issued = certs.authority.issue("node0.example.org", CertificateFault::None).unwrap();
    replace_file(&certs.path("node0.pem"), issued.chain_pem.as_bytes(), 0o644).unwrap();
    thread::sleep(Duration::from_millis(300));
    // The chain is new but the key is not, so that the previous configuration stays in use.
    assert_eq!(cluster.send(cluster.chat_request("half", "chat")).outcome, "completed");
    replace_file(&certs.path("node0.key"), issued.key_pem.as_bytes(), 0o600).unwrap();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.send(cluster.chat_request("whole", "chat")).outcome, "completed");
    std::fs::write(certs.path("root.pem"), "no certificate").unwrap();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.send(cluster.chat_request("garbage", "chat")).outcome, "completed");
    cluster.assert_audit_passes();
}

/// Starts a peer that reads the client hello and then runs `after_hello`. Returns its address.
fn broken_tls_peer(after_hello: fn(std::net::TcpStream)) -> String {
    let (listener, address) = common::listener();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                after_hello(stream);
            });
        }
    });
    address
}

#[test_case(|_| thread::sleep(Duration::from_secs(5)); "stalls after the hello")]
#[test_case(|mut stream| drop(stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")); "speaks no TLS")]
#[test_case(|mut stream| drop(stream.write_all(&[0x16, 3, 3, 0xff, 0xff, 1, 2, 3])); "garbage in a record")]
#[test_case(drop; "closes after the hello")]
fn a_failed_handshake_is_retried_on_another_engine(after_hello: fn(std::net::TcpStream)) {
    let certs = Certs::new(&format!("peer-{:?}", thread::current().name().map(|n| n.replace(':', "-"))));
    // The probe timeout is shorter than the connect timeout: an attempt that is cancelled after the failed
    // probe has not run either.
    let cluster =
        TestCluster::with_options(vec![certs.engine("r0a", false), certs.engine("w0a", false)], |options| {
            options.tls = certs.options(false);
            (options.limits.connect_timeout_s, options.limits.probe_timeout_s) = (0.6, 0.15);
        });
    let mut entry = common::endpoint_entry(&certs.engine("w1a", false), &broken_tls_peer(after_hello));
    entry.tls_name = Some("w1a.example.org".into());
    cluster.control("list", json!({"line": entry}));
    cluster.wait_for("the broken peer is listed", |events| {
        events.iter().any(|event| event["ev"] == "told" && event["in"] == json!(["r0a", "w0a", "w1a"]))
    });
    thread::sleep(Duration::from_millis(50));
    // This holds for non-idempotent requests too: no byte of the request was sent, so that another engine may
    // be tried.
    for n in 0..8 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("q{n}"), "booking")).outcome, "completed");
    }
    cluster.assert_audit_passes();
}

#[test]
fn reconnects_resume_sessions_within_a_certificate_generation() {
    let certs = Certs::new("resume");
    let cluster =
        TestCluster::with_options(vec![certs.engine("r0a", true), certs.engine("w0a", true)], |options| {
            (options.tls, options.limits.idle_timeout_s) = (certs.options(true), 0.1);
        });
    assert_eq!(cluster.send(cluster.chat_request("first", "chat")).outcome, "completed");
    thread::sleep(Duration::from_millis(700));
    assert_eq!(cluster.send(cluster.chat_request("second", "chat")).outcome, "completed");
    assert!(handshakes(&cluster, "w0a", "resumed") >= 1);
    // A session ticket is not valid after the node's certificate has changed.
    certs.issue("node0", "node0.example.org", CertificateFault::None);
    thread::sleep(Duration::from_millis(700));
    let full_handshakes =
        |cluster: &TestCluster| handshakes(cluster, "w0a", "ok") - handshakes(cluster, "w0a", "resumed");
    let before = full_handshakes(&cluster);
    assert_eq!(cluster.send(cluster.chat_request("third", "chat")).outcome, "completed");
    assert!(full_handshakes(&cluster) > before);
    cluster.assert_audit_passes();
}

#[test]
fn an_engine_without_its_ticket_key_gets_full_handshakes() {
    let certs = Certs::new("tickets");
    let mut cluster =
        test_cluster(&certs, vec![certs.engine("r0a", false), certs.engine("w0a", false)], false);
    assert_eq!(cluster.send(cluster.chat_request("first", "chat")).outcome, "completed");
    // A new process with the same certificate name has another ticket key.
    cluster.control("w0a", json!({"fault": "die"}));
    cluster.recorder.for_source("w0a").record("died", json!({}));
    let entry = cluster.start_engine(certs.engine("w0a", false));
    cluster.control("list", json!({"line": entry}));
    cluster.wait_for("the new process is listed", |events| {
        events.iter().filter(|event| event["ev"] == "told").count() >= 2
    });
    thread::sleep(Duration::from_millis(100));
    assert_eq!(cluster.send(cluster.chat_request("second", "chat")).outcome, "completed");
    cluster.assert_audit_passes();
}

#[test]
fn a_tls_stream_cut_without_close_notify_is_broken() {
    let certs = Certs::new("cut");
    let cluster = test_cluster(
        &certs,
        vec![certs.engine("r0a", false), slow_decode_engine(certs.engine("w0a", false))],
        false,
    );
    let mut streams = open_streams(&cluster, 1);
    cluster.control("w0a", json!({"fault": "die"}));
    let broken = streams.remove(0).join().unwrap();
    assert_eq!((broken.outcome.as_str(), broken.code.as_deref()), ("errored", Some("stream_broken")));
    cluster.assert_audit_passes();
}

#[test]
fn the_chat_port_serves_tls() {
    let certs = Certs::new("chat");
    let [chain, key] = certs.issue("chat", "localhost", CertificateFault::None);
    let mut server =
        Server::new(Files { chain: Some(chain), key: Some(key), trust: None }, Versions::Only13, 0.0, false);
    server.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
    let cluster = TestCluster::with_options(vec![engine_config("r0a"), engine_config("w0a")], |options| {
        options.tls.chat = Some(server)
    });
    let response = smol::block_on(https(
        &cluster.node,
        &certs.path("root.pem"),
        "localhost",
        &cluster.chat_request("q", "chat").body(),
    ));
    assert!(response.contains("200 OK") && response.contains("[DONE]"), "{response}");
    let plain =
        smol::block_on(client::send_raw(&cluster.node, &[b"GET /healthz HTTP/1.1\r\n\r\n"], 0.0, 1.0));
    assert!(!String::from_utf8_lossy(&plain).contains("200 OK"));
}

/// Sends a chat request over TLS and returns the whole response.
async fn https(address: &str, root: &Path, name: &str, body: &[u8]) -> String {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let mut client =
        Client::new(Files { trust: Some(root.into()), ..Files::default() }, Versions::Only13, 0.0);
    client.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
    let stream = smol::net::TcpStream::connect(address).await.unwrap();
    let name = futures_rustls::pki_types::ServerName::try_from(name.to_string()).unwrap();
    let connector = futures_rustls::TlsConnector::from(client.config().unwrap().0);
    let mut stream = connector.connect(name, stream).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        common::API_KEY,
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}
