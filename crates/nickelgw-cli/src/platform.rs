//! `nickelgw platform`: runs a node on the operators' platform.

use crate::error::CommandError;
use crate::signals::{Signal, SignalListener};
use nickelgw_platform::config::{NodeConfig, CONFIG_PATH_VARIABLE};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs a node until a signal shuts it down.
pub fn run() -> Result<ExitCode, CommandError> {
    let environment = |name: &str| std::env::var(name).ok();
    let not_set = || CommandError(format!("environment variable {CONFIG_PATH_VARIABLE} is not set"));
    let path = PathBuf::from(environment(CONFIG_PATH_VARIABLE).ok_or_else(not_set)?);
    let config = NodeConfig::read(&path, environment).map_err(|error| CommandError(error.to_string()))?;
    // Signals are registered before the socket listens: a signal in between would end the process together
    // with the connections that it had accepted.
    let mut signals = SignalListener::new()?;
    let listener = TcpListener::bind(&config.listen)
        .map_err(|error| CommandError(format!("{}: cannot listen: {error}", config.listen)))?;
    let (sender, receiver) = nickelgw_platform::signal_channel();
    let forward_signals = async {
        loop {
            match signals.next().await? {
                Signal::Terminate => sender.request_shutdown(),
                Signal::Reload => sender.request_reload(),
            }
        }
    };
    let serve = nickelgw_platform::run(listener, config, Some(path), receiver);
    smol::block_on(futures_lite::future::or(serve, forward_signals))?;
    Ok(ExitCode::SUCCESS)
}
