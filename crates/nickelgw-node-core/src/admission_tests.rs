//! Tests of admission by model, tenant and size.

use super::*;

fn admission() -> Admission {
    let model = Model {
        name: "chat".into(),
        timeout_s: 5.0,
        timeout_per_token_s: 0.001,
        unary_timeout_s: 9.0,
        is_idempotent: true,
    };
    let tenant = |name: &str, key: &str| Tenant { name: name.into(), key: key.into() };
    Admission {
        models: vec![model],
        tenants: vec![tenant("a", "key-a"), tenant("b", "key-b")],
        max_prompt_tokens: 100.0,
    }
}

fn chat(model: &str, text: &str) -> ChatRequest {
    let body = format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    ChatRequest::parse(body.as_bytes()).unwrap()
}

#[test]
fn known_tenant_and_model_are_admitted_and_a_client_timeout_only_shortens() {
    let admitted = admission().admit(&chat("chat", "hi"), Some("key-b"), Some(60.0)).unwrap();
    assert_eq!((admitted.route, admitted.tenant), (0, Some(1)));
    assert!(admitted.timeout_s > 5.0 && admitted.timeout_s < 5.1, "the client's timeout only shortens");
    assert_eq!(admission().admit(&chat("chat", "hi"), Some("key-a"), Some(1.0)).unwrap().timeout_s, 1.0);
}

#[test]
fn unknown_tenant_model_and_long_prompt_are_rejected_with_their_statuses() {
    let status = |result: Result<AdmittedRequest, RejectReason>| result.unwrap_err().error(1.0).status;
    assert_eq!(status(admission().admit(&chat("chat", "hi"), None, None)), 401);
    assert_eq!(status(admission().admit(&chat("chat", "hi"), Some("key-c"), None)), 401);
    assert_eq!(status(admission().admit(&chat("nope", "hi"), Some("key-a"), None)), 404);
    assert_eq!(status(admission().admit(&chat("chat", &"x".repeat(500)), Some("key-a"), None)), 400);
    assert_eq!(RejectReason::NodeFull.error(1.5).retry_after_header().as_deref(), Some("2"));
}
