//! Handover of the listening socket to a new process of the same executable.

use super::SERVING;
use crate::error::CommandError;
use crate::timing::sleep_s;
use async_channel::Sender;
use futures_lite::{AsyncBufReadExt, StreamExt};
use nickelgw_node::ProcessSignal;
use smol::process::{ChildStdout, Command, Stdio};
use std::net::TcpListener;
use std::os::fd::OwnedFd;

/// Time within which the new process must serve.
const HANDOVER_TIMEOUT_S: f64 = 15.0;
const INHERITED_FLAG: &str = "--inherited";

/// Releases the store, so that the new process can open it, and starts that process.
pub(super) async fn hand_over(
    node: &Sender<ProcessSignal>,
    listener: &TcpListener,
) -> Result<(), CommandError> {
    let _ = node.send(ProcessSignal::ReleaseStore).await;
    start_successor(listener).await
}

/// Starts this executable again with the listening socket as its standard input, and waits until it serves.
async fn start_successor(listener: &TcpListener) -> Result<(), CommandError> {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    if !args.iter().any(|arg| arg == INHERITED_FLAG) {
        args.push(INHERITED_FLAG.into());
    }
    let socket = OwnedFd::from(listener.try_clone()?);
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdin(Stdio::from(socket)).stdout(Stdio::piped());
    let mut successor = command.spawn()?;
    let output = successor
        .stdout
        .take()
        .ok_or_else(|| CommandError("new process has no standard output pipe".into()))?;
    let timeout = async {
        sleep_s(HANDOVER_TIMEOUT_S).await;
        false
    };
    if futures_lite::future::or(announces_serving(output), timeout).await {
        tracing::info!(process = successor.id(), "new process serves");
        return Ok(());
    }
    let _ = successor.kill();
    let status = successor.status().await?;
    Err(CommandError(format!(
        "new process ended or did not serve within {HANDOVER_TIMEOUT_S} s ({status}); its own log has the reason"
    )))
}

async fn announces_serving(output: ChildStdout) -> bool {
    let mut lines = smol::io::BufReader::new(output).lines();
    while let Some(Ok(line)) = lines.next().await {
        if line == SERVING {
            return true;
        }
    }
    false
}
