//! `nickelgw serve`: a node as a process. SIGTERM: it goes by stages, each further one hastens. SIGHUP: a new process
//! with the settings as they are now takes the listening socket; is anything wrong with them, this one serves on.

use crate::signals::{Signal, Signals};
use crate::{start, Unusable};
use futures_lite::{AsyncBufReadExt, StreamExt};
use nickelgw_node::ProcessSignal;
use smol::process::{Command, Stdio};
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Serve {
    /// Its settings, in protobuf text format.
    #[arg(long)]
    config: PathBuf,
    /// Measures itself, and writes what it measured to this file when it ends.
    #[arg(long, hide = true)]
    meter: Option<PathBuf>,
    /// The listening socket comes as standard input, from the process that it takes over from.
    #[arg(long)]
    inherited: bool,
}

/// A new process must say that it serves within this time.
const TAKE_OVER_S: u64 = 15;

/// Standard output may be gone by now: whoever started this read what it wanted.
fn say(word: &str) {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "{word}").and_then(|()| out.flush());
}

impl Serve {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        let node = nickelgw_settings::load_node(&self.config).map_err(|p| start::problems(&p))?;
        let measured = self.meter.is_some().then(Default::default);
        // Whatever is wrong is said before anything listens.
        let mut start = start::start(&node, measured.clone())?;
        start.accept_when_ready = self.inherited;
        if self.inherited {
            // The process before needs its states until it has gone.
            let l = start.shutdown;
            let gone = l.announce_s + l.drain_timeout_s + l.exit_timeout_s + 1.0;
            start.core_config.orphan_cleanup_window_s =
                (gone, start.core_config.orphan_cleanup_window_s.1 + gone);
        }
        let listener = match self.inherited {
            true => TcpListener::from(std::io::stdin().as_fd().try_clone_to_owned()?),
            false => TcpListener::bind(node.listen())
                .map_err(|e| Unusable(format!("{}: cannot listen: {e}", node.listen())))?,
        };
        let address = listener
            .local_addr()
            .map_err(|e| Unusable(format!("the socket taken over listens nowhere: {e}")))?;
        say(&format!("listening {address}"));
        if self.inherited {
            start.admin_address = node.admin.clone();
        } else if let Some(a) = &node.admin {
            let l = TcpListener::bind(a).map_err(|e| Unusable(format!("{a}: cannot listen: {e}")))?;
            say(&format!("admin {}", l.local_addr()?));
            start.admin = Some(l);
        }
        if let Some(t) = start.gossip.as_mut().filter(|_| !self.inherited) {
            let at = t.sockets.listen.clone();
            let s =
                UdpSocket::bind(&at).map_err(|e| Unusable(format!("{at}: cannot listen for nodes: {e}")))?;
            let bound = s.local_addr()?.to_string();
            say(&format!("accord {bound}"));
            if node.accord.as_ref().is_some_and(|a| a.address.is_none()) {
                t.gossip.set_own_address(bound);
            }
            t.sockets.socket = Some(s);
        }
        let spare = listener.try_clone()?;
        let (tell, orders) = async_channel::bounded(16);
        start.signals = orders;
        start.on_serving = Some(Box::new(|| say("serving")));
        let mut signals = Signals::new()?;
        let told = async {
            let mut leaving = false;
            loop {
                let order = match (signals.next().await?, leaving) {
                    (Signal::End, false) => ProcessSignal::Drain,
                    (Signal::End, true) => ProcessSignal::SkipStage,
                    (Signal::Renew, true) => continue,
                    (Signal::Renew, false) => match renew(&tell, &spare).await {
                        Ok(()) => ProcessSignal::DrainHandedOver,
                        Err(Unusable(why)) => {
                            let _ = tell.send(ProcessSignal::ResumeStore).await;
                            tracing::error!("no new process took over, this one serves on: {why}");
                            continue;
                        }
                    },
                };
                leaving = true;
                let _ = tell.send(order).await;
            }
        };
        let exit = smol::block_on(futures_lite::future::or(nickelgw_node::run(listener, start), told))?;
        if let (Some(path), Some(m)) = (self.meter, measured) {
            let m = m.lock().unwrap_or_else(|e| e.into_inner());
            std::fs::write(path, m.json().to_string())?;
        }
        Ok(ExitCode::from(exit.code()))
    }
}

async fn renew(tell: &async_channel::Sender<ProcessSignal>, spare: &TcpListener) -> Result<(), Unusable> {
    let _ = tell.send(ProcessSignal::ReleaseStore).await;
    take_over(spare).await
}

/// Starts this command anew with the listening socket in its hands, and waits until it serves.
async fn take_over(listener: &TcpListener) -> Result<(), Unusable> {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    if !args.iter().any(|a| a == "--inherited") {
        args.push("--inherited".into());
    }
    let socket = OwnedFd::from(listener.try_clone()?);
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdin(Stdio::from(socket)).stdout(Stdio::piped());
    let mut child = command.spawn()?;
    let out = child.stdout.take().ok_or_else(|| Unusable("it has no output".into()))?;
    let mut lines = smol::io::BufReader::new(out).lines();
    let serving = async {
        while let Some(Ok(line)) = lines.next().await {
            if line == "serving" {
                return true;
            }
        }
        false
    };
    let late = async {
        smol::Timer::after(Duration::from_secs(TAKE_OVER_S)).await;
        false
    };
    if futures_lite::future::or(serving, late).await {
        tracing::info!(process = child.id(), "a new process serves");
        return Ok(());
    }
    let _ = child.kill();
    let status = child.status().await?;
    Err(Unusable(format!("it did not come to serve ({status}); its own log says why")))
}
