//! `nickelgw serve`: runs a node as a process. SIGTERM drains it in stages; each further SIGTERM skips a
//! stage. SIGHUP starts a new process with the current settings, which takes over the listening socket; if
//! the new process fails to start, for example because the settings are invalid, this one keeps serving.

mod handover;

use crate::error::{with_context, CommandError};
use crate::node_options;
use crate::signals::{Signal, SignalListener};
use async_channel::Sender;
use nickelgw_node::{LatencyMetrics, NodeOptions, ProcessSignal};
use nickelgw_settings::Node;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};

/// Capacity of the channel that carries signals to the node.
const MAX_QUEUED_SIGNALS: usize = 16;
/// Line that a process prints once it serves.
const SERVING: &str = "serving";
/// Time for the predecessor process to end, in addition to the longest duration of its shutdown.
const PREDECESSOR_MARGIN_S: f64 = 1.0;

#[derive(clap::Args)]
pub struct Serve {
    /// Settings file of the node, in protobuf text format.
    #[arg(long)]
    config: PathBuf,
    /// File to which the node writes its own latency metrics when it ends.
    #[arg(long, hide = true)]
    meter: Option<PathBuf>,
    /// Takes the listening socket as standard input, from the process that this one replaces.
    #[arg(long)]
    inherited: bool,
}

/// Prints a line for the process that started this one. Errors are ignored: standard output may have been
/// closed by its reader.
fn announce(line: &str) {
    let mut output = std::io::stdout();
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}

impl Serve {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let node = nickelgw_settings::load_node(&self.config).map_err(CommandError::from_settings)?;
        let latency = self.meter.is_some().then(Arc::<Mutex<LatencyMetrics>>::default);
        // Errors in the settings are reported before any socket listens.
        let mut options = node_options::from_settings(&node, latency.clone())?;
        if self.inherited {
            expect_predecessor(&mut options);
        }
        let listener = self.listener(&node)?;
        let address =
            listener.local_addr().map_err(with_context("cannot read the address of the listening socket"))?;
        announce(&format!("listening {address}"));
        if self.inherited {
            options.admin_address = node.admin.clone();
        } else {
            bind_admin(&node, &mut options)?;
            bind_gossip(&node, &mut options)?;
        }
        let handover_listener = listener.try_clone()?;
        let (signal_sender, signals) = async_channel::bounded(MAX_QUEUED_SIGNALS);
        options.signals = signals;
        options.on_serving = Some(Box::new(|| announce(SERVING)));
        let signal_listener = SignalListener::new()?;
        let forwarding = forward_signals(signal_listener, signal_sender, handover_listener);
        let serving = nickelgw_node::run(listener, options);
        let exit = smol::block_on(futures_lite::future::or(serving, forwarding))?;
        if let (Some(path), Some(latency)) = (&self.meter, &latency) {
            write_latency(path, latency)?;
        }
        Ok(ExitCode::from(exit.code()))
    }

    fn listener(&self, node: &Node) -> Result<TcpListener, CommandError> {
        if self.inherited {
            let listener = TcpListener::from(std::io::stdin().as_fd().try_clone_to_owned()?);
            // A copy left open as standard input would keep listening after the node has closed its own.
            rustix::stdio::dup2_stdin(File::open("/dev/null")?).map_err(std::io::Error::from)?;
            return Ok(listener);
        }
        let address = node.listen();
        TcpListener::bind(address).map_err(with_context(format!("{address}: cannot listen")))
    }
}

/// Prepares the options for a predecessor process that still serves: this process accepts connections only
/// once it is ready itself, and does not release the predecessor's reservations until that process has ended.
fn expect_predecessor(options: &mut NodeOptions) {
    options.accept_when_ready = true;
    let shutdown = options.shutdown;
    let gone_after_s =
        shutdown.announce_s + shutdown.drain_timeout_s + shutdown.exit_timeout_s + PREDECESSOR_MARGIN_S;
    let window_s = options.core_config.orphan_cleanup_window_s;
    options.core_config.orphan_cleanup_window_s = (gone_after_s, window_s.1 + gone_after_s);
}

fn bind_admin(node: &Node, options: &mut NodeOptions) -> Result<(), CommandError> {
    let Some(address) = &node.admin else { return Ok(()) };
    let listener = TcpListener::bind(address).map_err(with_context(format!("{address}: cannot listen")))?;
    announce(&format!("admin {}", listener.local_addr()?));
    options.admin = Some(listener);
    Ok(())
}

fn bind_gossip(node: &Node, options: &mut NodeOptions) -> Result<(), CommandError> {
    let Some(gossip) = &mut options.gossip else { return Ok(()) };
    let address = &gossip.socket.address;
    let socket =
        UdpSocket::bind(address).map_err(with_context(format!("{address}: cannot listen for gossip")))?;
    let bound = socket.local_addr()?.to_string();
    announce(&format!("accord {bound}"));
    if node.accord.as_ref().is_some_and(|accord| accord.address.is_none()) {
        gossip.gossip.set_own_address(bound);
    }
    gossip.socket.bound = Some(socket);
    Ok(())
}

/// Forwards the process's signals to the node for as long as it runs. The copy of the listening socket is for
/// a handover and is closed once the node drains: as long as it was open, connections were established that
/// no process accepted.
async fn forward_signals<T>(
    mut signals: SignalListener,
    node: Sender<ProcessSignal>,
    listener: TcpListener,
) -> std::io::Result<T> {
    let mut listener = Some(listener);
    loop {
        let signal = match (signals.next().await?, &listener) {
            (Signal::Terminate, Some(_)) => ProcessSignal::Drain,
            (Signal::Terminate, None) => ProcessSignal::SkipStage,
            (Signal::Reload, None) => continue,
            (Signal::Reload, Some(listener)) => match handover::hand_over(&node, listener).await {
                Ok(()) => ProcessSignal::DrainHandedOver,
                Err(CommandError(reason)) => {
                    let _ = node.send(ProcessSignal::ResumeStore).await;
                    tracing::error!("handover failed, this process keeps serving: {reason}");
                    continue;
                }
            },
        };
        listener = None;
        let _ = node.send(signal).await;
    }
}

fn write_latency(path: &Path, latency: &Mutex<LatencyMetrics>) -> Result<(), CommandError> {
    let latency = latency.lock().unwrap_or_else(PoisonError::into_inner);
    std::fs::write(path, latency.json().to_string())?;
    Ok(())
}
