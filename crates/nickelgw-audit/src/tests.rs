use super::*;
use serde_json::json;
use test_case::test_case;

/// Records of a run that keeps all rules. They include a prefill whose KV state is fetched, a draining engine
/// and an engine in slow start.
const GOOD: &str = r#"
{"t":0,"who":"driver","ev":"rules","drain_grace_s":0.5,"hold_limit_s":0.5,"slack_s":0.1,"routes":{"chat":{"repeat":"retriable"},"book":{"repeat":"non_retriable"},"mark":{"repeat":"deduped","group":"zone","memory_s":2}}}
{"t":0,"who":"r0","ev":"start","zone":"a","cell":0,"role":"read","cold":false}
{"t":0,"who":"w0","ev":"start","zone":"a","cell":0,"role":"write","cold":false}
{"t":0,"who":"w1","ev":"start","zone":"b","cell":0,"role":"write","cold":false}
{"t":0,"who":"w2","ev":"start","zone":"a","cell":0,"role":"write","cold":true,"slots":2,"cold_from":0.3,"warm_s":10,"tip_multiple":3,"tip_window_s":2}
{"t":0.1,"who":"list","ev":"told","node":"n0","revision":1,"in":["r0","w0","w1","w2"],"draining":[]}
{"t":1.0,"who":"client","ev":"ask","req":"q1","node":"n0","model":"chat","timeout_s":2,"target_s":1,"intended":1.0}
{"t":1.01,"who":"r0","ev":"send","req":"q1","send":"s1-0","node":"n0","role":"read","work":0.1}
{"t":1.1,"who":"r0","ev":"read","req":"q1","send":"s1-0","tokens":9}
{"t":1.11,"who":"w0","ev":"send","req":"q1","send":"s1-1","node":"n0","role":"write","state":"s1-0","work":0.1}
{"t":1.12,"who":"r0","ev":"fetched","state":"s1-0"}
{"t":1.13,"who":"w0","ev":"ran","req":"q1","send":"s1-1"}
{"t":1.2,"who":"client","ev":"first","req":"q1"}
{"t":1.5,"who":"client","ev":"final","req":"q1","how":"completed"}
{"t":2.0,"who":"client","ev":"ask","req":"q2","node":"n0","model":"book","timeout_s":2,"target_s":1,"intended":2.0}
{"t":2.01,"who":"w0","ev":"send","req":"q2","send":"s2-0","node":"n0","role":"write","work":0.1}
{"t":2.02,"who":"w0","ev":"turned","req":"q2","send":"s2-0","code":"engine_full"}
{"t":2.03,"who":"w1","ev":"send","req":"q2","send":"s2-1","node":"n0","role":"write","work":0.1}
{"t":2.04,"who":"w1","ev":"ran","req":"q2","send":"s2-1"}
{"t":2.5,"who":"client","ev":"final","req":"q2","how":"errored"}
{"t":3.0,"who":"client","ev":"ask","req":"q3","node":"n0","model":"mark","timeout_s":9,"target_s":1,"intended":3.0}
{"t":3.01,"who":"w0","ev":"send","req":"q3","send":"s3-0","node":"n0","role":"write","work":0.1}
{"t":3.5,"who":"w2","ev":"send","req":"q3","send":"s3-1","node":"n0","role":"write","work":0.1}
{"t":3.6,"who":"client","ev":"final","req":"q3","how":"completed"}
{"t":4.0,"who":"list","ev":"told","node":"n0","revision":2,"in":["r0","w1","w2"],"draining":["w0"]}
{"t":4.1,"who":"client","ev":"ask","req":"q4","node":"n0","model":"chat","timeout_s":2,"target_s":1,"intended":4.1}
{"t":4.3,"who":"w0","ev":"send","req":"q4","send":"s4-0","node":"n0","role":"write","work":0.1}
{"t":4.4,"who":"client","ev":"final","req":"q4","how":"shed"}
{"t":9.0,"who":"driver","ev":"end"}
"#;

fn entries(text: &str) -> Vec<RecordEntry> {
    let mut entries: Vec<RecordEntry> = text
        .lines()
        .filter(|line| !line.is_empty())
        .map(|line| RecordEntry::from_json(&serde_json::from_str(line).unwrap()).unwrap())
        .collect();
    sort_by_time(&mut entries);
    entries
}

#[test]
fn a_correct_run_has_no_violations_and_every_rule_was_checked() {
    let report = audit(&entries(GOOD));
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(
        Rule::ALL.iter().all(|rule| report.checked.get(rule.name()).is_some_and(|&n| n > 0)),
        "{:?}",
        report.checked
    );
    let stats = &route_stats(&entries(GOOD))["chat"];
    assert_eq!((stats.requests, stats.completed, stats.rejected, stats.completed_in_target), (2, 1, 1, 1));
    assert!((stats.ttft_quantile(0.5).unwrap() - 0.2).abs() < 1e-9);
}

