//! Property tests of the codecs: round trips, and arbitrary bytes as input.

use crate::chat::{error_code, ApiError, ChatRequest, Chunk, UnaryResponse};
use crate::engine::{decode_request_body, prefill_request_body, KvTransfer, PrefillResponse};
use crate::list::EndpointList;
use crate::load::LoadReport;
use crate::sse::{done_event, encode_event, Event, EventDecoder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn text() -> impl Strategy<Value = String> {
    prop_oneof!["[a-z ]{0,20}", "\\PC{0,12}", Just("\u{1F40E}\u{301}\n\"\\".to_string())]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn events_round_trip_however_the_bytes_are_split(texts in prop::collection::vec(text(), 1..8), piece_lens in prop::collection::vec(1usize..9, 1..40)) {
        let sent: Vec<Vec<u8>> = texts.iter().map(|text| json!({"t": text}).to_string().into_bytes()).collect();
        let mut bytes: Vec<u8> = sent.iter().flat_map(|data| encode_event(data)).collect();
        bytes.extend(done_event());
        let (mut decoder, mut received, mut done, mut offset) = (EventDecoder::default(), Vec::new(), false, 0);
        for piece_len in piece_lens.iter().cycle() {
            let end = (offset + piece_len).min(bytes.len());
            decoder.push(&bytes[offset..end]);
            offset = end;
            while let Some(event) = decoder.next_event().unwrap() {
                match event {
                    Event::Data { data, .. } => received.push(data.to_vec()),
                    Event::Done => done = true,
                }
            }
            if offset == bytes.len() {
                break;
            }
        }
        prop_assert!(done && !decoder.has_incomplete_event());
        prop_assert_eq!(received, sent);
    }

    /// The client's fields reach the engine, except for those that the node sets. Equal messages have equal
    /// session and prefix names.
    #[test]
    fn engine_requests_preserve_the_clients_fields(
        system in prop::option::of(text()), user in text(), extra in text(), max in prop::option::of(1u64..9999), stop in prop::collection::vec("[a-z]{1,5}", 0..4),
    ) {
        let mut messages = Vec::new();
        messages.extend(system.as_ref().map(|text| json!({"role": "system", "content": text})));
        messages.push(json!({"role": "user", "content": [{"type": "text", "text": user}]}));
        let mut body = json!({"model": "m", "messages": messages, "x_extra": extra, "stop": stop});
        if let Some(max) = max {
            body["max_tokens"] = json!(max);
        }
        let bytes = body.to_string();
        let request = ChatRequest::parse(bytes.as_bytes()).unwrap();
        let reformatted = ChatRequest::parse(serde_json::to_string_pretty(&body).unwrap().as_bytes()).unwrap();
        prop_assert_eq!((&request.session, &request.prefix, request.max_tokens), (&reformatted.session, &reformatted.prefix, max));
        prop_assert_eq!(request.prefix.is_some(), system.is_some());
        let transfer = KvTransfer { remote_request_id: Some(extra.clone()), ..KvTransfer::default() };
        let decode: Value = serde_json::from_slice(&decode_request_body(&request, Some(&transfer)).unwrap()).unwrap();
        let prefill: Value = serde_json::from_slice(&prefill_request_body(&request).unwrap()).unwrap();
        for (name, value) in body.as_object().unwrap() {
            prop_assert_eq!(&decode[name], value);
            prop_assert!(name == "max_tokens" || &prefill[name] == value);
        }
        prop_assert_eq!(&decode["kv_transfer_params"]["remote_request_id"], &json!(extra));
    }

    #[test]
    fn error_codes_and_unary_responses_round_trip(pieces in prop::collection::vec(text(), 0..9), message in text()) {
        let code = error_code(&ApiError::new(500, "server_error", "shed", message).body());
        prop_assert_eq!(code.as_deref(), Some("shed"));
        let mut response = UnaryResponse::default();
        for piece in &pieces {
            let chunk = json!({"id": "c", "choices": [{"delta": {"content": piece}}]}).to_string();
            response.push_chunk(Chunk::parse(chunk.as_bytes()).unwrap());
        }
        let body: Value = serde_json::from_slice(&response.body("m")).unwrap();
        prop_assert_eq!(&body["choices"][0]["message"]["content"], &json!(pieces.concat()));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_a_codec(junk in prop::collection::vec(any::<u8>(), 0..300), text in "[{}\\[\\]\":a-z0-9,.\\- \n]{0,120}") {
        for bytes in [&junk[..], text.as_bytes()] {
            let _ = ChatRequest::parse(bytes);
            let _ = Chunk::parse(bytes).map(|chunk| UnaryResponse::default().push_chunk(chunk));
            let _ = PrefillResponse::parse(bytes);
            let _ = EndpointList::parse(bytes);
            error_code(bytes);
            let mut decoder = EventDecoder::default();
            decoder.push(bytes);
            // The loop ends because each event consumes bytes.
            while let Ok(Some(_)) = decoder.next_event() {}
        }
        let _ = LoadReport::parse(&text);
    }
}
