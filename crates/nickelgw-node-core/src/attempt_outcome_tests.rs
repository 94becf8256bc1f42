//! Tests of outcomes by status and body.

use super::*;
use test_case::test_case;

#[test_case(429, "engine_full", AttemptOutcome::Rejected; "full")]
#[test_case(503, "engine_draining", AttemptOutcome::Rejected; "draining")]
#[test_case(409, "state_not_found", AttemptOutcome::ReservationNotFound; "no reservation")]
#[test_case(500, "engine_full", AttemptOutcome::ErrorStatus(500); "an engine code with another status")]
#[test_case(503, "rate_limit", AttemptOutcome::ErrorStatus(503); "a 503 of a proxy")]
fn outcome_follows_from_status_and_engine_code(status: u16, code: &str, outcome: AttemptOutcome) {
    let body = format!("{{\"error\":{{\"code\":\"{code}\"}}}}");
    assert_eq!(AttemptOutcome::from_status(status, body.as_bytes()), outcome);
    assert_eq!(AttemptOutcome::from_status(status, b"<html>"), AttemptOutcome::ErrorStatus(status));
}
