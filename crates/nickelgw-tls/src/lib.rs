//! TLS towards engines and on the chat port: what is decided is in [`core`], without I/O; the rest reads files and
//! speaks rustls.

pub mod core;
mod failure;
mod material;
mod side;

pub use failure::{why, Why};
pub use material::{parse, Files, Problem, Read};
pub use side::{Client, Said, Server, Versions};
