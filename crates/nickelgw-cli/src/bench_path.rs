//! `nickelgw bench-path`: what grants, keys, ledger and store cost, what stalled clients hold, what a take-over adds.

use crate::bench::{fleet, load, quick, Fleet, Point, WIDE};
use crate::rehearse::rest;
use crate::Unusable;
use hdrhistogram::Histogram;
use nickelgw_chat::core::grant::{grant, GrantChecker, GrantClaims, GrantKey};
use nickelgw_chat::core::idempotency::{self, IdempotencyKey, IdempotencyTable, KeyLookup, RunOutcome};
use nickelgw_chat::core::retry_budget::{self, RetryBudget};
use nickelgw_node_core::ledger::{Ledger, ReservationId};
use nickelgw_node_core::{Endpoint, Reservation};
use nickelgw_store::core::write_buffer::{Batch, Waiter, WriteBuffer, WriteBufferConfig};
use nickelgw_store::core::RecordKind;
use nickelgw_store::Store;
use nickelgw_test_servers::client;
use serde_json::json;
use smol::io::AsyncWriteExt;
use smol::LocalExecutor;
use std::collections::HashMap;
use std::hint::black_box;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct BenchPath {
    /// Clients that take nothing of their streams.
    #[arg(long, default_value_t = 1000)]
    stalled: usize,
    /// Seconds of each measurement under load.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
}

