//! A node on the operators' platform: their protocol for clients, engines and discovery, their process lifecycle, around
//! the core that all front ends share. Everything runs on one thread and writes no files.

mod clients;
pub mod config;
mod connection;
pub mod core;
mod counters;
mod discovery;
mod node;
mod pool;
mod reload;
mod server;
mod shutdown;
mod signals;
mod stream_io;

pub use server::run;
pub use signals::{signal_channel, SignalReceiver, SignalSender};
