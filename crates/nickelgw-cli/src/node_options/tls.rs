//! TLS options of a node. Certificates, keys and trust roots are read at once: a node whose files cannot be
//! used does not start.

use crate::error::CommandError;
use nickelgw_node::TlsOptions;
use nickelgw_settings::proto::{ChatTls, EngineTls};
use nickelgw_settings::Node;
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_tls::{Client, Files, Server, TlsEvent, Versions};
use std::path::PathBuf;

/// Time for which roots of client certificates stay trusted after a new trust file leaves them out.
const CLIENT_TRUST_OVERLAP_S: f64 = 600.0;

pub(super) fn options(node: &Node) -> Result<TlsOptions, CommandError> {
    let mut options = match &node.engine_tls {
        Some(tls) => engine_options(tls)?,
        None => TlsOptions {
            reload_s: 1.0,
            max_handshakes: 16,
            max_handshakes_per_engine: 2,
            ..TlsOptions::default()
        },
    };
    if let Some(tls) = &node.chat_tls {
        options.chat = Some(chat_server(tls)?);
    }
    Ok(options)
}

fn path(setting: &Option<String>) -> Option<PathBuf> {
    setting.as_ref().map(Into::into)
}

fn versions(allow_tls12: bool) -> Versions {
    if allow_tls12 {
        Versions::From12
    } else {
        Versions::Only13
    }
}

/// Returns an error with the reason in the first event if no configuration could be loaded.
fn require_loaded(events: Vec<TlsEvent>, is_loaded: bool) -> Result<(), CommandError> {
    match events.into_iter().next() {
        _ if is_loaded => Ok(()),
        Some(TlsEvent::Unreadable(error)) => Err(CommandError(error.to_string())),
        Some(TlsEvent::Refused(reason)) => Err(CommandError(format!("TLS files rejected: {reason}"))),
        _ => Err(CommandError("TLS files cannot be used: no configuration was loaded".into())),
    }
}

fn engine_options(tls: &EngineTls) -> Result<TlsOptions, CommandError> {
    let files = Files { chain: path(&tls.chain), key: path(&tls.key), trust: Some((&tls.trust).into()) };
    let mut client = Client::new(files, versions(tls.allow_tls12()), tls.trust_overlap_ms() / 1e3);
    client.resume = tls.resume();
    let events = client.reload_if_changed(unix_now());
    require_loaded(events, client.config().is_some())?;
    Ok(TlsOptions {
        engines: Some(client),
        chat: None,
        reload_s: tls.reload_ms() / 1e3,
        max_handshakes: tls.handshakes_at_once() as usize,
        max_handshakes_per_engine: tls.handshakes_at_once_engine() as usize,
        retire_gap_s: tls.retire_gap_ms() / 1e3,
    })
}

fn chat_server(tls: &ChatTls) -> Result<Server, CommandError> {
    let (chain, key) = (Some((&tls.chain).into()), Some((&tls.key).into()));
    let files = Files { chain, key, trust: path(&tls.client_trust) };
    let is_mutual = tls.client_trust.is_some();
    let mut server = Server::new(files, versions(tls.allow_tls12()), CLIENT_TRUST_OVERLAP_S, is_mutual);
    let events = server.reload_if_changed(unix_now());
    require_loaded(events, server.config().is_some())?;
    Ok(server)
}