/// Nanoseconds of one call, the median of five rounds.
fn ns(name: &str, mut f: impl FnMut(u64)) {
    const CALLS: u64 = 40_000;
    let mut rounds: Vec<f64> = (0..5)
        .map(|r| {
            let from = Instant::now();
            (r * CALLS..(r + 1) * CALLS).for_each(&mut f);
            from.elapsed().as_nanos() as f64 / CALLS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    println!("  {name:<44} {:>7.0} ns ({:.0} to {:.0})", rounds[2], rounds[0], rounds[4]);
}

fn calls() {
    println!("one call, median of 5 rounds of 40000 (least to most):");
    let key = |n| GrantKey::of(n, "a secret of some length").expect("long enough");
    let g = GrantClaims {
        reservation: "node0-1234-17a0b-1",
        prefill_engine: "read0",
        decode_engine: "write0",
        expires_at: 0.0,
    };
    ns("a grant made", |n| drop(black_box(grant(&key(1), &GrantClaims { expires_at: n as f64, ..g }))));
    let mut checker = GrantChecker::new([key(1)]);
    let made: Vec<String> =
        (0..200_000).map(|n| grant(&key(1), &GrantClaims { expires_at: 1e6 + n as f64, ..g })).collect();
    ns("a grant checked and remembered", |n| {
        black_box(checker.check(1.0, &made[n as usize], &g)).expect("sound and new");
    });
    let mut table = IdempotencyTable::new(idempotency::IdempotencyConfig::default());
    ns("a key entered and its run ended", |n| {
        let key = IdempotencyKey::new("tenant", &n.to_string());
        if let KeyLookup::New(s) = table.look_up(n as f64 * 1e-3, key, [1; 32], true) {
            table.response_ended(n as f64 * 1e-3, s, RunOutcome::Completed);
        }
    });
    let mut budget = RetryBudget::new(retry_budget::RetryBudgetConfig::default(), 1);
    ns("a retry judged", |n| {
        black_box(budget.admit(n as f64 * 1e-3, 0, 0, Some((n % 4) as u32), [0; 16]));
    });
    let mut ledger = Ledger::new(0.5, 5.0);
    let reader = Rc::new(Endpoint { id: "r".into(), address: "a".into(), tls_name: None });
    ns("a state's way through the ledger", |n| {
        let (now, h) = (n as f64 * 1e-3, ReservationId { owner: n, prefill: 0 });
        ledger.prefill_begins(
            now,
            h,
            Reservation { name: "".into(), prefill_engine: reader.clone(), named_after_request: false },
        );
        ledger.prefill_done(now, h);
        black_box(ledger.claim(now, n, 1));
        ledger.claim_served(now, n, 1);
        black_box(ledger.poll_releases(now));
    });
}

fn us(h: &Histogram<u64>, q: f64) -> f64 {
    h.value_at_quantile(q) as f64 / 1e3
}

fn store(seconds: f64) -> Result<(), Unusable> {
    let path = std::env::temp_dir().join(format!("nickelgw-bench-store-{}", std::process::id()));
    let wrong = |e: nickelgw_store::StoreError| Unusable(e.to_string());
    println!("the store, 1000 records a second, each waited for:");
    {
        let (store, _) = Store::open(&path).map_err(wrong)?;
        let mut shelf = WriteBuffer::new(WriteBufferConfig::default());
        let mut waits = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("a valid range");
        let mut commits = waits.clone();
        let (from, mut n, mut put_at) = (Instant::now(), 0u64, HashMap::new());
        while from.elapsed().as_secs_f64() < seconds {
            let now = from.elapsed().as_secs_f64();
            while (n as f64) < now * 1000.0 {
                n += 1;
                // Its wait counts from when it was due: a commit that holds others up is seen.
                put_at.insert(Waiter(n), n as f64 / 1000.0);
                let key = blake3::hash(&n.to_le_bytes());
                shelf.put(
                    now,
                    1e9 + now,
                    (RecordKind::IdempotencyKey, key.as_bytes()),
                    &[7; 32],
                    Some(Waiter(n)),
                );
            }
            if let (Some(batch), _) = shelf.poll_batch(now) {
                let began = Instant::now();
                store.commit(&batch).map_err(wrong)?;
                commits.saturating_record(began.elapsed().as_nanos() as u64);
                let now = from.elapsed().as_secs_f64();
                for (w, _) in shelf.commit_finished(now, batch.number, true) {
                    let waited = now - put_at.remove(&w).unwrap_or(now);
                    waits.saturating_record((waited * 1e9) as u64);
                }
            } else {
                std::thread::sleep(Duration::from_micros(200));
            }
        }
        let a = shelf.counters;
        println!(
            "  a commit: p50 {:.0} us, p99 {:.0} us; {} of them",
            us(&commits, 0.5),
            us(&commits, 0.99),
            a.commits
        );
        println!(
            "  a record's wait until it is on disk: p50 {:.0} us, p99 {:.0} us",
            us(&waits, 0.5),
            us(&waits, 0.99)
        );
        println!("  {:.0} KiB a second handed to the file", a.written_bytes as f64 / 1024.0 / seconds);
    }
    std::fs::remove_file(&path)?;
    for records in [1_000u64, 10_000, 60_000] {
        {
            let (store, _) = Store::open(&path).map_err(wrong)?;
            let mut shelf = WriteBuffer::new(WriteBufferConfig::default());
            for n in 0..records {
                let key = blake3::hash(&n.to_le_bytes());
                shelf.put(0.0, 1e9, (RecordKind::IdempotencyKey, key.as_bytes()), &[7; 32], None);
            }
            let mut now = 10.0;
            while !shelf.is_clean() {
                let batch: Batch = shelf.poll_batch(now).0.unwrap_or_default();
                store.commit(&batch).map_err(wrong)?;
                shelf.commit_finished(now, batch.number, true);
                now += 10.0;
            }
        }
        let size = std::fs::metadata(&path)?.len();
        let from = Instant::now();
        let (store, found) = Store::open(&path).map_err(wrong)?;
        let opened = from.elapsed();
        let mut shelf = WriteBuffer::new(WriteBufferConfig::default());
        let n = shelf.restore(0.0, 1e9 + 1.0, found).len();
        let whole = from.elapsed();
        drop(store);
        println!(
            "  {n} records, {:.1} MiB: read in {:.1} ms, believed after {:.1} ms",
            size as f64 / f64::from(1 << 20),
            1e3 * opened.as_secs_f64(),
            1e3 * whole.as_secs_f64()
        );
        std::fs::remove_file(&path)?;
    }
    Ok(())
}

/// Requests that may not run twice, each under a key, one every 20 ms: first byte of the answer.
async fn keyed(f: &Fleet, requests: usize) -> Histogram<u64> {
    let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("a valid range");
    let body = json!({"model": "booking", "max_tokens": 1, "messages": [{"role": "user", "content": "pay"}]})
        .to_string();
    for n in 0..requests {
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: k{n}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let from = Instant::now();
        let answer = client::send_raw(&f.lane.node, &[text.as_bytes()], 0.0, 5.0).await;
        if client::response_status(&answer) == 200 {
            h.saturating_record(from.elapsed().as_nanos() as u64);
        }
        rest(0.02 - from.elapsed().as_secs_f64()).await;
    }
    h
}

const BOOKING: &str = "model_route { model: 'booking' first_token_target_ms: 1000 route_timeout_ms: 5000 repeat: NON_RETRIABLE }";

impl BenchPath {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        calls();
        store(self.seconds)?;
        let ex = Rc::new(LocalExecutor::new());
        smol::block_on(ex.run(self.fleets(ex.clone())))?;
        Ok(ExitCode::SUCCESS)
    }

    async fn fleets(&self, ex: Rc<LocalExecutor<'static>>) -> Result<(), Unusable> {
        println!("a keyed request that may not run twice, 50 a second, whole answer of one token:");
        let kept = std::env::temp_dir().join(format!("nickelgw-bench-kept-{}", std::process::id()));
        for (name, more) in
            [("without a store", String::new()), ("with a store", format!("store: '{}'", kept.display()))]
        {
            let f = fleet(&ex, "keyed", 2, quick(), &format!("{WIDE} {BOOKING} {more}")).await?;
            keyed(&f, 25).await;
            let h = keyed(&f, 250).await;
            println!("  {name:<16} p50 {:.0} us, p99 {:.0} us, of {}", us(&h, 0.5), us(&h, 0.99), h.len());
            f.end().await;
        }
        let _ = std::fs::remove_file(kept);

        let f = fleet(
            &ex,
            "stalled",
            4,
            quick(),
            "limits { most_idle_connections: 4096 client_stall_ms: 20000 most_waiting: 1024 }",
        )
        .await?;
        load(&ex, &f.lane, 200.0, 2.0, 20, &[true]).await;
        for w in &f.lane.writers {
            client::control(&w.0, &json!({"fault": "pad", "bytes": 8192})).await;
        }
        let (_, before) = f.node_uses();
        let body = json!({"model": "chat", "stream": true, "max_tokens": 200, "messages": [{"role": "user", "content": "hi"}]}).to_string();
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut clients = Vec::new();
        for _ in 0..self.stalled {
            let mut s = smol::net::TcpStream::connect(&f.lane.node).await?;
            s.write_all(text.as_bytes()).await?;
            clients.push(s);
            rest(0.002).await;
        }
        rest(6.0).await;
        let (_, during) = f.node_uses();
        println!(
            "{} clients that take nothing, answers of 1.6 MB: {:.0} KiB of the node's memory each ({:.0} MiB in all)",
            self.stalled,
            (during - before) / self.stalled.max(1) as f64,
            (during - before) / 1024.0
        );
        drop(clients);
        f.end().await;

        println!("a take-over, 100 requests a second of 20 tokens, first token from the intended start:");
        for renewed in [false, true] {
            let f = fleet(
                &ex,
                "over",
                2,
                quick(),
                &format!("{WIDE} leaving {{ notice_ms: 500 grace_ms: 5000 }}"),
            )
            .await?;
            load(&ex, &f.lane, 100.0, 1.0, 20, &[true]).await;
            let pid = f.node.id().to_string();
            let told = ex.spawn(async move {
                rest(1.0).await;
                if renewed {
                    let _ = smol::process::Command::new("kill").args(["-HUP", &pid]).status().await;
                }
            });
            let p: Vec<Point> = load(&ex, &f.lane, 100.0, self.seconds, 20, &[true]).await;
            told.await;
            let word = if renewed { "taken over" } else { "left alone" };
            let at = |q| Point::us(&p[0].first, q);
            println!(
                "  {word}: p50 {:.0} us, p99 {:.0} us, longest {:.0} us, failed {}",
                at(0.5),
                at(0.99),
                at(1.0),
                p[0].failed
            );
            // The new process is no child of this one: its log says who it is.
            let log = std::fs::read_to_string(f.dir.join("log")).unwrap_or_default();
            let new = log.lines().rev().find_map(|l| {
                let v: serde_json::Value = serde_json::from_str(l).ok()?;
                v["process"].as_u64()
            });
            if let Some(new) = new {
                let _ = smol::process::Command::new("kill").args(["-TERM", &new.to_string()]).status().await;
            }
            f.end().await;
        }
        Ok(())
    }
}
