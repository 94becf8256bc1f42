//! A node on the operators' platform: the platform's protocol for clients, engines and discovery, and its
//! process lifecycle, around the core that all front ends share. Everything runs on one thread, and no files
//! are written.

mod clients;
pub mod config;
mod connection;
pub mod core;
mod counters;
mod discovery;
mod node;
mod observed_idle_timeouts;
mod pool;
mod reload;
mod return_waiters;
mod server;
mod shutdown;
mod signals;
mod stream_io;

pub use server::run;
pub use signals::{signal_channel, SignalReceiver, SignalSender};
