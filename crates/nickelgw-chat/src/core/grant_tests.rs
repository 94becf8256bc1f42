use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key(number: u32) -> GrantKey {
    GrantKey::of(number, &format!("a secret of some length {number}")).unwrap()
}

const CLAIMS: GrantClaims =
    GrantClaims { reservation: "s1", prefill_engine: "r1", decode_engine: "w1", expires_at: 100.0 };

#[test]
fn grant_is_valid_once_for_its_claims() {
    let mut checker = GrantChecker::new([key(1)]);
    let text = grant(&key(1), &CLAIMS);
    for other in [
        GrantClaims { reservation: "s2", ..CLAIMS },
        GrantClaims { prefill_engine: "r2", ..CLAIMS },
        GrantClaims { decode_engine: "w2", ..CLAIMS },
    ] {
        assert_eq!(checker.check(50.0, &text, &other), Err(GrantError::Altered));
    }
    assert_eq!(checker.check(50.0, &text, &CLAIMS), Ok(()));
    assert_eq!(checker.check(50.0, &text, &CLAIMS), Err(GrantError::Replayed));
    assert_eq!(checker.check(101.0, &grant(&key(1), &CLAIMS), &CLAIMS), Err(GrantError::Expired));
    // Claims whose concatenation is the same do not share an authentication code.
    let moved = GrantClaims { reservation: "s", prefill_engine: "1r1", ..CLAIMS };
    assert_eq!(checker.check(50.0, &grant(&key(1), &moved), &CLAIMS), Err(GrantError::Altered));
    assert!(GrantKey::of(1, "short").is_none());
}

#[test]
fn old_and_new_keys_are_valid_during_a_rotation() {
    let mut checker = GrantChecker::new([key(1)]);
    let second = GrantClaims { reservation: "s2", ..CLAIMS };
    let (old, new) = (grant(&key(1), &CLAIMS), grant(&key(2), &second));
    assert_eq!(checker.check(1.0, &new, &second), Err(GrantError::UnknownKey));
    checker.rotate([key(1), key(2)]);
    assert_eq!((checker.check(1.0, &old, &CLAIMS), checker.check(1.0, &new, &second)), (Ok(()), Ok(())));
    checker.rotate([key(2)]);
    assert_eq!(checker.check(1.0, &grant(&key(1), &CLAIMS), &CLAIMS), Err(GrantError::UnknownKey));
}

#[test]
fn used_grants_are_remembered_until_they_expire() {
    let mut checker = GrantChecker::new([key(1)]);
    for second in 0..100 {
        let now = f64::from(second);
        let claims = GrantClaims { expires_at: now + 1.0, ..CLAIMS };
        assert_eq!(checker.check(now, &grant(&key(1), &claims), &claims), Ok(()));
        assert!(checker.remembered() <= 3);
    }
}

/// Engines of other releases check the grants of this release, so the encoding must not change.
#[test]
fn grants_are_encoded_as_by_earlier_releases() {
    let claims = GrantClaims { expires_at: 100.5, ..CLAIMS };
    assert_eq!(
        grant(&key(3), &claims),
        "3.100500.4974474f9197e5d48f2b06c7705ae81b12ace1ea7d18430e10559085f62ba32b"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn altered_grant_is_rejected(position in 0usize..90, replacement in any::<char>(), junk in ".{0,40}") {
        let text = grant(&key(1), &CLAIMS);
        let mut chars: Vec<char> = text.chars().collect();
        let index = position % chars.len();
        let is_same = chars[index].eq_ignore_ascii_case(&replacement);
        chars[index] = replacement;
        let mut checker = GrantChecker::new([key(1)]);
        if !is_same {
            prop_assert!(checker.check(1.0, &chars.iter().collect::<String>(), &CLAIMS).is_err());
        }
        prop_assert!(checker.check(1.0, &junk, &CLAIMS).is_err());
    }
}
