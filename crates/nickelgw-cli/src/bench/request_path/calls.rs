//! Times of single calls to the state machines of the request path.

use crate::bench::statistics::Summary;
use nickelgw_chat::core::grant::{grant, GrantChecker, GrantClaims, GrantKey};
use nickelgw_chat::core::idempotency::{self, IdempotencyKey, IdempotencyTable, KeyLookup, RunOutcome};
use nickelgw_chat::core::retry_budget::{self, RetryBudget};
use nickelgw_node_core::ledger::{Ledger, ReservationId};
use nickelgw_node_core::{Endpoint, Reservation};
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

const ROUNDS: u64 = 5;
const CALLS: u64 = 40_000;
const CLAIMS: GrantClaims<'static> = GrantClaims {
    reservation: "node0-1234-17a0b-1",
    prefill_engine: "read0",
    decode_engine: "write0",
    expires_at: 0.0,
};

pub(super) fn measure() {
    println!("one call, median of 5 rounds of 40000 (least to most):");
    measure_grants();
    measure_idempotency_table();
    measure_retry_budget();
    measure_ledger();
}

/// Measures and prints the time of one call; calls are numbered consecutively through all rounds.
fn measure_call(name: &str, mut call: impl FnMut(u64)) {
    let rounds = (0..ROUNDS).map(|round| {
        let began = Instant::now();
        (round * CALLS..(round + 1) * CALLS).for_each(&mut call);
        began.elapsed().as_nanos() as f64 / CALLS as f64
    });
    let Summary { median, min, max } = Summary::of(rounds.collect());
    println!("  {name:<44} {median:>7.0} ns ({min:.0} to {max:.0})");
}

fn measure_grants() {
    let key = |number| GrantKey::of(number, "a secret of some length").expect("the secret is long enough");
    measure_call("a grant made", |n| {
        drop(black_box(grant(&key(1), &GrantClaims { expires_at: n as f64, ..CLAIMS })));
    });
    let mut checker = GrantChecker::new([key(1)]);
    let grants: Vec<String> = (0..ROUNDS * CALLS)
        .map(|n| grant(&key(1), &GrantClaims { expires_at: 1e6 + n as f64, ..CLAIMS }))
        .collect();
    measure_call("a grant checked and remembered", |n| {
        black_box(checker.check(1.0, &grants[n as usize], &CLAIMS)).expect("each grant is valid and new");
    });
}

fn measure_idempotency_table() {
    let mut table = IdempotencyTable::new(idempotency::IdempotencyConfig::default());
    measure_call("a key entered and its run ended", |n| {
        let (now, key) = (n as f64 * 1e-3, IdempotencyKey::new("tenant", &n.to_string()));
        if let KeyLookup::New(slot) = table.look_up(now, key, [1; 32], true) {
            table.response_ended(now, slot, RunOutcome::Completed);
        }
    });
}

fn measure_retry_budget() {
    let mut budget = RetryBudget::new(retry_budget::RetryBudgetConfig::default(), 1);
    measure_call("a retry judged", |n| {
        black_box(budget.admit(n as f64 * 1e-3, 0, 0, Some((n % 4) as u32), [0; 16]));
    });
}

fn measure_ledger() {
    let mut ledger = Ledger::new(0.5, 5.0);
    let prefill_engine = Rc::new(Endpoint { id: "r".into(), address: "a".into(), tls_name: None });
    measure_call("a state's way through the ledger", |n| {
        let (now, id) = (n as f64 * 1e-3, ReservationId { owner: n, prefill: 0 });
        let reservation = Reservation {
            name: "".into(),
            prefill_engine: prefill_engine.clone(),
            named_after_request: false,
        };
        ledger.prefill_begins(now, id, reservation);
        ledger.prefill_done(now, id);
        black_box(ledger.claim(now, n, 1));
        ledger.claim_served(now, n, 1);
        black_box(ledger.poll_releases(now));
    });
}
