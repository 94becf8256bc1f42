use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const DAY: f64 = 86_400.0;

fn cert(id: u8, from: f64, to: f64) -> Cert {
    Cert {
        id: [id; 32],
        subject: format!("CN={id}"),
        issuer: "CN=root".into(),
        not_before: from,
        not_after: to,
        names: vec!["e.example.org".into()],
        is_ca: id >= 100,
        signed: Some(true),
    }
}

fn material(id: u8) -> KeyMaterial {
    KeyMaterial {
        chain: vec![cert(id, 0.0, 100.0 * DAY), cert(100, 0.0, 900.0 * DAY)],
        key_fits: Some(true),
        key_open_to_others: false,
        roots: vec![cert(200, 0.0, 900.0 * DAY)],
        digest: [id; 32],
    }
}

#[test_case(|m| m.key_fits = Some(false), KeyMaterialError::KeyDoesNotFit; "a key of another")]
#[test_case(|m| m.key_fits = None, KeyMaterialError::Half; "chain written, key not yet")]
#[test_case(|m| m.chain.clear(), KeyMaterialError::Half; "key written, chain not yet")]
#[test_case(|m| m.key_open_to_others = true, KeyMaterialError::KeyOpenToOthers; "mode")]
#[test_case(|m| m.chain[0].not_after = 9.0 * DAY, KeyMaterialError::Expired { subject: "CN=2".into(), since_s: DAY }; "expired")]
#[test_case(|m| m.chain[0].not_before = 11.0 * DAY, KeyMaterialError::NotYetValid { subject: "CN=2".into(), in_s: DAY }; "not yet valid")]
#[test_case(|m| m.chain[0].signed = Some(false), KeyMaterialError::BrokenChain { subject: "CN=2".into() }; "not signed by the next")]
#[test_case(|m| m.chain[0].names.clear(), KeyMaterialError::NoNames { subject: "CN=2".into() }; "no names")]
#[test_case(|m| m.chain[1].is_ca = false, KeyMaterialError::NotAnAuthority { subject: "CN=100".into() }; "an intermediate that may not sign")]
#[test_case(|m| m.roots.clear(), KeyMaterialError::NoTrust; "empty bundle")]
#[test_case(|m| m.roots[0].not_after = 9.0 * DAY, KeyMaterialError::Expired { subject: "CN=200".into(), since_s: DAY }; "only ended roots")]
fn what_is_not_sound_is_refused_and_the_old_stays(spoil: fn(&mut KeyMaterial), why: KeyMaterialError) {
    let mut k = Keyring::new(600.0, true);
    assert_eq!(k.offer(10.0 * DAY, material(1)), Ok(true));
    let mut bad = material(2);
    spoil(&mut bad);
    assert_eq!(k.offer(10.0 * DAY, bad), Err(why.clone()));
    assert_eq!((k.current().unwrap().number, k.refusal()), (1, Some(&why)));
    // Put right, it comes into force, and the refusal is gone.
    assert_eq!(k.offer(10.0 * DAY, material(2)), Ok(true));
    assert_eq!((k.current().unwrap().number, k.refusal()), (2, None));
    assert_eq!(k.offer(10.0 * DAY, material(2)), Ok(false));
}

#[test]
fn a_clock_a_little_behind_refuses_nothing() {
    let mut k = Keyring::new(0.0, true);
    let mut m = material(1);
    m.chain[0].not_before = 10.0 * DAY + 30.0;
    assert_eq!(k.offer(10.0 * DAY, m), Ok(true));
}

#[test]
fn old_roots_are_trusted_until_their_overlap_ends() {
    let mut k = Keyring::new(600.0, true);
    k.offer(0.0, material(1)).unwrap();
    let mut next = material(2);
    next.roots = vec![cert(201, 0.0, 900.0 * DAY)];
    k.offer(100.0, next.clone()).unwrap();
    assert_eq!(k.roots(100.0), vec![[201; 32], [200; 32]]);
    // Two rotations within the overlap: the older root's end does not move.
    next.digest = [3; 32];
    next.roots = vec![cert(202, 0.0, 900.0 * DAY)];
    k.offer(400.0, next).unwrap();
    assert_eq!(k.roots(400.0).len(), 3);
    let (said, again) = k.watch(701.0);
    assert_eq!(said, vec![Notice::OverlapEnded { roots: 1 }]);
    assert_eq!((k.roots(701.0), again), (vec![[202; 32], [201; 32]], 1000.0));
}

#[test]
fn expiry_is_told_in_steps_and_once_each() {
    let mut k = Keyring::new(0.0, true);
    k.offer(0.0, material(1)).unwrap();
    let (mut now, mut said) = (0.0, Vec::new());
    while now < 101.0 * DAY {
        let (notices, again) = k.watch(now);
        said.extend(notices.into_iter().map(|n| (now / DAY, n)));
        assert!(again > now);
        now = again;
    }
    let days: Vec<f64> = said.iter().map(|s| (100.0 - s.0).round()).collect();
    assert_eq!(days, vec![30.0, 7.0, 1.0, 0.0, 0.0]);
    assert!(matches!(said.last().unwrap().1, Notice::Ended { .. }));
    assert!(matches!(k.term(101.0 * DAY), Term::Ended { .. }));
    // Still in force: the other side decides.
    assert_eq!(k.current().unwrap().number, 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn only_sound_material_is_ever_in_force(
        offers in prop::collection::vec((0u8..40, any::<bool>(), any::<bool>(), 0.0..200.0f64, 0u8..6), 1..40),
    ) {
        let mut k = Keyring::new(600.0, true);
        let mut now = 0.0;
        let mut last = 0;
        for (id, fits, open, end_days, root) in offers {
            now += 300.0;
            let mut m = material(id);
            m.key_fits = Some(fits);
            m.key_open_to_others = open;
            m.chain[0].not_after = end_days * DAY;
            m.roots = vec![cert(200 + root, 0.0, 900.0 * DAY)];
            m.digest = [id ^ root; 32];
            let sound = fits && !open && m.chain[0].not_after >= now;
            let before = k.current().map(|g| g.number);
            match k.offer(now, m) {
                Ok(true) => { prop_assert!(sound); last += 1; }
                Ok(false) => prop_assert_eq!(k.current().map(|g| g.number), before),
                Err(_) => { prop_assert!(!sound); prop_assert_eq!(k.current().map(|g| g.number), before); }
            }
            prop_assert!(k.current().is_none_or(|g| g.number == last));
            let roots = k.roots(now);
            prop_assert!(roots.len() <= MOST_ROOTS);
            let mut distinct = roots.clone();
            distinct.sort();
            distinct.dedup();
            prop_assert_eq!(distinct.len(), roots.len());
            k.watch(now);
        }
    }
}
