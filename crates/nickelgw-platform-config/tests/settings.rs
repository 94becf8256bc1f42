//! Settings of other deployments: what they lack, and figures at the edge.

use nickelgw::decide::Router;
use nickelgw::interface::{EngineRole, Idempotency, IdempotencyScope, IncomingRequest};
use nickelgw_platform_config::{load, PlatformConfig};
use serde_json::{json, Value};
use test_case::test_case;

/// One zone, one class, no tenants, no reports, no probes, nothing that may be left out.
fn least() -> Value {
    json!({"az": "z", "balancers": 1, "my_number": 0, "tick_s": 0.004, "zones": ["z"], "kinds": ["k1", "k2"],
        "classes": [{"name": "only", "slo_s": 1.0, "idempotency": "pure"}],
        "family_info": {"local_read": false, "release_s": 0.5, "role_by_kind": ["read", "write"]},
        "limits": {"cancel": false, "most_tries": 4, "probes": false, "retry_after": false},
        "rules": {"cold_from": 0.3, "fall_s": 2.0, "tip_multiple": 3.0, "warm_within_s": 9.0}})
}

fn read(v: &Value) -> Result<PlatformConfig, String> {
    PlatformConfig::parse(v, 7).map_err(|e| e.0)
}

#[test]
fn what_may_be_left_out_has_a_meaning_of_its_own() {
    let told = read(&least()).unwrap();
    let d = told.deployment;
    assert_eq!((told.tenants, d.tenant_quotas), (vec![], vec![]));
    assert_eq!((d.cross_cell_price, d.cross_zone_price, d.max_retry_after_s), (0.0, 0.0, None));
    assert_eq!(
        (d.must_poll_endpoints, d.can_cancel, d.can_probe, d.decode_engines_prefill),
        (false, false, false, false)
    );
    assert_eq!(d.routes[0].idempotency, Idempotency::Idempotent);
    let kinds: Vec<_> = told.machine_kinds.iter().map(|k| (&*k.0, k.1)).collect();
    assert_eq!(kinds, [("k1", EngineRole::Prefill), ("k2", EngineRole::Decode)]);
}

#[test_case(false, None; "not allowed")]
#[test_case(true, Some(0.5); "allowed")]
fn a_come_back_time_is_told_only_where_it_is_allowed(allowed: bool, longest: Option<f64>) {
    let mut v = least();
    v["limits"]["retry_after"] = allowed.into();
    v["limits"]["max_retry_after_s"] = 0.5.into();
    assert_eq!(read(&v).unwrap().deployment.max_retry_after_s, longest);
}

#[test_case("zone", IdempotencyScope::Zone)]
#[test_case("cell", IdempotencyScope::Cell)]
#[test_case("all", IdempotencyScope::All)]
fn a_deduped_class_has_its_group_and_span(name: &str, group: IdempotencyScope) {
    let mut v = least();
    v["classes"][0] =
        json!({"name": "d", "slo_s": 1.0, "idempotency": "token", "group": name, "memory_span_s": 0.7});
    assert_eq!(
        read(&v).unwrap().deployment.routes[0].idempotency,
        Idempotency::Keyed { scope: group, window_s: 0.7 }
    );
}

#[test_case("/classes/0/idempotency", json!("perhaps"), "pure, token or side_effect"; "an unknown effect")]
#[test_case("/classes/0/group", json!("rack"), "all, zone or cell"; "an unknown group")]
#[test_case("/classes/0/slo_s", json!("1"), "slo_s"; "a target that is text")]
#[test_case("/family_info/role_by_kind", json!(["read"]), "role_by_kind"; "a kind without a role")]
#[test_case("/az", json!("elsewhere"), "az"; "a zone that the settings lack")]
#[test_case("/limits", json!([]), "limits"; "limits that are none")]
fn what_cannot_be_meant_is_refused_with_its_field(at: &str, by: Value, field: &str) {
    let mut v = least();
    match v.pointer_mut(at) {
        Some(x) => *x = by,
        None => v["classes"][0]["group"] = by,
    }
    let why = read(&v).err().unwrap();
    assert!(why.contains(field), "{why}");
}

/// A tenant that is promised nothing gets what others leave.
#[test]
fn a_quota_of_zero_fails_nothing() {
    let mut v = least();
    v["accounts"] = json!([{"name": "none", "quota_per_s": 0.0}, {"name": "some", "quota_per_s": 5.0}]);
    let line = |id: &str, role| nickelgw::interface::EngineEntry {
        id: id.into(),
        zone: 0,
        cell: 0,
        role,
        memory_tokens: 1e5,
        lifecycle: nickelgw::interface::Lifecycle::Active,
        started_at: None,
    };
    for tenant in [0, 1] {
        let mut r = Router::new(read(&v).unwrap().deployment);
        r.update_endpoints(0.0, &[line("r", EngineRole::Prefill), line("w", EngineRole::Decode)], true);
        let a = IncomingRequest {
            route: 0,
            tenant: Some(tenant),
            deadline: 6.0,
            prompt_tokens: 500.0,
            prefix_tokens: 0.0,
            session: "s".into(),
            prefix: None,
            is_background: false,
        };
        let inf = r.admit_request(1.0, &a);
        let todo = r.decide(1.0);
        assert!(todo.dispatches.iter().any(|s| s.request == inf), "tenant {tenant}: {todo:?}");
    }
}

/// Only names that a page explains are read; any other is as none.
#[test]
fn a_report_is_read_by_the_names_of_the_pages() {
    let of = |names: &[(&str, f64)]| {
        let get = |n: &str| Ok::<_, ()>(names.iter().find(|x| x.0 == n).map(|x| x.1));
        load(get).unwrap()
    };
    let l = of(&[("x0", 0.4), ("x1", 2.0), ("load_share", 0.5), ("depth", 3.0), ("concurrent", 4.0)]);
    assert_eq!((l.memory_share, l.pending_prompt_tokens, l.slot_share), (Some(0.4), Some(2000.0), Some(0.5)));
    assert_eq!((l.queue_len, l.inflight), (Some(3.0), Some(4.0)));
    assert_eq!(of(&[("mean_ms", 9.0), ("x7", 1.0)]), nickelgw::interface::EngineLoad::default());
}
