//! TLS for connections to engines and on the chat port. [`core`] decides without I/O; the other modules read
//! files and configure rustls.

pub mod core;
mod failure;
mod key_material;
mod peer_config;
mod reload;
mod session_store;

pub use failure::{classify_error, TlsFailure};
pub use key_material::{parse, Files, KeyFile, KeyFileError, LoadedKeyMaterial, ParseError};
pub use peer_config::{Client, Server, Versions};
pub use reload::TlsEvent;
