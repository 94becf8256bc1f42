//! TLS towards engines and on the chat port: what is decided is in [`core`], without I/O; the rest reads files and
//! speaks rustls.

pub mod core;
mod failure;
mod key_material;
mod peer_config;

pub use failure::{why, TlsFailure};
pub use key_material::{parse, Files, Problem, Read};
pub use peer_config::{Client, Server, TlsEvent, Versions};
