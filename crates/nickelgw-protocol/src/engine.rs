//! Requests to engines. A prefill request is a chat completion that asks for a remote decode; its response
//! names the KV state that the prefill engine holds. A decode request carries these parameters to the decode
//! engine, and its response is streamed.

use crate::chat::ChatRequest;
use crate::usage::Usage;
use crate::Malformed;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// Error code of an engine whose queue or memory is full. The attempt has not run.
pub const ENGINE_FULL: &str = "engine_full";
/// Error code of an engine that is draining. The attempt has not run.
pub const ENGINE_DRAINING: &str = "engine_draining";
/// Error code of a decode engine that could not fetch the KV state. The attempt has not run.
pub const STATE_NOT_FOUND: &str = "state_not_found";

/// Number of tokens that a prefill request asks for. A prefill engine generates no answer; by convention,
/// such engines are asked for one token.
const PREFILL_MAX_TOKENS: u64 = 1;

/// Field of a request or response that holds a [`KvTransfer`].
const KV_TRANSFER_FIELD: &str = "kv_transfer_params";

/// Transfer parameters of a KV state, in the format of the published disaggregated-prefill requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Whether another engine decodes, so that this engine must hold the KV state for it. Set in a prefill
    /// request.
    pub do_remote_decode: bool,
    /// Whether another engine has prefilled and holds the KV state. Set in a prefill response and in a decode
    /// request.
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
    /// Name to verify the prefill engine's certificate against, if the fetch uses TLS.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_tls_name: Option<String>,
    /// Grant from the node that authorizes this decode engine to fetch the KV state. It is sent with the
    /// fetch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_grant: Option<String>,
}

impl KvTransfer {
    /// Returns the parameters of a prefill request, which say that another engine will decode.
    pub fn remote_decode() -> Self {
        KvTransfer { do_remote_decode: true, ..KvTransfer::default() }
    }
}

/// Response of a prefill engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Id of the completion.
    pub id: String,
    /// Transfer parameters of the KV state.
    pub kv_transfer_params: KvTransfer,
    /// Token counts of the prompt.
    #[serde(default)]
    pub usage: Usage,
}

impl PrefillResponse {
    /// Decodes a response body. Returns an error if the response does not name a KV state to fetch.
    pub fn parse(bytes: &[u8]) -> Result<PrefillResponse, Malformed> {
        let response: PrefillResponse = serde_json::from_slice(bytes)?;
        let transfer = &response.kv_transfer_params;
        let names_state = transfer.remote_request_id.is_some() && transfer.remote_host.is_some();
        if !transfer.do_remote_prefill || !names_state {
            return Err(Malformed::field(KV_TRANSFER_FIELD, "does not name a KV state to fetch"));
        }
        Ok(response)
    }
}

/// Returns the body of a prefill request.
pub fn prefill_request_body(chat: &ChatRequest) -> Result<Bytes, Malformed> {
    let mut fields = chat.fields.clone();
    fields.insert("stream".into(), raw_value(&false)?);
    fields.insert(KV_TRANSFER_FIELD.into(), raw_value(&KvTransfer::remote_decode())?);
    fields.insert("max_tokens".into(), raw_value(&PREFILL_MAX_TOKENS)?);
    fields.remove("max_completion_tokens");
    fields.remove("stream_options");
    Ok(serde_json::to_vec(&fields)?.into())
}

/// Returns the body of a decode request. Without a KV state, the decode engine prefills the prompt itself.
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
