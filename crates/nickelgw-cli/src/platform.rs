//! `nickelgw platform`: a node in service on the operators' platform.

use crate::error::CommandError;
use crate::signals::{Signal, SignalListener};
use nickelgw_platform::start::{Start, CONFIG};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

pub fn run() -> Result<ExitCode, CommandError> {
    let env = |name: &str| std::env::var(name).ok();
    let path = PathBuf::from(env(CONFIG).ok_or_else(|| CommandError(format!("{CONFIG} is not set")))?);
    let start = Start::read(&path, env).map_err(CommandError)?;
    // Before anybody can connect: a signal that came between the two would end the process with what it had accepted.
    let mut signals = SignalListener::new()?;
    let listener = TcpListener::bind(&start.listen)
        .map_err(|error| CommandError(format!("{}: cannot listen: {error}", start.listen)))?;
    let (orders, ordered) = nickelgw_platform::orders();
    let told = async {
        loop {
            match signals.next().await? {
                Signal::Terminate => orders.shut_down(),
                Signal::Reload => orders.reload(),
            }
        }
    };
    let work = nickelgw_platform::run(listener, start, Some(path), ordered);
    smol::block_on(futures_lite::future::or(work, told))?;
    Ok(ExitCode::SUCCESS)
}
