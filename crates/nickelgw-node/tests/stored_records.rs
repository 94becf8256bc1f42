//! Tests that the modules read the values that an earlier release stored. The files are those in
//! `crates/nickelgw-store/tests/fixtures/32b5283`.

use nickelgw_deferred::core::record::{DeferredRecord, DeferredState};
use nickelgw_node_core::warm_state;
use nickelgw_protocol::list::{EndpointList, EngineRole, EngineState};
use nickelgw_store::core::write_buffer::{RestoredRecord, WriteBuffer};
use nickelgw_store::core::RecordKind;
use nickelgw_store::Store;
use std::path::{Path, PathBuf};

/// Time shortly after the last write of the fixtures, in seconds since 1970.
const SHORTLY_AFTER_UNIX_S: f64 = 1_796_219_380.0;

fn fixture(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../nickelgw-store/tests/fixtures/32b5283").join(file)
}

/// Returns the records of a fixture. Opens a copy of the file, as opening a store may write to it.
fn restore(file: &str) -> Vec<RestoredRecord> {
    let copy = std::env::temp_dir().join(format!("nickelgw-stored-records-{}-{file}", std::process::id()));
    std::fs::copy(fixture(file), &copy).unwrap();
    let (store, records) = Store::open(&copy).unwrap();
    drop(store);
    std::fs::remove_file(&copy).unwrap();
    WriteBuffer::new(Default::default()).restore(0.0, SHORTLY_AFTER_UNIX_S, records)
}

/// Returns a JSON text with each number outside strings replaced by `#`, and the list of these numbers.
fn split_numbers(json: &str) -> (String, Vec<f64>) {
    let (mut text, mut numbers, mut in_string) = (String::new(), Vec::new(), false);
    let mut rest = json;
    while let Some(first) = rest.chars().next() {
        in_string ^= first == '"';
        let is_number = |character: char| character.is_ascii_digit() || "+-.eE".contains(character);
        let end = rest.find(|character| !is_number(character)).unwrap_or(rest.len());
        if !in_string && first.is_ascii_digit() {
            text.push('#');
            numbers.push(rest[..end].parse().unwrap());
            rest = &rest[end..];
        } else {
            text.push(first);
            rest = &rest[first.len_utf8()..];
        }
    }
    (text, numbers)
}

#[test]
fn learned_state_of_an_earlier_release_is_read() {
    let records = restore("node.store");
    let stored = records.iter().find(|record| record.kind == RecordKind::LearnedState).unwrap();
    let learned = warm_state::decode(&stored.value, 0.0).unwrap();
    assert_eq!(learned.averages.len(), 21);
    assert_eq!(learned.averages[..3], [4.34508340877786, 6.0, 0.049116128454386794]);
    assert_eq!(learned.engines.len(), 1);
    assert_eq!(learned.engines[0].id, "w0");
    assert_eq!(learned.engines[0].started_at, None);
    assert_eq!(learned.engines[0].recent_failures, 2.6532131490676205);
    assert_eq!(learned.engines[0].last_failure_at, 1796219370.6095526);
    // The state that is written again has the same fields in the same order, so that an earlier release could
    // read it too. The numbers are compared by value, as serde_json may read a float with a small error in
    // its last digit.
    let written = String::from_utf8(warm_state::encode(&learned, 0.0)).unwrap();
    let stored = String::from_utf8(stored.value.clone()).unwrap();
    let (written_text, written_numbers) = split_numbers(&written);
    let (stored_text, stored_numbers) = split_numbers(&stored);
    assert_eq!(written_text, stored_text);
    assert_eq!(written_numbers.len(), stored_numbers.len());
    for (number, expected) in written_numbers.iter().zip(&stored_numbers) {
        assert!(
            (number - expected).abs() <= 4.0 * f64::EPSILON * expected.abs(),
            "{number} is not {expected}"
        );
    }
}

#[test]
fn deferred_requests_of_an_earlier_release_are_read() {
    let records = restore("deferred.store");
    let requests: Vec<DeferredRecord> =
        records.iter().map(|record| DeferredRecord::decode(&record.value).unwrap()).collect();
    assert_eq!(requests.len(), 2);
    let [waiting, answered] = &requests[..] else { unreachable!() };
    assert_eq!((waiting.model.as_str(), &waiting.state), ("chat", &DeferredState::Queued));
    assert!(std::str::from_utf8(&waiting.body).unwrap().contains(r#""content":"waiting""#));
    assert!((waiting.deadline - waiting.queued_at - 86_000.0).abs() < 1e-3);
    let DeferredState::Finished { answer, .. } = &answered.state else { panic!("{:?}", answered.state) };
    assert_eq!(answer.status, 200);
    assert!(std::str::from_utf8(&answer.body).unwrap().contains("w0 w1 w2 w3 w4 w5 w6 w7"));
    for (record, request) in records.iter().zip(&requests) {
        assert_eq!(request.encode(), record.value, "the encoded request differs from the stored record");
    }
}

#[test]
fn last_list_of_an_earlier_release_is_read() {
    let list = EndpointList::parse(&std::fs::read(fixture("last_list.json")).unwrap()).unwrap();
    let entries: Vec<_> =
        list.engines.iter().map(|entry| (entry.id.as_str(), entry.role, entry.state)).collect();
    let active = EngineState::Active;
    assert_eq!(entries, [("r0", EngineRole::Prefill, active), ("w0", EngineRole::Decode, active)]);
    assert_eq!(list.revision, 1);
}
