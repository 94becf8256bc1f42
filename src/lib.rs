//! The decision module of nickelgw, which routes language-model requests to prefill and decode engines, and
//! the types that it exchanges with its callers.

pub mod decide;
pub mod interface;
