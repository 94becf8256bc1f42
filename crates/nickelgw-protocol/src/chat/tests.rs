use super::*;
use crate::engine::{decode_request_body, prefill_request_body, KvTransfer, PrefillResponse};
use serde_json::{json, Value};

const REQUEST: &str = r#"{"model":"chat","messages":[{"role":"system","content":"Be kind."},
        {"role":"user","content":[{"type":"text","text":"Hi \"there\""}]}],"max_tokens":7,"top_k":3}"#;

#[test]
fn equal_instructions_have_equal_prefix_names_and_sessions_differ() {
    let request = ChatRequest::parse(REQUEST.as_bytes()).unwrap();
    let other = ChatRequest::parse(REQUEST.replace("Hi ", "Ho ").as_bytes()).unwrap();
    assert_eq!(request.prefix, other.prefix);
    assert_ne!(request.session, other.session);
    assert!(request.prefix_tokens > 0.0 && request.prefix_tokens < request.prompt_tokens);
    assert_eq!((request.max_tokens, request.stream), (Some(7), false));
}

#[test]
fn engine_requests_carry_the_clients_fields_and_the_kv_transfer_parameters() {
    let request = ChatRequest::parse(REQUEST.as_bytes()).unwrap();
    let prefill: Value = serde_json::from_slice(&prefill_request_body(&request).unwrap()).unwrap();
    assert_eq!((&prefill["max_tokens"], &prefill["top_k"]), (&json!(1), &json!(3)));
    assert_eq!(prefill["kv_transfer_params"]["do_remote_decode"], true);
    let transfer =
        KvTransfer { do_remote_prefill: true, remote_request_id: Some("s".into()), ..KvTransfer::default() };
    let decode = decode_request_body(&request, Some(&transfer)).unwrap();
    let decode: Value = serde_json::from_slice(&decode).unwrap();
    assert_eq!((&decode["stream"], &decode["max_tokens"]), (&json!(true), &json!(7)));
    assert_eq!(decode["kv_transfer_params"]["remote_request_id"], "s");
    assert!(PrefillResponse::parse(
        br#"{"id":"x","kv_transfer_params":{"do_remote_decode":false,"do_remote_prefill":false}}"#
    )
    .is_err());
}

#[test]
fn invalid_requests_are_rejected_with_400_and_the_invalid_field() {
    for (text, field) in [
        (r#"{"messages":[]}"#, Some("model")),
        (r#"{"model":"m","messages":[]}"#, Some("messages")),
        (r#"{"model":"m","messages":[{"role":"user","content":5}]}"#, Some("messages")),
        (r#"{"model":"m","messages":[{"role":"user"}],"n":2}"#, Some("n")),
        (r#"{"model":"m","messages":[{"role":"boss"}]}"#, Some("messages")),
        (r#"{"model":"m","messages":[{"role":"user"}],"stop":["a","b","c","d","e"]}"#, Some("stop")),
        (r#"{"model":"m","messages":[{"role":"user"}],"stop":""}"#, Some("stop")),
        (r#"{"model":"m","messages":[{"role":"user"}],"stream_options":{}}"#, Some("stream_options")),
        (r#"{"model":"m","messages":[{"role":"user"}],"stream":"yes"}"#, Some("stream")),
        (r#"{"model":"m","#, None),
    ] {
        let error = ApiError::invalid_request(&ChatRequest::parse(text.as_bytes()).unwrap_err());
        assert_eq!((error.status, error.param), (400, field), "{text}");
    }
}

fn assemble(chunks: &[&str]) -> Value {
    let mut response = UnaryResponse::default();
    for chunk in chunks {
        response.push_chunk(Chunk::parse(chunk.as_bytes()).unwrap());
    }
    serde_json::from_slice(&response.body("chat")).unwrap()
}

#[test]
fn unary_response_is_the_concatenation_of_its_chunks() {
    let response = assemble(&[
        r#"{"id":"c1","created":5,"choices":[{"delta":{"role":"assistant","content":"a"}}]}"#,
        r#"{"id":"c1","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}"#,
        r#"{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#,
    ]);
    assert_eq!(response["choices"][0]["message"]["content"], "ab");
    assert_eq!(
        (&response["choices"][0]["finish_reason"], &response["usage"]["total_tokens"]),
        (&json!("stop"), &json!(5))
    );
}

#[test]
fn tool_calls_are_assembled_from_their_deltas() {
    let response = assemble(&[
        r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"rain","arguments":"{\"at\":"}}]}}]}"#,
        r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}},{"index":1,"id":"c2","function":{"name":"sun","arguments":"{}"}},{"index":900}]}}]}"#,
        r#"{"choices":[{"delta":{},"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"}]}}]}"#,
    ]);
    let message = &response["choices"][0]["message"];
    let calls = &message["tool_calls"];
    assert_eq!(calls[0]["function"], json!({"name": "rain", "arguments": "{\"at\":1}"}));
    assert_eq!((&calls[1]["id"], calls.as_array().unwrap().len()), (&json!("c2"), 2));
    assert_eq!(
        (&message["content"], &response["choices"][0]["logprobs"]["content"][0]["token"]),
        (&Value::Null, &json!("a"))
    );
}
