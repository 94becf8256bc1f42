//! Service discovery through a registry. The sans-I/O [`core`] decides which endpoints and nodes count;
//! [`wire`] contains the messages of etcd's v3 JSON gateway.

pub mod core;
pub mod wire;
