//! Service discovery by a registry. [`core`] decides which endpoints and nodes count; [`wire`] has the messages of etcd's
//! v3 JSON gateway.

pub mod core;
pub mod wire;
