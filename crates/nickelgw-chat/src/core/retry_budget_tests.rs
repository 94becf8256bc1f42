use super::*;

fn body(number: u64) -> BodyDigest {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    digest
}

#[test]
fn retry_storm_is_limited_to_the_ratio() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), 1);
    // Each first attempt is followed by five retries at once.
    for request in 0..2000u64 {
        let now = request as f64 * 0.01;
        assert_eq!(budget.admit(now, 0, 0, Some(0), body(request)), RetryVerdict::FirstAttempt);
        budget.response_started(0, 0);
        for retry in 1..=5 {
            budget.admit(now, 0, 0, Some(retry), body(request));
        }
    }
    assert!(budget.retries as f64 <= 0.1 * 2000.0 + 5.0, "{}", budget.retries);
    assert!(budget.retries as f64 >= 0.095 * 2000.0 && budget.rejected > 9000);
    // Other tenants and other routes have budgets of their own.
    assert_eq!(budget.admit(20.0, 1, 0, Some(1), body(1)), RetryVerdict::Retry);
    assert_eq!(budget.admit(20.0, 0, 1, Some(1), body(1)), RetryVerdict::Retry);
}

#[test]
fn retries_below_the_ratio_are_never_rejected() {
    let config = RetryBudgetConfig { detect_by_body: true, ..RetryBudgetConfig::default() };
    let mut budget = RetryBudget::new(config, 1);
    for request in 0..1000u64 {
        budget.admit(request as f64, 0, 0, None, body(request));
        budget.response_started(0, 0);
        if request % 20 == 0 {
            let verdict = budget.admit(request as f64 + 0.5, 0, 0, None, body(request));
            assert_eq!(verdict, RetryVerdict::Retry);
        }
    }
    assert_eq!(budget.rejected, 0);
}

#[test]
fn only_the_burst_is_admitted_while_nothing_is_answered() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), 1);
    let admitted = (0..1000).filter(|request| {
        let now = 0.01 * f64::from(*request);
        budget.admit(now, 0, 0, Some(0), body(1));
        budget.admit(now, 0, 0, Some(1), body(1)) == RetryVerdict::Retry
    });
    assert_eq!(admitted.count(), 5);
}

#[test]
fn retry_after_times_are_spread_within_their_bounds() {
    let config = RetryBudgetConfig { burst: 0.0, ..RetryBudgetConfig::default() };
    let mut budget = RetryBudget::new(config, 7);
    let mut times = Vec::new();
    for _ in 0..1000 {
        if let RetryVerdict::Rejected { retry_after_s } = budget.admit(0.0, 0, 0, Some(1), body(1)) {
            times.push(retry_after_s);
        }
    }
    assert!(times.iter().all(|time| (0.5..=8.0).contains(time)));
    let late = &times[500..];
    let in_second = |second: usize| late.iter().filter(|time| **time as usize == second).count();
    let most_in_a_second = (0..8).map(in_second).max().unwrap();
    assert!(
        most_in_a_second < late.len() / 4,
        "{most_in_a_second} of {} clients return within one second",
        late.len()
    );
}

#[test]
fn remembered_bodies_are_bounded_in_age_and_number() {
    let config = RetryBudgetConfig {
        max_bodies: 100,
        body_window_s: 5.0,
        detect_by_body: true,
        ..RetryBudgetConfig::default()
    };
    let mut budget = RetryBudget::new(config, 1);
    for request in 0..500 {
        budget.admit(0.0, 0, 0, None, body(request));
    }
    assert_eq!(budget.remembered_bodies(), 100);
    assert_eq!(budget.admit(1.0, 0, 0, None, body(499)), RetryVerdict::Retry);
    assert_eq!(
        budget.admit(1.0, 0, 0, None, body(0)),
        RetryVerdict::FirstAttempt,
        "dropped beyond max_bodies"
    );
    budget.admit(9.0, 0, 0, None, body(1000));
    assert_eq!(budget.admit(9.0, 0, 0, None, body(499)), RetryVerdict::FirstAttempt, "older than the window");
}
