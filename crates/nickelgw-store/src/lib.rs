//! Store for the state of a node that persists over restarts. [`core`] decides what is written when, and
//! which records are still used; [`Store`] is the file, a redb database. Calls of [`Store`] block and belong
//! on a thread that may block.

pub mod core;
mod error;
mod store;

pub use error::StoreError;
pub use store::{open_or_recreate, Opened, Records, Store};
