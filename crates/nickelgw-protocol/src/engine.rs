//! Requests to engines. A read is a chat completion that asks for a remote decode and whose answer names the
//! state held; a write carries those parameters back and streams.

use crate::chat::ChatRequest;
use crate::Malformed;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// Where a read state waits, as in the published disaggregated-prefill requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    pub do_remote_decode: bool,
    pub do_remote_prefill: bool,
    /// The state's name at the reader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_request_id: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_engine_id: Option<String>,
    /// host:port of the reader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_host: Option<String>,
    /// The name that the reader's certificate stands for, where it is spoken to by TLS.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_tls_name: Option<String>,
    /// The node's word that this writer may fetch the state; shown to the reader with the fetch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_grant: Option<String>,
}

impl KvTransfer {
    pub fn ask() -> Self {
        KvTransfer { do_remote_decode: true, ..KvTransfer::default() }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Details {
    #[serde(default)]
    pub cached_tokens: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    #[serde(default)]
    pub prompt_tokens: u64,
    #[serde(default)]
    pub completion_tokens: u64,
    #[serde(default)]
    pub total_tokens: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<Details>,
}

/// What a reader answers when the prompt has been read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    pub id: String,
    pub kv_transfer_params: KvTransfer,
    #[serde(default)]
    pub usage: Usage,
}

impl ReadAnswer {
    pub fn parse(bytes: &[u8]) -> Result<ReadAnswer, Malformed> {
        let a: ReadAnswer = serde_json::from_slice(bytes).map_err(|e| Malformed::Json(e.to_string()))?;
        let kv = &a.kv_transfer_params;
        if !kv.do_remote_prefill || kv.remote_request_id.is_none() || kv.remote_host.is_none() {
            return Err(Malformed::field("kv_transfer_params", "names no state that waits"));
        }
        Ok(a)
    }
}

/// Error codes by which an engine proves that a send has not run.
pub const FULL: &str = "engine_full";
pub const DRAINING: &str = "engine_draining";
/// Turned away as there is no state to fetch.
pub const NO_STATE: &str = "state_not_found";

fn raw<T: Serialize>(value: &T) -> Result<Box<RawValue>, Malformed> {
    to_raw_value(value).map_err(|e| Malformed::Json(e.to_string()))
}

fn body(chat: &ChatRequest, stream: bool, kv: Option<&KvTransfer>) -> Result<Bytes, Malformed> {
    let mut fields = chat.fields.clone();
    fields.insert("stream".into(), raw(&stream)?);
    match kv {
        Some(kv) => fields.insert("kv_transfer_params".into(), raw(kv)?),
        None => fields.remove("kv_transfer_params"),
    };
    if stream {
        fields.insert("stream_options".into(), raw(&serde_json::json!({"include_usage": true}))?);
    } else {
        // The reader makes no answer; one token is what such engines are asked for.
        fields.insert("max_tokens".into(), raw(&1)?);
        fields.remove("max_completion_tokens");
        fields.remove("stream_options");
    }
    serde_json::to_vec(&fields).map(Bytes::from).map_err(|e| Malformed::Json(e.to_string()))
}

pub fn read_body(chat: &ChatRequest) -> Result<Bytes, Malformed> {
    body(chat, false, Some(&KvTransfer::ask()))
}

/// With no state named, the writer reads the prompt itself.
pub fn write_body(chat: &ChatRequest, state: Option<&KvTransfer>) -> Result<Bytes, Malformed> {
    body(chat, true, state)
}
