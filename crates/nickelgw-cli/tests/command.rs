//! The command as people run it.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn nickelgw(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nickelgw")).args(args).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("nickelgw-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn path(p: &Path) -> &str {
    p.to_str().unwrap()
}

#[test]
fn a_short_bad_day_keeps_the_rules_and_is_reported() {
    let dir = folder("day");
    let day = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/short-day.txtpb");
    let out = nickelgw(&["rehearse", day, "--seed", "7", "--report", path(&dir)]);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert_eq!(out.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&out.stderr));
    let report: Value = serde_json::from_slice(&std::fs::read(dir.join("report.json")).unwrap()).unwrap();
    assert_eq!(report["seed"], 7);
    for rule in ["lost", "twice", "drain", "cold", "pinned"] {
        assert_eq!(report["rules"][rule], 0, "{report}");
        assert!(report["judged"][rule].as_u64() > Some(0), "{rule} had nothing to judge: {report}");
    }
    let sum = |f: &str| {
        ["chat", "review", "booking"].iter().map(|r| report["routes"][r][f].as_u64().unwrap()).sum::<u64>()
    };
    assert!(sum("taken") > 100 && sum("completed") * 2 > sum("taken"), "{report}");
    assert_eq!(sum("taken"), sum("completed") + sum("shed") + sum("errored") + sum("left") + sum("cut"));
    // The same records again, and with an answer taken out of them.
    assert_eq!(nickelgw(&["audit", path(&dir)]).status.code(), Some(0));
    let record = dir.join("records/driver.jsonl");
    let told = std::fs::read_to_string(&record).unwrap();
    let doctored = told.lines().filter(|l| !l.contains("\"ev\":\"final\"")).collect::<Vec<_>>().join("\n");
    std::fs::write(&record, doctored).unwrap();
    let out = nickelgw(&["audit", path(&dir)]);
    assert_eq!(out.status.code(), Some(1), "{}", String::from_utf8_lossy(&out.stdout));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn bad_files_and_usage_end_with_2_and_a_plain_word() {
    let dir = folder("bad");
    let file = dir.join("x.txtpb");
    std::fs::write(&file, "name: 'x'\nlength_s: -4\n").unwrap();
    for args in [
        vec!["rehearse", path(&file)],
        vec!["check", path(&file)],
        vec!["serve", "--config", "no/such/file"],
        vec!["audit", path(&dir)],
        vec!["engine", "--id", "e", "--role", "read", "--figures", "{"],
        vec!["nonsense"],
    ] {
        let out = nickelgw(&args);
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(2), "{args:?}: {said}");
        assert!(!said.is_empty() && !said.contains("panicked"), "{said}");
    }
    let out = nickelgw(&["check", path(&file)]);
    assert!(String::from_utf8_lossy(&out.stderr).contains("x.txtpb:2: length_s"));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Ended with the test, whatever becomes of it: one left behind would hold the run's output open.
struct Ending(std::process::Child);

impl Drop for Ending {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn up_streams_an_answer_and_ends_on_a_signal() {
    let up = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
        .args(["up", "--port", "0", "--nodes", "2"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut up = Ending(up);
    let mut lines = BufReader::new(up.0.stdout.take().unwrap()).lines();
    let url = lines.by_ref().map(|l| l.unwrap()).find(|l| l.contains("http://")).unwrap();
    let address = url.trim().trim_start_matches("http://").split('/').next().unwrap().to_string();
    let body = r#"{"model":"chat","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Hi"}]}"#;
    let mut s = TcpStream::connect(&address).unwrap();
    write!(
        s,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut answer = String::new();
    s.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    s.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("data: [DONE]"), "{answer}");
    let ended = Command::new("kill").args(["-INT", &up.0.id().to_string()]).status().unwrap();
    assert!(ended.success());
    assert!(up.0.wait().unwrap().success());
}
