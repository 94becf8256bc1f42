//! Child processes that run this executable.

use crate::error::CommandError;
use crate::timing::sleep_s;
use futures_lite::{AsyncBufReadExt, StreamExt};
use smol::process::{Child, Command, Stdio};
use std::path::Path;

/// Prefix of the first line that a listening process prints on standard output; its address follows.
pub const LISTENING_PREFIX: &str = "listening ";
/// Time within which a child process must print its address.
const START_TIMEOUT_S: f64 = 10.0;

/// A child process and the address that it listens on.
pub struct ListeningChild {
    /// The process, which is killed when this value is dropped.
    pub child: Child,
    /// Address (`host:port`) that the process listens on.
    pub address: String,
}

/// Starts this executable with other arguments, appends its standard error to `log`, and waits until it
/// listens.
pub async fn spawn_command(args: &[String], log: &Path) -> Result<ListeningChild, CommandError> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
    let mut child = command.spawn()?;
    let output = child
        .stdout
        .take()
        .ok_or_else(|| CommandError("child process has no standard output pipe".into()))?;
    let mut lines = smol::io::BufReader::new(output).lines();
    let first_line = futures_lite::future::or(async { lines.next().await }, async {
        sleep_s(START_TIMEOUT_S).await;
        None
    });
    let first_line = first_line.await.and_then(Result::ok);
    match first_line.as_deref().and_then(|line| line.strip_prefix(LISTENING_PREFIX)) {
        Some(address) => Ok(ListeningChild { child, address: address.to_string() }),
        None => Err(CommandError(format!(
            "child process ended or did not print its address within {START_TIMEOUT_S} s: nickelgw {}",
            args.join(" ")
        ))),
    }
}

/// Copies arguments into owned strings.
pub fn owned_args(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| arg.to_string()).collect()
}
