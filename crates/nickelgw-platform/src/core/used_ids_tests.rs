use super::*;

#[test]
fn removed_id_is_unused_and_comes_back() {
    let mut ids = UsedIds::default();
    ids.insert("a");
    assert!(ids.contains("a") && !ids.contains("b"));
    ids.remove("a");
    assert!(!ids.contains("a"));
    ids.insert("a");
    assert!(ids.contains("a"));
}

/// Under ever new ids the memory stays bounded, and the latest ids are kept, also those that were removed in between.
#[test]
fn oldest_ids_are_forgotten_first() {
    let mut ids = UsedIds::default();
    ids.insert("again");
    ids.remove("again");
    for number in 0..MAX_IDS - 1 {
        ids.insert(&number.to_string());
    }
    ids.insert("again");
    assert!(ids.contains("again") && ids.contains("0"));
    for number in MAX_IDS..2 * MAX_IDS - 1 {
        ids.insert(&number.to_string());
    }
    assert!(ids.contains("again") && !ids.contains("0"));
    assert!(ids.order.len() <= MAX_IDS && ids.insertions.len() <= MAX_IDS);
}

#[test]
fn further_attempts_of_a_request_displace_no_other_id() {
    let mut ids = UsedIds::default();
    ids.insert("first");
    for _ in 0..2 * MAX_IDS {
        ids.insert("second");
    }
    assert!(ids.contains("first") && ids.contains("second"));
}
