//! Child processes that run this same command.

use crate::error::CommandError;
use crate::timing::sleep_s;
use futures_lite::{AsyncBufReadExt, StreamExt};
use smol::process::{Child, Command, Stdio};
use std::path::Path;

/// What a process that listens prints first, before its address.
pub const LISTENING: &str = "listening ";
/// A child must listen within this time.
const START_TIMEOUT_S: f64 = 10.0;

/// A child process and the address that it listens on.
pub struct ListeningChild {
    /// Killed when it is dropped.
    pub child: Child,
    /// Host and port.
    pub address: String,
}

/// Starts this program again with other arguments, and waits until it listens.
pub async fn spawn_command(args: &[String], log: &Path) -> Result<ListeningChild, CommandError> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
    let mut child = command.spawn()?;
    let output = child.stdout.take().ok_or_else(|| CommandError("a child has no output".into()))?;
    let mut lines = smol::io::BufReader::new(output).lines();
    let first_line = futures_lite::future::or(async { lines.next().await }, async {
        sleep_s(START_TIMEOUT_S).await;
        None
    });
    let first_line = first_line.await.and_then(Result::ok);
    match first_line.as_deref().and_then(|line| line.strip_prefix(LISTENING)) {
        Some(address) => Ok(ListeningChild { child, address: address.to_string() }),
        None => Err(CommandError(format!("a child did not start: {}", args.join(" ")))),
    }
}

/// Owned arguments.
pub fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| arg.to_string()).collect()
}
