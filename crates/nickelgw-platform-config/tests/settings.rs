//! Tests of parsing the options: absent fields, invalid fields and limiting values, as other deployments may
//! have them.

#![allow(missing_docs)]

use nickelgw::decide::Router;
use nickelgw::interface::{EngineRole, Idempotency, IdempotencyScope, IncomingRequest};
use nickelgw_platform_config::{read_engine_load, PlatformConfig};
use serde_json::{json, Value};
use test_case::test_case;

/// Options with one zone and one route, without tenants, reports and probes, and without any optional field.
fn minimal_options() -> Value {
    json!({"az": "z", "balancers": 1, "my_number": 0, "tick_s": 0.004, "zones": ["z"], "kinds": ["k1", "k2"],
        "classes": [{"name": "only", "slo_s": 1.0, "idempotency": "pure"}],
        "family_info": {"local_read": false, "release_s": 0.5, "role_by_kind": ["read", "write"]},
        "limits": {"cancel": false, "most_tries": 4, "probes": false, "retry_after": false},
        "rules": {"cold_from": 0.3, "fall_s": 2.0, "tip_multiple": 3.0, "warm_within_s": 9.0}})
}

fn parse(options: &Value) -> Result<PlatformConfig, String> {
    PlatformConfig::parse(options, 7).map_err(|error| error.0)
}

#[test]
fn absent_fields_have_defaults() {
    let config = parse(&minimal_options()).unwrap();
    let deployment = config.deployment;
    assert_eq!((config.tenants, deployment.tenant_quotas), (vec![], vec![]));
    assert_eq!(
        (deployment.cross_cell_price, deployment.cross_zone_price, deployment.max_retry_after_s),
        (0.0, 0.0, None)
    );
    assert_eq!(
        (
            deployment.must_poll_endpoints,
            deployment.can_cancel,
            deployment.can_probe,
            deployment.decode_engines_prefill
        ),
        (false, false, false, false)
    );
    assert_eq!(deployment.routes[0].idempotency, Idempotency::Idempotent);
    let kinds: Vec<_> = config.machine_kinds.iter().map(|kind| (&*kind.name, kind.role)).collect();
    assert_eq!(kinds, [("k1", EngineRole::Prefill), ("k2", EngineRole::Decode)]);
}

#[test_case(false, None; "not allowed")]
#[test_case(true, Some(0.5); "allowed")]
fn retry_after_is_set_only_where_it_is_allowed(allowed: bool, longest: Option<f64>) {
    let mut options = minimal_options();
    options["limits"]["retry_after"] = allowed.into();
    options["limits"]["max_retry_after_s"] = 0.5.into();
    assert_eq!(parse(&options).unwrap().deployment.max_retry_after_s, longest);
}

#[test_case("zone", IdempotencyScope::Zone)]
#[test_case("cell", IdempotencyScope::Cell)]
#[test_case("all", IdempotencyScope::All)]
fn a_keyed_route_has_its_scope_and_window(name: &str, scope: IdempotencyScope) {
    let mut options = minimal_options();
    options["classes"][0] =
        json!({"name": "d", "slo_s": 1.0, "idempotency": "token", "group": name, "memory_span_s": 0.7});
    assert_eq!(
        parse(&options).unwrap().deployment.routes[0].idempotency,
        Idempotency::Keyed { scope, window_s: 0.7 }
    );
}

#[test_case("/classes/0/idempotency", json!("perhaps"), "pure, token or side_effect"; "an unknown idempotency")]
#[test_case("/classes/0/group", json!("rack"), "all, zone or cell"; "an unknown group")]
#[test_case("/classes/0/slo_s", json!("1"), "slo_s"; "an objective that is text")]
#[test_case("/family_info/role_by_kind", json!(["read"]), "role_by_kind"; "a kind without a role")]
#[test_case("/az", json!("elsewhere"), "az"; "a zone that the settings lack")]
#[test_case("/limits", json!([]), "limits"; "limits that are not an object")]
fn an_invalid_field_is_named_in_the_error(pointer: &str, value: Value, field: &str) {
    let mut options = minimal_options();
    match options.pointer_mut(pointer) {
        Some(field) => *field = value,
        None => options["classes"][0]["group"] = value,
    }
    let message = parse(&options).err().unwrap();
    assert!(message.contains(field), "{message}");
}

/// A tenant with a quota of zero gets the capacity that others leave.
#[test]
fn a_quota_of_zero_rejects_nothing_while_there_is_room() {
    let mut options = minimal_options();
    options["accounts"] = json!([{"name": "none", "quota_per_s": 0.0}, {"name": "some", "quota_per_s": 5.0}]);
    let entry = |id: &str, role| nickelgw::interface::EngineEntry {
        id: id.into(),
        zone: 0,
        cell: 0,
        role,
        memory_tokens: 1e5,
        lifecycle: nickelgw::interface::Lifecycle::Active,
        started_at: None,
    };
    for tenant in [0, 1] {
        let mut router = Router::new(parse(&options).unwrap().deployment);
        router.update_endpoints(
            0.0,
            &[entry("r", EngineRole::Prefill), entry("w", EngineRole::Decode)],
            true,
        );
        let incoming = IncomingRequest {
            route: 0,
            tenant: Some(tenant),
            arrived_at: 1.0,
            deadline: 6.0,
            prompt_tokens: 500.0,
            prefix_tokens: 0.0,
            session: "s".into(),
            prefix: None,
            is_background: false,
        };
        let request = router.admit_request(1.0, &incoming);
        let decisions = router.decide(1.0);
        assert!(
            decisions.dispatches.iter().any(|dispatch| dispatch.request == request),
            "tenant {tenant}: {decisions:?}"
        );
    }
}

/// Only documented names are read; any other is ignored.
#[test]
fn a_report_is_read_by_its_documented_names() {
    let load_of = |names: &[(&str, f64)]| {
        let value = |name: &str| Ok::<_, ()>(names.iter().find(|x| x.0 == name).map(|x| x.1));
        read_engine_load(value).unwrap()
    };
    let reported =
        load_of(&[("x0", 0.4), ("x1", 2.0), ("load_share", 0.5), ("depth", 3.0), ("concurrent", 4.0)]);
    assert_eq!(
        (reported.memory_share, reported.pending_prompt_tokens, reported.slot_share),
        (Some(0.4), Some(2000.0), Some(0.5))
    );
    assert_eq!((reported.queue_len, reported.inflight), (Some(3.0), Some(4.0)));
    assert_eq!(load_of(&[("mean_ms", 9.0), ("x7", 1.0)]), nickelgw::interface::EngineLoad::default());
}
