//! Persistence of a node over its restarts. [`core`] decides what is written when and which records are still used;
//! [`Store`] is the file, a redb database. Its calls block: they belong on a thread that may wait.

pub mod core;
mod error;
mod store;

pub use error::StoreError;
pub use store::{open_or_recreate, Opened, Records, Store};
