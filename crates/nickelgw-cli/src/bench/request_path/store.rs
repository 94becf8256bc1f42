//! Cost of the store: commits, the waits for them, and the opening of a store that has records.

use super::{MAX_TIME_NS, NS_PER_US};
use crate::bench::statistics::{new_histogram, quantile};
use crate::bench::temporary_path;
use crate::error::CommandError;
use hdrhistogram::Histogram;
use nickelgw_store::core::write_buffer::{Batch, Waiter, WriteBuffer, WriteBufferConfig};
use nickelgw_store::core::RecordKind;
use nickelgw_store::Store;
use std::collections::HashMap;
use std::path::Path;
use std::time::{Duration, Instant};

const RECORDS_PER_S: f64 = 1000.0;
/// Expiry of the records, far enough in the future that none expires.
const EXPIRY_S: f64 = 1e9;
const VALUE: [u8; 32] = [7; 32];
/// Numbers of records in the stores that are opened.
const STORE_SIZES: [u64; 3] = [1_000, 10_000, 60_000];
/// Interval between batches, longer than the write buffer waits for a batch to fill.
const BATCH_INTERVAL_S: f64 = 10.0;
const BYTES_PER_MIB: f64 = (1 << 20) as f64;

pub(super) fn measure(duration_s: f64) -> Result<(), CommandError> {
    let path = temporary_path("store");
    println!("the store, 1000 records a second, each waited for:");
    measure_writes(&path, duration_s)?;
    std::fs::remove_file(&path)?;
    for records in STORE_SIZES {
        fill(&path, records)?;
        measure_open(&path)?;
        std::fs::remove_file(&path)?;
    }
    Ok(())
}

fn store_error(error: nickelgw_store::StoreError) -> CommandError {
    CommandError(error.to_string())
}

fn put_record(buffer: &mut WriteBuffer, now: f64, expires_at: f64, number: u64, waiter: Option<Waiter>) {
    let key = blake3::hash(&number.to_le_bytes());
    buffer.put(now, expires_at, (RecordKind::IdempotencyKey, key.as_bytes()), &VALUE, waiter);
}

/// Times of one run of writes, in nanoseconds.
struct WriteTimes {
    commits: Histogram<u64>,
    /// Times from a record's intended time until it is on disk, so that a commit that delays other records
    /// shows.
    waits: Histogram<u64>,
}

fn measure_writes(path: &Path, duration_s: f64) -> Result<(), CommandError> {
    let (store, _) = Store::open(path).map_err(store_error)?;
    let mut buffer = WriteBuffer::new(WriteBufferConfig::default());
    let mut times = WriteTimes { commits: new_histogram(MAX_TIME_NS), waits: new_histogram(MAX_TIME_NS) };
    let (began, mut records, mut intended) = (Instant::now(), 0u64, HashMap::new());
    while began.elapsed().as_secs_f64() < duration_s {
        let now = began.elapsed().as_secs_f64();
        while (records as f64) < now * RECORDS_PER_S {
            records += 1;
            intended.insert(Waiter(records), records as f64 / RECORDS_PER_S);
            put_record(&mut buffer, now, EXPIRY_S + now, records, Some(Waiter(records)));
        }
        let (Some(batch), _) = buffer.poll_batch(now) else {
            std::thread::sleep(Duration::from_micros(200));
            continue;
        };
        let commit_began = Instant::now();
        store.commit(&batch).map_err(store_error)?;
        times.commits.saturating_record(commit_began.elapsed().as_nanos() as u64);
        let now = began.elapsed().as_secs_f64();
        for (waiter, _) in buffer.commit_finished(now, batch.number, true) {
            let waited_s = now - intended.remove(&waiter).unwrap_or(now);
            times.waits.saturating_record((waited_s * 1e9) as u64);
        }
    }
    print_writes(&times, &buffer, duration_s);
    Ok(())
}

fn print_writes(times: &WriteTimes, buffer: &WriteBuffer, duration_s: f64) {
    let us = |histogram, at| quantile(histogram, at, NS_PER_US);
    println!(
        "  a commit: p50 {:.0} us, p99 {:.0} us; {} of them",
        us(&times.commits, 0.5),
        us(&times.commits, 0.99),
        buffer.counters.commits
    );
    println!(
        "  a record's wait until it is on disk: p50 {:.0} us, p99 {:.0} us",
        us(&times.waits, 0.5),
        us(&times.waits, 0.99)
    );
    let kib_per_s = buffer.counters.written_bytes as f64 / 1024.0 / duration_s;
    println!("  {kib_per_s:.0} KiB a second handed to the file");
}

fn fill(path: &Path, records: u64) -> Result<(), CommandError> {
    let (store, _) = Store::open(path).map_err(store_error)?;
    let mut buffer = WriteBuffer::new(WriteBufferConfig::default());
    for number in 0..records {
        put_record(&mut buffer, 0.0, EXPIRY_S, number, None);
    }
    let mut now = BATCH_INTERVAL_S;
    while !buffer.is_clean() {
        let batch: Batch = buffer.poll_batch(now).0.unwrap_or_default();
        store.commit(&batch).map_err(store_error)?;
        buffer.commit_finished(now, batch.number, true);
        now += BATCH_INTERVAL_S;
    }
    Ok(())
}

fn measure_open(path: &Path) -> Result<(), CommandError> {
    let bytes = std::fs::metadata(path)?.len();
    let began = Instant::now();
    let (store, found) = Store::open(path).map_err(store_error)?;
    let opened = began.elapsed();
    let mut buffer = WriteBuffer::new(WriteBufferConfig::default());
    let records = buffer.restore(0.0, EXPIRY_S + 1.0, found).len();
    let restored = began.elapsed();
    drop(store);
    println!(
        "  {records} records, {:.1} MiB: read in {:.1} ms, believed after {:.1} ms",
        bytes as f64 / BYTES_PER_MIB,
        1e3 * opened.as_secs_f64(),
        1e3 * restored.as_secs_f64()
    );
    Ok(())
}
