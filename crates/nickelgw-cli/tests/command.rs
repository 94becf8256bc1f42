//! Tests of the `nickelgw` command line.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn nickelgw(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nickelgw")).args(args).output().unwrap()
}

fn stdout_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string()
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}

fn new_folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("nickelgw-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn text_of(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn rehearsal_of_a_short_day_with_faults_violates_no_rule_and_writes_a_report() {
    let dir = new_folder("day");
    let day = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/short-day.txtpb");
    let output = nickelgw(&["rehearse", day, "--seed", "7", "--report", text_of(&dir)]);
    assert_eq!(output.status.code(), Some(0), "{}{}", stdout_of(&output), stderr_of(&output));
    let report: Value = serde_json::from_slice(&std::fs::read(dir.join("report.json")).unwrap()).unwrap();
    assert_eq!(report["seed"], 7);
    for rule in ["lost", "twice", "drain", "cold", "pinned"] {
        assert_eq!(report["rules"][rule], 0, "{report}");
        assert!(report["judged"][rule].as_u64() > Some(0), "rule {rule} was checked in no case: {report}");
    }
    let total = |field: &str| {
        let routes = ["chat", "review", "booking"].iter();
        routes.map(|route| report["routes"][route][field].as_u64().unwrap()).sum::<u64>()
    };
    assert!(total("taken") > 100 && total("completed") * 2 > total("taken"), "{report}");
    let ends = ["completed", "shed", "errored", "left", "cut"];
    assert_eq!(total("taken"), ends.into_iter().map(total).sum::<u64>());
    // The audit passes the same records, and fails them once the final answers are removed.
    assert_eq!(nickelgw(&["audit", text_of(&dir)]).status.code(), Some(0));
    let record = dir.join("records/driver.jsonl");
    let lines = std::fs::read_to_string(&record).unwrap();
    let without_answers: Vec<&str> =
        lines.lines().filter(|line| !line.contains("\"ev\":\"final\"")).collect();
    std::fs::write(&record, without_answers.join("\n")).unwrap();
    let output = nickelgw(&["audit", text_of(&dir)]);
    assert_eq!(output.status.code(), Some(1), "{}", stdout_of(&output));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn invalid_files_and_invalid_usage_exit_with_code_2_and_an_error_line() {
    let dir = new_folder("bad");
    let file = dir.join("x.txtpb");
    std::fs::write(&file, "name: 'x'\nlength_s: -4\n").unwrap();
    for args in [
        vec!["rehearse", text_of(&file)],
        vec!["check", text_of(&file)],
        vec!["serve", "--config", "no/such/file"],
        vec!["audit", text_of(&dir)],
        vec!["engine", "--id", "e", "--role", "read", "--figures", "{"],
        vec!["nonsense"],
    ] {
        let output = nickelgw(&args);
        let error = stderr_of(&output);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {error}");
        assert!(!error.is_empty() && !error.contains("panicked"), "{error}");
    }
    let output = nickelgw(&["check", text_of(&file)]);
    assert!(stderr_of(&output).contains("x.txtpb:2: length_s"));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Process that is killed when the test ends, whether it passes or not. A process that survived would keep
/// the output of the test run open.
struct KilledOnDrop(std::process::Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn up_streams_an_answer_and_exits_on_sigint() {
    let up = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
        .args(["up", "--port", "0", "--nodes", "2"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut up = KilledOnDrop(up);
    let mut lines = BufReader::new(up.0.stdout.take().unwrap()).lines();
    let url = lines.by_ref().map(|line| line.unwrap()).find(|line| line.contains("http://")).unwrap();
    let address = url.trim().trim_start_matches("http://").split('/').next().unwrap().to_string();
    let body = r#"{"model":"chat","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Hi"}]}"#;
    let mut stream = TcpStream::connect(&address).unwrap();
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut answer = String::new();
    stream.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("data: [DONE]"), "{answer}");
    let kill_status = Command::new("kill").args(["-INT", &up.0.id().to_string()]).status().unwrap();
    assert!(kill_status.success());
    assert!(up.0.wait().unwrap().success());
}
