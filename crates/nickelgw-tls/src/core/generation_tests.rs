use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn cert(id: u8, from: f64, to: f64) -> Certificate {
    Certificate {
        id: [id; 32],
        subject: format!("CN={id}"),
        issuer: "CN=root".into(),
        not_before: from,
        not_after: to,
        names: vec!["e.example.org".into()],
        is_ca: id >= 100,
        signature_valid: Some(true),
    }
}

fn material(id: u8) -> KeyMaterial {
    KeyMaterial {
        chain: vec![cert(id, 0.0, 100.0 * DAY_S), cert(100, 0.0, 900.0 * DAY_S)],
        key_matches: Some(true),
        key_readable_by_others: false,
        roots: vec![cert(200, 0.0, 900.0 * DAY_S)],
        digest: [id; 32],
    }
}

#[test_case(|material| material.key_matches = Some(false), KeyMaterialError::KeyMismatch; "key of another certificate")]
#[test_case(|material| material.key_matches = None, KeyMaterialError::Incomplete; "chain written, key not yet")]
#[test_case(|material| material.chain.clear(), KeyMaterialError::Incomplete; "key written, chain not yet")]
#[test_case(|material| material.key_readable_by_others = true, KeyMaterialError::KeyReadableByOthers; "key file readable by other users")]
#[test_case(|material| material.chain[0].not_after = 9.0 * DAY_S, KeyMaterialError::Expired { subject: "CN=2".into(), since_s: DAY_S }; "expired")]
#[test_case(|material| material.chain[0].not_before = 11.0 * DAY_S, KeyMaterialError::NotYetValid { subject: "CN=2".into(), in_s: DAY_S }; "not yet valid")]
#[test_case(|material| material.chain[0].signature_valid = Some(false), KeyMaterialError::BrokenChain { subject: "CN=2".into() }; "not signed by the next")]
#[test_case(|material| material.chain[0].names.clear(), KeyMaterialError::NoNames { subject: "CN=2".into() }; "no names")]
#[test_case(|material| material.chain[1].is_ca = false, KeyMaterialError::NotAnAuthority { subject: "CN=100".into() }; "an intermediate that may not sign")]
#[test_case(|material| material.roots.clear(), KeyMaterialError::NoTrust; "empty bundle")]
#[test_case(|material| material.roots[0].not_after = 9.0 * DAY_S, KeyMaterialError::Expired { subject: "CN=200".into(), since_s: DAY_S }; "only expired roots")]
fn invalid_material_is_refused_and_the_current_generation_stays(
    make_invalid: fn(&mut KeyMaterial),
    error: KeyMaterialError,
) {
    let mut keyring = Keyring::new(600.0, true);
    assert_eq!(keyring.offer(10.0 * DAY_S, material(1)), Ok(true));
    let mut invalid = material(2);
    make_invalid(&mut invalid);
    assert_eq!(keyring.offer(10.0 * DAY_S, invalid), Err(error.clone()));
    assert_eq!((keyring.current().unwrap().number, keyring.refusal()), (1, Some(&error)));
    // Valid material comes into force, and the refusal is cleared.
    assert_eq!(keyring.offer(10.0 * DAY_S, material(2)), Ok(true));
    assert_eq!((keyring.current().unwrap().number, keyring.refusal()), (2, None));
    assert_eq!(keyring.offer(10.0 * DAY_S, material(2)), Ok(false));
}

#[test]
fn small_clock_skew_is_tolerated() {
    let mut keyring = Keyring::new(0.0, true);
    let mut new = material(1);
    new.chain[0].not_before = 10.0 * DAY_S + 30.0;
    assert_eq!(keyring.offer(10.0 * DAY_S, new), Ok(true));
}

#[test]
fn retiring_roots_are_trusted_until_their_overlap_ends() {
    let mut keyring = Keyring::new(600.0, true);
    keyring.offer(0.0, material(1)).unwrap();
    let mut next = material(2);
    next.roots = vec![cert(201, 0.0, 900.0 * DAY_S)];
    keyring.offer(100.0, next.clone()).unwrap();
    assert_eq!(keyring.roots(100.0), vec![[201; 32], [200; 32]]);
    // Two rotations within the overlap: the older root's end does not move.
    next.digest = [3; 32];
    next.roots = vec![cert(202, 0.0, 900.0 * DAY_S)];
    keyring.offer(400.0, next).unwrap();
    assert_eq!(keyring.roots(400.0).len(), 3);
    let (notices, poll_at) = keyring.poll_notices(701.0);
    assert_eq!(notices, vec![Notice::OverlapEnded { roots: 1 }]);
    assert_eq!((keyring.roots(701.0), poll_at), (vec![[202; 32], [201; 32]], 1000.0));
}

#[test]
fn each_warning_step_before_expiry_is_reported_once() {
    let mut keyring = Keyring::new(0.0, true);
    keyring.offer(0.0, material(1)).unwrap();
    let (mut now, mut warned) = (0.0, Vec::new());
    while now < 101.0 * DAY_S {
        let (notices, poll_at) = keyring.poll_notices(now);
        warned.extend(notices.into_iter().map(|notice| (now / DAY_S, notice)));
        assert!(poll_at > now);
        now = poll_at;
    }
    let days: Vec<f64> = warned.iter().map(|at| (100.0 - at.0).round()).collect();
    assert_eq!(days, vec![30.0, 7.0, 1.0, 0.0, 0.0]);
    assert!(matches!(warned.last().unwrap().1, Notice::Expired { .. }));
    assert!(matches!(keyring.validity(101.0 * DAY_S), Validity::Expired { .. }));
    // An expired certificate stays in force, as the peer decides whether to accept it.
    assert_eq!(keyring.current().unwrap().number, 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn only_valid_material_is_ever_in_force(
        offers in prop::collection::vec((0u8..40, any::<bool>(), any::<bool>(), 0.0..200.0f64, 0u8..6), 1..40),
    ) {
        let mut keyring = Keyring::new(600.0, true);
        let mut now = 0.0;
        let mut last = 0;
        for (id, matches, readable, end_days, root) in offers {
            now += 300.0;
            let mut new = material(id);
            new.key_matches = Some(matches);
            new.key_readable_by_others = readable;
            new.chain[0].not_after = end_days * DAY_S;
            new.roots = vec![cert(200 + root, 0.0, 900.0 * DAY_S)];
            new.digest = [id ^ root; 32];
            let is_valid = matches && !readable && new.chain[0].not_after >= now;
            let before = keyring.current().map(|current| current.number);
            match keyring.offer(now, new) {
                Ok(true) => { prop_assert!(is_valid); last += 1; }
                Ok(false) => prop_assert_eq!(keyring.current().map(|current| current.number), before),
                Err(_) => { prop_assert!(!is_valid); prop_assert_eq!(keyring.current().map(|current| current.number), before); }
            }
            prop_assert!(keyring.current().is_none_or(|current| current.number == last));
            let roots = keyring.roots(now);
            prop_assert!(roots.len() <= MAX_ROOTS);
            let mut distinct = roots.clone();
            distinct.sort();
            distinct.dedup();
            prop_assert_eq!(distinct.len(), roots.len());
            keyring.poll_notices(now);
        }
    }
}
