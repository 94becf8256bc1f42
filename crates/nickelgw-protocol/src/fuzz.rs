//! Round trips of the codecs, and bytes that nobody meant.

use crate::chat::{error_code, ApiError, ChatRequest, Chunk, Whole};
use crate::engine::{read_body, write_body, KvTransfer, ReadAnswer};
use crate::list::EndpointList;
use crate::load::LoadReport;
use crate::sse::{done, frame, Event, Events};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn text() -> impl Strategy<Value = String> {
    prop_oneof!["[a-z ]{0,20}", "\\PC{0,12}", Just("\u{1F40E}\u{301}\n\"\\".to_string())]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]
    /// Events come out as they went in, however the bytes were cut.
    #[test]
    fn events_survive_any_cuts(texts in prop::collection::vec(text(), 1..8), cuts in prop::collection::vec(1usize..9, 1..40)) {
        let datas: Vec<Vec<u8>> = texts.iter().map(|t| json!({"t": t}).to_string().into_bytes()).collect();
        let mut bytes: Vec<u8> = datas.iter().flat_map(|d| frame(d)).collect();
        bytes.extend(done());
        let (mut events, mut out, mut ended, mut at) = (Events::default(), Vec::new(), false, 0);
        for n in cuts.iter().cycle() {
            let end = (at + n).min(bytes.len());
            events.push(&bytes[at..end]);
            at = end;
            while let Some(e) = events.next_event().unwrap() {
                match e {
                    Event::Data { data, .. } => out.push(data.to_vec()),
                    Event::Done => ended = true,
                }
            }
            if at == bytes.len() {
                break;
            }
        }
        prop_assert!(ended && !events.is_cut());
        prop_assert_eq!(out, datas);
    }

    /// What a client wrote reaches the engine, save for what the node sets itself; equal messages have equal names.
    #[test]
    fn a_request_reaches_the_engine_as_it_was_written(
        system in prop::option::of(text()), user in text(), extra in text(), max in prop::option::of(1u64..9999), stop in prop::collection::vec("[a-z]{1,5}", 0..4),
    ) {
        let mut messages = Vec::new();
        messages.extend(system.as_ref().map(|s| json!({"role": "system", "content": s})));
        messages.push(json!({"role": "user", "content": [{"type": "text", "text": user}]}));
        let mut v = json!({"model": "m", "messages": messages, "x_extra": extra, "stop": stop});
        if let Some(m) = max {
            v["max_tokens"] = json!(m);
        }
        let bytes = v.to_string();
        let a = ChatRequest::parse(bytes.as_bytes()).unwrap();
        let again = ChatRequest::parse(serde_json::to_string_pretty(&v).unwrap().as_bytes()).unwrap();
        prop_assert_eq!((&a.session, &a.prefix, a.max_tokens), (&again.session, &again.prefix, max));
        prop_assert_eq!(a.prefix.is_some(), system.is_some());
        let kv = KvTransfer { remote_request_id: Some(extra.clone()), ..KvTransfer::default() };
        let write: Value = serde_json::from_slice(&write_body(&a, Some(&kv)).unwrap()).unwrap();
        let read: Value = serde_json::from_slice(&read_body(&a).unwrap()).unwrap();
        for (name, value) in v.as_object().unwrap() {
            prop_assert_eq!(&write[name], value);
            prop_assert!(name == "max_tokens" || &read[name] == value);
        }
        prop_assert_eq!(&write["kv_transfer_params"]["remote_request_id"], &json!(extra));
    }

    /// Errors are read back by their code; whole answers hold what the pieces said.
    #[test]
    fn answers_are_put_together_whole(pieces in prop::collection::vec(text(), 0..9), word in text()) {
        let code = error_code(&ApiError::new(500, "server_error", "shed", word).body());
        prop_assert_eq!(code.as_deref(), Some("shed"));
        let mut w = Whole::default();
        for p in &pieces {
            w.add(Chunk::parse(json!({"id": "c", "choices": [{"delta": {"content": p}}]}).to_string().as_bytes()).unwrap());
        }
        let v: Value = serde_json::from_slice(&w.body("m")).unwrap();
        prop_assert_eq!(&v["choices"][0]["message"]["content"], &json!(pieces.concat()));
    }

    #[test]
    fn no_bytes_make_a_codec_fail(junk in prop::collection::vec(any::<u8>(), 0..300), text in "[{}\\[\\]\":a-z0-9,.\\- \n]{0,120}") {
        for bytes in [&junk[..], text.as_bytes()] {
            let _ = ChatRequest::parse(bytes);
            let _ = Chunk::parse(bytes).map(|c| Whole::default().add(c));
            let _ = ReadAnswer::parse(bytes);
            let _ = EndpointList::parse(bytes);
            error_code(bytes);
            let mut e = Events::default();
            e.push(bytes);
            // It ends: each event takes bytes away.
            while let Ok(Some(_)) = e.next_event() {}
        }
        let _ = LoadReport::parse(&text);
    }
}
