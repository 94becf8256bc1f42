//! Tests of learned state restored in the next process, of the limits and fair shares of tenants, and of
//! grants.

use super::*;
use nickelgw::interface::LearnedState;
use nickelgw_chat::core::grant::{GrantChecker, GrantClaims, GrantKey};
use nickelgw_tenants::core::fair_share;

/// Ends the attempts that the core starts now 0.1 s later; returns the prefill engines among them.
fn end_attempts(core: &mut NodeCore, now: f64, prefill_outcome: AttemptOutcome) -> Vec<String> {
    let mut prefill_engines = Vec::new();
    for command in core.poll_commands(now).commands {
        let Command::StartAttempt(attempt) = command else { continue };
        let is_prefill = attempt.kind == AttemptKind::Prefill;
        let outcome = if is_prefill { prefill_outcome } else { AttemptOutcome::Prefilled };
        core.attempt_ended(now + 0.1, attempt.request, attempt.attempt, result(outcome));
        prefill_engines.extend(is_prefill.then(|| attempt.engine.id.clone()));
    }
    prefill_engines
}

/// Disconnects a client and ends the attempts that the core then cancels or starts.
fn disconnect(core: &mut NodeCore, now: f64, request: RequestId) {
    core.client_disconnected(now, request);
    for command in core.poll_commands(now).commands {
        if let Command::StartAttempt(AttemptRequest { request, attempt, .. })
        | Command::CancelAttempt { request, attempt } = command
        {
            core.attempt_ended(now, request, attempt, result(AttemptOutcome::Cancelled));
        }
    }
}

#[test]
fn learned_state_is_restored_in_proportion_to_its_confidence() {
    let mut old = core(64);
    let (mut now, mut failed_engine) = (1.0, None);
    // Prefills take longer than first assumed, and those of the last request fail.
    for n in 0..3 {
        let fails = n == 2;
        let outcome = if fails { AttemptOutcome::ErrorStatus(500) } else { AttemptOutcome::Prefilled };
        let request = old.accept_request(now, &AdmittedRequest { timeout_s: 9.0, ..admitted(0) }).unwrap();
        for _ in 0..4 {
            let prefill_engines = end_attempts(&mut old, now, outcome);
            now += 0.1;
            failed_engine = failed_engine.or(prefill_engines.into_iter().next().filter(|_| fails));
        }
        disconnect(&mut old, now, request);
    }
    let record = old.learned_state(now);
    let learned = warm_state::decode(&record, 0.0).unwrap();
    let knows_failure = |state: &LearnedState| {
        state
            .engines
            .iter()
            .any(|engine| Some(&engine.id) == failed_engine.as_ref() && engine.recent_failures > 0.2)
    };
    assert!(knows_failure(&learned), "{learned:?}");
    // The next process starts later and has a different time zero.
    let restored = |confidence: f64| {
        let mut core = core(64);
        core.config.started_at_unix_s = now;
        assert!(core.restore_state(&record, confidence));
        core.update_endpoints(0.1, &list(2, &[EngineState::Active; 8]));
        warm_state::decode(&core.learned_state(0.2), now).unwrap()
    };
    let (whole, half, none) = (restored(1.0), restored(0.5), restored(0.0));
    assert_eq!(whole.averages, learned.averages);
    let prompt = |state: &LearnedState| state.averages[1];
    assert!(prompt(&none) == 0.0 && prompt(&half) == prompt(&whole) / 2.0);
    assert!(knows_failure(&whole) && none.engines.is_empty());
    let mut core = core(4);
    assert!(!core.restore_state(b"junk", 1.0));
    assert!(core.restore_state(br#"{"figures":[1,2],"engines":[]}"#, 1.0));
    core.update_endpoints(0.1, &list(2, &[EngineState::Active; 8]));
}

#[test]
fn tenant_over_its_fair_share_is_rejected_and_another_is_not() {
    let mut core = core(100);
    let shares = FairShareConfig {
        limits: fair_share::FairShareLimits {
            min_limit: 4.0,
            window: 10,
            ..fair_share::FairShareLimits::default()
        },
        weights: vec![1.0, 1.0],
    };
    core.config.fair_share = Some(shares);
    core.concurrency_limit = fair_share::ConcurrencyLimit::new(
        fair_share::FairShareLimits { min_limit: 4.0, window: 10, ..fair_share::FairShareLimits::default() },
        100.0,
    );
    let admitted_for = |tenant| AdmittedRequest { tenant: Some(tenant), ..admitted(0) };
    // A tenant alone is never rejected for fairness. Requests that fail late lower the concurrency limit.
    let mut open = Vec::new();
    for n in 0..60 {
        let now = 1.0 + 0.05 * f64::from(n);
        open.push(core.accept_request(now, &admitted_for(0)).unwrap());
        core.poll_commands(now);
    }
    for round in 0..60 {
        core.poll_commands(4.0 + 0.05 * f64::from(round));
    }
    assert!(core.concurrency_limit.get() < 60.0, "{}", core.concurrency_limit.get());
    let now = 7.0;
    let limit = core.concurrency_limit.get();
    while (core.open() as f64) < limit {
        core.accept_request(now, &admitted_for(0)).unwrap();
    }
    let other = core.accept_request(now, &admitted_for(1)).unwrap();
    assert_eq!(core.accept_request(now, &admitted_for(0)), Err(RejectReason::OverFairShare));
    assert!(core.accept_request(now, &admitted_for(1)).is_ok() || limit < 6.0);
    core.client_disconnected(now, other);
}

#[test]
fn requests_over_a_tenants_open_limit_are_rejected() {
    let mut core = core(8);
    core.config.tenant_max_open = vec![Some(2)];
    let first = core.accept_request(1.0, &admitted(0)).unwrap();
    core.accept_request(1.0, &admitted(1)).unwrap();
    assert_eq!(core.accept_request(1.0, &admitted(0)), Err(RejectReason::TenantFull));
    assert!(core.accept_request(1.0, &AdmittedRequest { tenant: None, ..admitted(0) }).is_ok());
    core.client_disconnected(1.1, first);
    assert!(core.accept_request(1.1, &admitted(0)).is_ok());
}

#[test]
fn decode_attempt_carries_a_grant_made_with_the_active_key() {
    let key = |n| GrantKey::of(n, &format!("a long enough secret {n}")).unwrap();
    let mut core = core(4);
    core.config.started_at_unix_s = 1000.0;
    core.config.grants = Some(GrantConfig { keys: vec![(0.0, key(1)), (1002.0, key(2))], lifetime_s: 5.0 });
    let mut checker = GrantChecker::new([key(1), key(2)]);
    for (at, number) in [(1.0, "1."), (3.0, "2.")] {
        let request = core.accept_request(at, &admitted(0)).unwrap();
        core.poll_commands(at);
        let prefill = next_attempt(&mut core, at + 0.02);
        core.attempt_ended(at + 0.1, request, prefill.attempt, result(AttemptOutcome::Prefilled));
        let decode = next_attempt(&mut core, at + 0.1);
        let AttemptKind::Decode { reservation: Some(reservation), grant: Some(grant), .. } = &decode.kind
        else {
            panic!("{decode:?}")
        };
        assert!(grant.starts_with(number), "{grant}");
        let claims = GrantClaims {
            reservation: &reservation.name,
            prefill_engine: &reservation.prefill_engine.id,
            decode_engine: &decode.engine.id,
            expires_at: 0.0,
        };
        assert_eq!(checker.check(1000.0 + at + 0.2, grant, &claims), Ok(()));
    }
}
