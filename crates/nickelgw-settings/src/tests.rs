use super::*;
use test_case::test_case;

const NODE: &str = include_str!("../../../examples/node.txtpb");
const DAY: &str = include_str!("../../../examples/bad-day.txtpb");

#[test]
fn example_files_are_valid() {
    let node = parse_node("node.txtpb", NODE).unwrap();
    assert!(deployment(&node).routes.len() >= 2);
    let fleet = parse_node("fleet-node.txtpb", include_str!("../../../examples/fleet-node.txtpb")).unwrap();
    assert_eq!(fleet.accord.map(|gossip| gossip.peer.len()), Some(2));
    let day = parse_day("bad-day.txtpb", DAY).unwrap();
    assert!(day.length_s < 60.0 && day.nodes() == 3 && engine_names(&day).len() >= 12);
}

#[test]
fn tls_fault_requires_a_tls_day() {
    let text = include_str!("../../../examples/bad-day-tls.txtpb");
    assert!(parse_day("t", text).unwrap().tls());
    assert!(parse_day("t", &text.replacen("tls: true", "", 1)).unwrap_err()[0]
        .to_string()
        .contains("tls: true"));
}

#[test_case("number: 0", "number: 9", "number", "below nodes"; "impossible number")]
#[test_case("route_timeout_ms: 5000", "route_timeout_ms: 50", "model_route.route_timeout_ms", "first_token_target_ms or more"; "timeout below target")]
#[test_case("zone: \"north\"", "zone: \"nowhere\"", "zone", "one of zones"; "unknown zone")]
#[test_case("quota_per_s: 20", "quota_per_s: -1", "tenant.quota_per_s", "above zero"; "negative quota")]
#[test_case("model: \"review\"", "model: \"chat\"", "model_route[1].model", "each name once"; "same name twice")]
#[test_case("most_open: 20000", "most_open: 0", "limits.most_open", "above zero"; "zero limit")]
#[test_case("dedupe_memory_ms: 5000", "", "model_route[1].dedupe_memory_ms", "remember"; "no memory span")]
#[test_case("hold_limit_ms: 500", "hold_limit_ms: 9000", "rules.hold_limit_ms", "shortest route timeout"; "hold beyond timeout")]
#[test_case("list: \"127.0.0.1:8090\"", "list: \"here\"", "list", "host:port"; "list address without a port")]
#[test_case("limits {", "engine_tls { trust: 'r.pem' key: 'k' }\nlimits {", "engine_tls.chain", "both"; "a key without its chain")]
#[test_case("limits {", "accord { listen: '10.0.0.4' key: 'a secret of 16 bytes' }\nlimits {", "accord.listen", "host:port"; "no port for datagrams")]
#[test_case("limits {", "accord { listen: 'h:1' key: 'short' }\nlimits {", "accord.key", "16 bytes"; "a key that is too short")]
#[test_case("limits {", "accord { listen: 'h:1' peer: 'there' key: 'a secret of 16 bytes' }\nlimits {", "accord.peer", "host:port"; "a peer without a port")]
#[test_case("limits {", "accord { listen: 'h:1' key: 'a secret of 16 bytes' wait_ms: 9 longest_wait_ms: 5 }\nlimits {", "accord.longest_wait_ms", "wait_ms or more"; "a longest wait below the first")]
#[test_case("limits {", "parked { file: '' }\nlimits {", "parked.file", "a value that is not empty"; "no file for deferred requests")]
#[test_case("limits {", "parked { file: 'p' most_bytes: 999999999 }\nlimits {", "parked.most_bytes", "or less"; "size above the maximum of a file")]
fn invalid_field_is_reported_with_its_line(good: &str, bad: &str, field: &str, expected: &str) {
    assert!(NODE.contains(good), "the example does not contain {good}");
    let text = NODE.replacen(good, bad, 1);
    let errors = parse_node("n.txtpb", &text).unwrap_err();
    let SettingsError::Field { line, field: reported_field, expected: reported_expected, .. } = &errors[0]
    else {
        panic!("{errors:?}")
    };
    assert!(reported_field == field && reported_expected.contains(expected), "{errors:?}");
    let reported_line = text.lines().nth(line - 1).unwrap();
    let bad_line = bad.lines().next().unwrap_or("");
    assert!(
        bad.is_empty() || reported_line.contains(bad_line),
        "reported line {line} reads: {reported_line}"
    );
}

#[test]
fn syntax_error_is_reported_with_its_location() {
    let first_error = |text: &str| parse_node("n.txtpb", text).unwrap_err()[0].to_string();
    assert!(first_error(&format!("{NODE}\nwrong_name: 3\n"))
        .contains(&format!("line {}", NODE.lines().count() + 2)));
    assert!(first_error("name: ").contains("at the end"));
    assert!(load_node(Path::new("no/such/file")).unwrap_err()[0].to_string().contains("cannot be read"));
}

#[test_case("target: \"read-south0\"", "target: \"ghost\"", "an engine"; "unknown engine")]
#[test_case("kind: KILL_NODE", "kind: CUT_ZONE", "one of zones"; "a node as the target of a zone fault")]
fn invalid_day_is_rejected(good: &str, bad: &str, expected: &str) {
    assert!(DAY.contains(good), "the example does not contain {good}");
    let errors = parse_day("d.txtpb", &DAY.replacen(good, bad, 1)).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().contains(expected)), "{errors:?}");
}
