//! Checks that stores written by an earlier release are opened and restored. `fixtures/32b5283/README.md`
//! describes how the files were made.

use nickelgw_store::core::write_buffer::{RestoredRecord, WriteBuffer, WriteBufferConfig};
use nickelgw_store::core::RecordKind;
use nickelgw_store::Store;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Time shortly after the last write to the fixtures, in seconds since 1970.
const SHORTLY_AFTER_UNIX_S: f64 = 1_796_219_380.0;

/// Temporary copy of a fixture, since opening a store may write to it.
struct FixtureCopy(PathBuf);

/// Number of copies made by this process. Each test uses its own copy, since a store is locked while it is
/// open.
static COPIES: AtomicU32 = AtomicU32::new(0);

impl FixtureCopy {
    fn new(file: &str) -> FixtureCopy {
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/32b5283").join(file);
        let number = COPIES.fetch_add(1, Ordering::Relaxed);
        let name = format!("nickelgw-compatibility-{}-{number}-{file}", std::process::id());
        let copy = std::env::temp_dir().join(name);
        std::fs::copy(fixture, &copy).unwrap();
        FixtureCopy(copy)
    }
}

impl Drop for FixtureCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn restore(file: &str, now_unix_s: f64) -> (WriteBuffer, Vec<RestoredRecord>) {
    let copy = FixtureCopy::new(file);
    let (_store, records) = Store::open(&copy.0).unwrap();
    let mut buffer = WriteBuffer::new(WriteBufferConfig::default());
    let restored = buffer.restore(0.0, now_unix_s, records);
    (buffer, restored)
}

fn of_kind(records: &[RestoredRecord], kind: RecordKind) -> Vec<&RestoredRecord> {
    records.iter().filter(|record| record.kind == kind).collect()
}

#[test]
fn node_store_of_an_earlier_release_is_restored() {
    let (buffer, records) = restore("node.store", SHORTLY_AFTER_UNIX_S);
    assert_eq!((records.len(), buffer.counters.damaged, buffer.counters.expired), (3, 0, 0));
    assert!(buffer.is_clean(), "restoring rewrote records");
    assert!(records.iter().all(|record| record.age_s.is_some_and(|age_s| (0.0..60.0).contains(&age_s))));

    let learned_state = of_kind(&records, RecordKind::LearnedState);
    assert_eq!(learned_state.len(), 1);
    assert!(learned_state[0].key.is_empty());
    let text = std::str::from_utf8(&learned_state[0].value).unwrap();
    assert!(text.starts_with(r#"{"figures":[4.34508340877786,6.0,"#), "{text}");
    assert!(text.contains(r#""engines":[{"id":"w0","started":null,"faults":2.6532131490676205,"#), "{text}");

    let keys = of_kind(&records, RecordKind::IdempotencyKey);
    assert_eq!(keys.len(), 2);
    assert!(keys.iter().all(|record| record.key.len() == 32 && record.value.len() == 32), "{keys:?}");
    assert_ne!(keys[0].key, keys[1].key);
    assert_eq!(
        keys[0].value, keys[1].value,
        "the stored values differ although both requests had the same body"
    );
}

#[test]
fn deferred_store_of_an_earlier_release_is_restored() {
    let (buffer, records) = restore("deferred.store", SHORTLY_AFTER_UNIX_S);
    assert_eq!((records.len(), buffer.counters.damaged, buffer.counters.expired), (2, 0, 0));
    let tickets: Vec<u128> = of_kind(&records, RecordKind::DeferredRequest)
        .iter()
        .map(|record| u128::from_be_bytes(record.key.clone().try_into().unwrap()))
        .collect();
    // Tickets that the clients received.
    assert_eq!(tickets, [0x258fb6fc37ce6666124ededc3a0bd1ef, 0xc79fab7a9349e651110ddc9ca724107f]);
}

#[test]
fn records_of_an_earlier_release_expire_by_the_retention_of_their_kind() {
    let eleven_minutes_later = SHORTLY_AFTER_UNIX_S + 660.0;
    assert_eq!(restore("node.store", eleven_minutes_later).1, []);
    assert_eq!(restore("deferred.store", eleven_minutes_later).1.len(), 2);
}
