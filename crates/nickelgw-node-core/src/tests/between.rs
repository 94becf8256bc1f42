//! Between processes, and between tenants.

use super::*;

#[test]
fn what_one_process_learns_the_next_knows_as_far_as_it_is_fresh() {
    let mut old = core(64);
    let (mut now, mut bad) = (1.0, None);
    // Reads take longer than first guessed, and the last one fails.
    for n in 0..3 {
        let t = old.accept_request(now, &AdmittedRequest { timeout_s: 9.0, ..ask(0) }).unwrap();
        for _ in 0..4 {
            let todo = old.poll_commands(now).commands;
            now += 0.1;
            for d in todo {
                if let Command::StartAttempt(o) = d {
                    let fails = n == 2 && o.kind == AttemptKind::Prefill;
                    bad = bad.or(fails.then(|| o.engine.id.clone()));
                    old.attempt_ended(
                        now,
                        o.request,
                        o.attempt,
                        end(if fails { AttemptOutcome::ErrorStatus(500) } else { AttemptOutcome::Prefilled }),
                    );
                }
            }
        }
        old.client_disconnected(now, t);
        // What is called off by that, or sent meanwhile, ends too.
        for d in old.poll_commands(now).commands {
            if let Command::StartAttempt(AttemptRequest { request: ticket, attempt: send, .. })
            | Command::CancelAttempt { request: ticket, attempt: send } = d
            {
                old.attempt_ended(now, ticket, send, end(AttemptOutcome::Cancelled));
            }
        }
    }
    let kept = old.learned_state(now);
    let learnt = warm_state::read(&kept, 0.0).unwrap();
    let bad =
        |l: &LearnedState| l.engines.iter().any(|e| Some(&e.id) == bad.as_ref() && e.recent_failures > 0.2);
    assert!(bad(&learnt), "{learnt:?}");
    // The next process began at another time of its own.
    let fresh = |trust: f64| {
        let mut c = core(64);
        c.figures.started_at_unix_s = now;
        assert!(c.restore_state(&kept, trust));
        c.update_endpoints(0.1, &list(2, &[EngineState::Active; 8]));
        warm_state::read(&c.learned_state(0.2), now).unwrap()
    };
    let (whole, half, none) = (fresh(1.0), fresh(0.5), fresh(0.0));
    assert_eq!(whole.averages, learnt.averages);
    let prompt = |l: &LearnedState| l.averages[1];
    assert!(prompt(&none) == 0.0 && prompt(&half) == prompt(&whole) / 2.0);
    assert!(bad(&whole) && none.engines.is_empty());
    let mut c = core(4);
    assert!(!c.restore_state(b"junk", 1.0));
    assert!(c.restore_state(br#"{"figures":[1,2],"engines":[]}"#, 1.0));
    c.update_endpoints(0.1, &list(2, &[EngineState::Active; 8]));
}

#[test]
fn when_there_is_not_enough_a_tenant_with_its_part_is_refused_and_another_is_not() {
    let mut c = core(100);
    let shares = FairShareConfig {
        limits: fair_share::FairShareLimits {
            min_limit: 4.0,
            window: 10,
            ..fair_share::FairShareLimits::default()
        },
        weights: vec![1.0, 1.0],
    };
    c.figures.fair_share = Some(shares);
    c.limit = fair_share::ConcurrencyLimit::new(
        fair_share::FairShareLimits { min_limit: 4.0, window: 10, ..fair_share::FairShareLimits::default() },
        100.0,
    );
    let of = |tenant| AdmittedRequest { tenant: Some(tenant), ..ask(0) };
    // One alone is never refused for fairness; what is given up late tells that there is too much.
    let mut open = Vec::new();
    for n in 0..60 {
        let now = 1.0 + 0.05 * f64::from(n);
        open.push(c.accept_request(now, &of(0)).unwrap());
        c.poll_commands(now);
    }
    for k in 0..60 {
        c.poll_commands(4.0 + 0.05 * f64::from(k));
    }
    assert!(c.limit.get() < 60.0, "{}", c.limit.get());
    let now = 7.0;
    let most = c.limit.get();
    while (c.open() as f64) < most {
        c.accept_request(now, &of(0)).unwrap();
    }
    let other = c.accept_request(now, &of(1)).unwrap();
    assert_eq!(c.accept_request(now, &of(0)), Err(RejectReason::OverFairShare));
    assert!(c.accept_request(now, &of(1)).is_ok() || most < 6.0);
    c.client_disconnected(now, other);
}

#[test]
fn a_tenant_has_no_more_open_than_it_may() {
    let mut c = core(8);
    c.figures.tenant_max_open = vec![Some(2)];
    let first = c.accept_request(1.0, &ask(0)).unwrap();
    c.accept_request(1.0, &ask(1)).unwrap();
    assert_eq!(c.accept_request(1.0, &ask(0)), Err(RejectReason::TenantFull));
    assert!(c.accept_request(1.0, &AdmittedRequest { tenant: None, ..ask(0) }).is_ok());
    c.client_disconnected(1.1, first);
    assert!(c.accept_request(1.1, &ask(0)).is_ok());
}

#[test]
fn a_write_carries_a_grant_by_the_key_whose_time_has_come() {
    use nickelgw_chat::core::grant::GrantChecker;
    let key = |n| GrantKey::of(n, &format!("a long enough secret {n}")).unwrap();
    let mut c = core(4);
    c.figures.started_at_unix_s = 1000.0;
    c.figures.grants = Some(GrantConfig { keys: vec![(0.0, key(1)), (1002.0, key(2))], lifetime_s: 5.0 });
    let mut reader = GrantChecker::new([key(1), key(2)]);
    for (at, number) in [(1.0, "1."), (3.0, "2.")] {
        let t = c.accept_request(at, &ask(0)).unwrap();
        c.poll_commands(at);
        let read = first_send(&mut c, at + 0.02);
        c.attempt_ended(at + 0.1, t, read.attempt, end(AttemptOutcome::Prefilled));
        let write = first_send(&mut c, at + 0.1);
        let AttemptKind::Decode { reservation: Some(s), grant: Some(g), .. } = &write.kind else {
            panic!("{write:?}")
        };
        assert!(g.starts_with(number), "{g}");
        let granted = GrantClaims {
            reservation: &s.name,
            prefill_engine: &s.prefill_engine.id,
            decode_engine: &write.engine.id,
            expires_at: 0.0,
        };
        assert_eq!(reader.check(1000.0 + at + 0.2, g, &granted), Ok(()));
    }
}
