//! `nickelgw platform`: a node in service on the operators' platform.

use crate::signals::{Signal, Signals};
use crate::Unusable;
use nickelgw_platform::start::{Start, CONFIG};
use nickelgw_platform::Order;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

pub fn run() -> Result<ExitCode, Unusable> {
    let env = |name: &str| std::env::var(name).ok();
    let path = PathBuf::from(env(CONFIG).ok_or_else(|| Unusable(format!("{CONFIG} is not set")))?);
    let start = Start::read(&path, env).map_err(Unusable)?;
    let listener = TcpListener::bind(&start.listen)
        .map_err(|e| Unusable(format!("{}: cannot listen: {e}", start.listen)))?;
    let mut signals = Signals::new()?;
    let (order, orders) = async_channel::bounded(16);
    let told = async {
        loop {
            let order_now = match signals.next().await? {
                Signal::End => Order::Leave,
                Signal::Renew => Order::Renew,
            };
            // A full channel holds the same orders already.
            let _ = order.try_send(order_now);
        }
    };
    let work = nickelgw_platform::run(listener, start, Some(path), orders);
    smol::block_on(futures_lite::future::or(work, told))?;
    Ok(ExitCode::SUCCESS)
}