// One change to the correct run causes each violation.
#[test_case(Rule::DroppedRequest, "\"ev\":\"final\",\"req\":\"q1\"", "\"ev\":\"none\",\"req\":\"q1\""; "no final answer")]
#[test_case(Rule::DroppedRequest, "{\"t\":1.2,\"who\":\"client\",\"ev\":\"first\"", "{\"t\":3.2,\"who\":\"client\",\"ev\":\"first\""; "first token after the deadline")]
#[test_case(Rule::DroppedRequest, "{\"t\":4.3,\"who\":\"w0\"", "{\"t\":4.51,\"who\":\"w0\""; "attempt after the final answer")]
#[test_case(Rule::DuplicateRun, "\"ev\":\"turned\",\"req\":\"q2\"", "\"ev\":\"none\",\"req\":\"q2\""; "non-retriable request sent again")]
#[test_case(Rule::DuplicateRun, "\"req\":\"q2\",\"how\":\"errored\"", "\"req\":\"q2\",\"how\":\"shed\""; "shed though it may have run")]
#[test_case(Rule::DuplicateRun, "{\"t\":3.5,\"who\":\"w2\"", "{\"t\":3.5,\"who\":\"w1\""; "deduped request sent outside its zone")]
#[test_case(Rule::DuplicateRun, "{\"t\":3.01,\"who\":\"w0\"", "{\"t\":1.2,\"who\":\"w0\""; "deduped request sent after its key expired")]
#[test_case(Rule::SendToDraining, "{\"t\":4.0,\"who\":\"list\"", "{\"t\":3.61,\"who\":\"list\""; "attempt after the drain grace period")]
#[test_case(Rule::SlowStartOverload, "{\"t\":9.0,\"who\":\"driver\",\"ev\":\"end\"}", "{\"t\":9.0,\"who\":\"w2\",\"ev\":\"fell\"}"; "overloaded during slow start")]
#[test_case(Rule::UnattendedReservation, "\"ev\":\"send\",\"req\":\"q1\",\"send\":\"s1-1\",\"node\":\"n0\",\"role\":\"write\",\"state\":\"s1-0\"", "\"ev\":\"none\",\"state\":\"x\",\"req\":\"q1\",\"send\":\"s1-1\""; "state held past the limit")]
fn each_violation_is_detected(rule: Rule, good: &str, bad: &str) {
    assert!(GOOD.contains(good), "the correct run does not contain {good}");
    let mut text = GOOD.replacen(good, bad, 1);
    if rule == Rule::UnattendedReservation {
        text = text.replace(
            "{\"t\":1.12,\"who\":\"r0\",\"ev\":\"fetched\"",
            "{\"t\":1.8,\"who\":\"r0\",\"ev\":\"fetched\"",
        );
    }
    let report = audit(&entries(&text));
    assert!(
        report.count(rule) >= 1 && report.violations.iter().all(|violation| violation.rule == rule),
        "{:?}",
        report.violations
    );
    assert!(!report.violations[0].evidence.is_empty());
}

#[test]
fn only_requests_of_a_killed_node_are_excused() {
    let no_answer = GOOD.replacen("\"ev\":\"final\",\"req\":\"q1\"", "\"ev\":\"cut\",\"req\":\"q1\"", 1);
    assert_eq!(audit(&entries(&no_answer)).count(Rule::DroppedRequest), 1);
    let killed = json!({"t": 1.45, "who": "driver", "ev": "killed", "node": "n0"}).to_string();
    assert_eq!(audit(&entries(&format!("{no_answer}{killed}\n"))).count(Rule::DroppedRequest), 0);
    let other = killed.replace("n0", "n1");
    assert_eq!(audit(&entries(&format!("{no_answer}{other}\n"))).count(Rule::DroppedRequest), 1);
}

#[test]
fn a_record_without_rules_is_a_violation() {
    assert_eq!(audit(&[]).violations.len(), 1);
}

#[test]
fn a_mass_removal_may_await_confirmation_but_a_drain_may_not() {
    let record = |draining: &str, sent_at: f64, doubt: &str| {
        entries(&format!(
            r#"{{"t":0.0,"who":"driver","ev":"rules","drain_grace_s":0.5,"hold_limit_s":0.5,"slack_s":0.1,"routes":{{}}{doubt}}}
{{"t":1.0,"who":"list","ev":"told","node":"n0","in":["w0","w1","w2","w3"],"draining":[]}}
{{"t":2.0,"who":"list","ev":"told","node":"n0","in":[],"draining":[{draining}]}}
{{"t":{sent_at},"who":"w1","ev":"send","req":"q9","send":"s","node":"n0","role":"write","work":0.1}}
"#
        ))
    };
    let doubt = r#","doubt_share":0.34,"doubt_least":2,"doubt_s":10.0"#;
    let violations =
        |draining, sent_at, doubt| audit(&record(draining, sent_at, doubt)).count(Rule::SendToDraining);
    assert_eq!((violations("", 4.0, ""), violations("", 4.0, doubt), violations("", 13.0, doubt)), (1, 0, 1));
    assert_eq!(violations("\"w1\"", 4.0, doubt), 1);
    assert_eq!(audit(&record("", 4.0, doubt)).unconfirmed_removal_attempts, 1);
}
