//! Requests to engines. A prefill request is a chat completion that asks for a remote decode, and its response names
//! the KV state that the engine holds; a decode request carries those parameters back and streams.

use crate::chat::ChatRequest;
use crate::usage::Usage;
use crate::Malformed;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// Error code of an engine whose queue or memory is full; the attempt has not run.
pub const ENGINE_FULL: &str = "engine_full";
/// Error code of an engine that is draining; the attempt has not run.
pub const ENGINE_DRAINING: &str = "engine_draining";
/// Error code of a decode engine that could not fetch the KV state; the attempt has not run.
pub const STATE_NOT_FOUND: &str = "state_not_found";

/// Tokens that a prefill request asks for: the prefill engine generates no answer, and engines of this kind are asked
/// for one token.
const PREFILL_MAX_TOKENS: u64 = 1;

/// Field of a request or response that holds a [`KvTransfer`].
const KV_TRANSFER_FIELD: &str = "kv_transfer_params";

/// Where a KV state is held, as in the published disaggregated-prefill requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// In a prefill request: another engine decodes, so hold the KV state for it.
    pub do_remote_decode: bool,
    /// In a prefill response and a decode request: another engine has prefilled and holds the KV state.
    pub do_remote_prefill: bool,
    /// Id of the KV state at the prefill engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_request_id: Option<String>,
    /// Id of the prefill engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_engine_id: Option<String>,
    /// host:port of the prefill engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_host: Option<String>,
    /// Name to verify the prefill engine's certificate against, where the fetch uses TLS.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_tls_name: Option<String>,
    /// The node's grant that authorizes this decode engine to fetch the KV state; it is sent with the fetch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_grant: Option<String>,
}

impl KvTransfer {
    /// The parameters of a prefill request: another engine will decode.
    pub fn remote_decode() -> Self {
        KvTransfer { do_remote_decode: true, ..KvTransfer::default() }
    }
}

/// A prefill engine's response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Id of the completion.
    pub id: String,
    /// Where the KV state is held.
    pub kv_transfer_params: KvTransfer,
    /// Token counts of the prompt.
    #[serde(default)]
    pub usage: Usage,
}

impl PrefillResponse {
    /// Decodes a response body; one that names no KV state to fetch is an error.
    pub fn parse(bytes: &[u8]) -> Result<PrefillResponse, Malformed> {
        let response: PrefillResponse = serde_json::from_slice(bytes)?;
        let transfer = &response.kv_transfer_params;
        let names_state = transfer.remote_request_id.is_some() && transfer.remote_host.is_some();
        if !transfer.do_remote_prefill || !names_state {
            return Err(Malformed::field(KV_TRANSFER_FIELD, "names no state that waits"));
        }
        Ok(response)
    }
}

/// The body of a prefill request.
pub fn prefill_request_body(chat: &ChatRequest) -> Result<Bytes, Malformed> {
    let mut fields = chat.fields.clone();
    fields.insert("stream".into(), raw_value(&false)?);
    fields.insert(KV_TRANSFER_FIELD.into(), raw_value(&KvTransfer::remote_decode())?);
    fields.insert("max_tokens".into(), raw_value(&PREFILL_MAX_TOKENS)?);
    fields.remove("max_completion_tokens");
    fields.remove("stream_options");
    Ok(serde_json::to_vec(&fields)?.into())
}

/// The body of a decode request. Without a KV state the decode engine prefills the prompt itself.
pub fn decode_request_body(chat: &ChatRequest, state: Option<&KvTransfer>) -> Result<Bytes, Malformed> {
    let mut fields = chat.fields.clone();
    fields.insert("stream".into(), raw_value(&true)?);
    match state {
        Some(transfer) => fields.insert(KV_TRANSFER_FIELD.into(), raw_value(transfer)?),
        None => fields.remove(KV_TRANSFER_FIELD),
    };
    let stream_options = serde_json::json!({"include_usage": true});
    fields.insert("stream_options".into(), raw_value(&stream_options)?);
    Ok(serde_json::to_vec(&fields)?.into())
}

fn raw_value<T: Serialize>(value: &T) -> Result<Box<RawValue>, Malformed> {
    Ok(to_raw_value(value)?)
}
