use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn messages_of_the_json_gateway_are_parsed() {
    let line = r#"{"id":"e1","address":"h:1","zone":"a","role":"read","memory_tokens":5,"state":"in"}"#;
    let pair = json!({"key": base64_text(b"eng/e1"), "value": base64_text(line.as_bytes()), "create_revision": "4", "mod_revision": "9"});
    let text = json!({"header": {"cluster_id": "14841639068965178418", "revision": "12"}, "kvs": [pair, {"key": base64_text(b"eng/e2"), "value": base64_text(line.as_bytes())}]});
    let range: RangeResponse = parse_response(text.to_string().as_bytes()).unwrap();
    let (entries, malformed) = endpoint_entries("eng/", &range.kvs);
    assert_eq!((range.header.revision, entries.len(), malformed, entries[0].id.as_str()), (12, 1, 1, "e1"));
    let text = json!({"result": {"header": {"revision": "13"}, "events": [{"kv": pair}, {"type": "DELETE", "kv": {"key": base64_text(b"eng/e9")}}]}});
    let watch: WatchResponse = parse_stream_message(text.to_string().as_bytes()).unwrap();
    assert_eq!(
        endpoint_events("eng/", &watch.events),
        vec![RegistryEvent::Put(entries[0].clone()), RegistryEvent::Delete("e9".into())]
    );
    let compacted = br#"{"result":{"canceled":true,"compact_revision":"7"}}"#;
    assert_eq!(parse_stream_message::<WatchResponse>(compacted).unwrap().compact_revision, 7);
    let error =
        br#"{"error":{"grpc_code":5,"http_code":404,"message":"etcdserver: requested lease not found"}}"#;
    assert_eq!(
        parse_stream_message::<LeaseResponse>(error).unwrap_err(),
        RegistryError::Failed("etcdserver: requested lease not found".into())
    );
    assert_eq!(
        (prefix_end(b"eng/"), prefix_end(b"a\xff"), prefix_end(b"\xff")),
        (b"eng0".to_vec(), b"b".to_vec(), vec![0])
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(95), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn any_bytes_are_parsed_or_rejected_without_a_panic(junk in prop::collection::vec(any::<u8>(), 0..200), text in "[{}\\[\\]\":a-z0-9,]{0,80}") {
        for bytes in [&junk[..], text.as_bytes()] {
            let _ = parse_response::<RangeResponse>(bytes);
            let _ = parse_stream_message::<WatchResponse>(bytes);
            let _ = parse_stream_message::<LeaseResponse>(bytes);
            error_of_body(bytes);
        }
        let pair = KeyValue { key: junk.clone(), value: junk.clone(), ..KeyValue::default() };
        prop_assert!(endpoint_entries("", std::slice::from_ref(&pair)).0.is_empty() && node_registrations("", &[pair]).is_empty());
    }
}
