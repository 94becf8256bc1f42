//! nickelgw routes language-model requests to prefill and decode engines: the decision module and the types
//! that its callers exchange with it.

pub mod decide;
pub mod interface;
