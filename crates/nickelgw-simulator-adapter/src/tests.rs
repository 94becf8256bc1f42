use crate::session::run;
use nickelgw_platform_config::fields::ConfigError;
use test_case::test_case;

const PROVISION: &str = r#"{"kind":"PROVISION","i":1,"prng":5,"options":{"accounts":[],"az":"east","balancers":1,
"charges":{"cross_zone":0.01},"classes":[{"name":"ask","slo_s":1.0,"idempotency":"pure","worth":1.0}],
"family_info":{"aim_us_per_1000_prompt_tokens":[40000.0],"kind_memory_tokens":[90000,90000],"local_read":false,
"release_s":0.5,"role_by_kind":["read","write"],"token_aim_s":[0.06],"transfer_price":0.04},
"kinds":["pre","dec"],"limits":{"cancel":true,"most_tries":4,"probes":true,"retry_after":false},"my_number":0,
"rules":{"cold_from":0.3,"fall_s":2.0,"tip_multiple":3.0,"warm_within_s":9.0},"tick_s":0.004,"zones":["east"]}}"#;
const PAGE: &str = r#"{"kind":"PAGE","list":0,"items":[
{"engine":"a:1","campus":"east","family_type":"pre","unit_group":0,"state":"IN","capacity_hint":1},
{"engine":"b:2","campus":"east","family_type":"dec","unit_group":0,"state":"IN","capacity_hint":1}]}"#;
const MEMBERSHIP: &str = r#"{"kind":"MEMBERSHIP","i":1,"revision":1,"list":0,"how":"cached"}"#;
const REQUEST: &str = r#"{"kind":"REQUEST","i":1,"req":77,"session":"s","cls":"ask","due_s":9.0,"prompt_len":900,"n_prefix":0}"#;

fn settled(n: u32, engine: &str, how: &str, over: bool) -> String {
    format!(
        r#"{{"kind":"SETTLED","i":1,"req":77,"n":{n},"engine":"{engine}","how":"{how}","delay_seen_s":0.1,"over":{over}}}"#
    )
}

/// Runs batches, each 0.1 s later than the one before, and returns the output.
fn run_batches(batches: &[&[&str]]) -> Result<String, ConfigError> {
    let mut input = String::new();
    for (index, batch) in batches.iter().enumerate() {
        input += &format!("{{\"kind\":\"CLOCK\",\"time_s\":{}}}\n", 1.0 + 0.1 * index as f64);
        for line in *batch {
            input += &format!("{}\n", line.replace('\n', ""));
        }
        input += "{\"kind\":\"OVER_TO_YOU\"}\n";
    }
    let mut output = Vec::new();
    run(input.as_bytes(), &mut output).map(|()| String::from_utf8(output).unwrap())
}

const START: &[&str] = &[PROVISION, PAGE, MEMBERSHIP];
/// Answer of the prefill engine to the probe that an arrival causes.
const PROBE_ANSWER: &[&str] =
    &[r#"{"kind":"PROBED","i":1,"engine":"a:1","how":"served","delay_seen_s":0.001}"#];

#[test]
fn a_request_is_prefilled_then_decoded() {
    let prefilled = settled(0, "a:1", "prefilled", false);
    let out = run_batches(&[START, &[REQUEST], PROBE_ANSWER, &[&prefilled]]).unwrap();
    let attempts: Vec<&str> = out.lines().filter(|line| line.contains("ATTEMPT")).collect();
    assert!(attempts[0].contains("a:1") && attempts[1].contains("b:2"), "{out}");
    assert_eq!(out.matches("DONE").count(), 4);
}

#[test]
fn events_of_a_closed_request_are_skipped() {
    let (prefilled, served) = (settled(0, "a:1", "prefilled", false), settled(1, "b:2", "served", true));
    let hangup = r#"{"kind":"HANGUP","i":1,"req":77}"#;
    assert!(
        run_batches(&[START, &[REQUEST], PROBE_ANSWER, &[&prefilled], &[&served, hangup], &[hangup]]).is_ok()
    );
}

#[test]
fn a_node_killed_and_provisioned_in_one_batch_starts_without_requests() {
    let killed = r#"{"kind":"KILLED","i":1}"#;
    let prefilled = settled(0, "a:1", "prefilled", false);
    let out = run_batches(&[
        START,
        &[REQUEST],
        PROBE_ANSWER,
        &[killed, PROVISION, PAGE, MEMBERSHIP],
        &[&prefilled],
    ])
    .unwrap();
    assert_eq!(out.matches("ATTEMPT").count(), 1);
}

#[test]
fn an_empty_batch_gets_a_reply_without_actions() {
    assert_eq!(run_batches(&[&[]]).unwrap(), "{\"kind\":\"DONE\"}\n");
}

#[test]
fn events_of_unknown_kinds_are_skipped() {
    assert!(run_batches(&[&[r#"{"kind":"WEATHER","i":1}"#, r#"{"kind":"TIDE"}"#]]).is_ok());
}

#[test]
fn equal_events_give_equal_actions() {
    let batches: &[&[&str]] =
        &[START, &[REQUEST], PROBE_ANSWER, &[&settled(0, "a:1", "server_error", false)]];
    assert_eq!(run_batches(batches).unwrap(), run_batches(batches).unwrap());
}

#[test]
fn an_outcome_of_an_attempt_never_made_is_an_error() {
    let ConfigError(message) =
        run_batches(&[START, &[REQUEST], PROBE_ANSWER, &[&settled(4, "a:1", "prefilled", false)]])
            .unwrap_err();
    assert!(message.contains("SETTLED: field n"), "{message}");
}

#[test_case("nonsense", "not JSON"; "not json")]
#[test_case("{}", "kind"; "no kind")]
#[test_case(r#"{"kind":"CLOCK"}"#, "CLOCK: field time_s"; "clock without time")]
#[test_case(r#"{"kind":"PAGE","list":0,"items":3}"#, "PAGE: field items"; "page without a list of items")]
#[test_case(r#"{"kind":"PROVISION","i":2}"#, "PROVISION: field options"; "provision without options")]
#[test_case(r#"{"kind":"PROVISION","i":"x"}"#, "PROVISION: field i"; "node number of the wrong type")]
#[test_case(r#"{"kind":"MEMBERSHIP","i":1,"list":9,"how":"full"}"#, "MEMBERSHIP: field list"; "unknown list")]
#[test_case(r#"{"kind":"REQUEST","i":1,"req":5,"cls":"other","due_s":3}"#, "REQUEST: field cls"; "unknown route")]
#[test_case(r#"{"kind":"REQUEST","i":1,"req":5,"cls":"ask"}"#, "REQUEST: field due_s"; "no deadline")]
#[test_case(r#"{"kind":"SETTLED","i":1,"req":5,"n":0,"how":"vanished"}"#, "SETTLED: field how"; "unknown outcome")]
fn invalid_input_is_an_error_that_names_the_field(line: &str, expected: &str) {
    let ConfigError(message) = run_batches(&[START, &[line]]).unwrap_err();
    assert!(message.contains(expected), "{message}");
}
