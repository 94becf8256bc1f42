use super::*;

fn pepper() -> Pepper {
    Pepper::from_secret("the secret of a deployment").unwrap()
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|key| pepper().hash(key)).collect(),
        routes: Some(["chat".to_string()].into()),
        quota: Quota::UNLIMITED,
        weight: 1.0,
        group: None,
        valid_from: 100.0,
        valid_until: 200.0,
    }
}

#[test]
fn known_key_is_authorized_for_its_routes_during_its_validity() {
    let entries = vec![tenant("a", &["old", "new"]), tenant("b", &["other"])];
    let (permissions, errors) = Permissions::new(7, entries, BTreeMap::new(), 10);
    let authorize = |at, key: &str, route| permissions.authorize(at, pepper().hash(key), route);
    assert!(errors.is_empty());
    assert_eq!(
        (authorize(150.0, "old", "chat"), authorize(150.0, "new", "chat"), authorize(150.0, "other", "chat")),
        (Ok(0), Ok(0), Ok(1))
    );
    assert_eq!(authorize(150.0, "guess", "chat"), Err(DenialReason::UnknownKey));
    assert_eq!(authorize(150.0, "old", "booking"), Err(DenialReason::RouteNotAllowed));
    assert_eq!(
        (authorize(99.0, "old", "chat"), authorize(200.0, "old", "chat")),
        (Err(DenialReason::OutsideValidity), Err(DenialReason::OutsideValidity))
    );
    // The same key is unknown in another deployment.
    let other = Pepper::from_secret("the secret of another one").unwrap();
    assert_eq!(permissions.authorize(150.0, other.hash("old"), "chat"), Err(DenialReason::UnknownKey));
    assert!(!format!("{permissions:?}").contains("old") && Pepper::from_secret("short").is_none());
}

#[test]
fn invalid_entries_do_not_affect_others() {
    let mut invalid = tenant("c", &["k3"]);
    invalid.quota.requests_per_s = f64::NAN;
    let entries = vec![
        tenant("a", &["k1", "shared"]),
        tenant("b", &["k2", "shared"]),
        tenant("a", &["k9"]),
        invalid,
        tenant("d", &["x", "y", "z"]),
        tenant("e", &["k5"]),
    ];
    let (permissions, errors) = Permissions::new(1, entries, BTreeMap::new(), 10);
    let authorize = |key: &str| permissions.authorize(150.0, pepper().hash(key), "chat");
    assert_eq!((authorize("k1"), authorize("k2"), authorize("k5")), (Ok(0), Ok(1), Ok(2)));
    for rejected in ["shared", "k9", "k3", "x"] {
        assert_eq!(authorize(rejected), Err(DenialReason::UnknownKey), "{rejected}");
    }
    assert_eq!(errors.len(), 4);
    assert!(errors.contains(&TenantError::SharedKey("a".into(), "b".into())));
}

#[test]
fn lost_source_is_served_stale_then_with_halved_quotas_then_closed() {
    let policy = StalePolicy { serve_stale_s: 600.0 };
    assert_eq!(policy.state(5000.0, 0.0, false), SourceState::Connected);
    assert_eq!(policy.state(599.0, 0.0, true), SourceState::Stale { until: 600.0 });
    assert_eq!(policy.state(600.0, 0.0, true), SourceState::HalvedQuotas { until: 1200.0 });
    assert_eq!(policy.state(1200.0, 0.0, true), SourceState::Closed);
}
