//! Rate of handshakes on one core, with both sides in memory.

use super::certificates::{tls_name, Certificates, NODE};
use crate::error::CommandError;
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_tls::{Server, Versions};
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, HandshakeKind, ServerConfig, ServerConnection};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of flights, enough for both sides to finish and for the session tickets to arrive.
const MAX_FLIGHTS: usize = 8;

/// Results of one run.
pub(super) struct HandshakeRun {
    pub(super) rate_per_s: f64,
    /// Mean time that the client's side of a handshake takes.
    pub(super) client_s: f64,
    /// Whether all handshakes but the first were resumed.
    pub(super) all_resumed: bool,
}

pub(super) fn measure(
    certificates: &Certificates,
    resume: bool,
    duration_s: f64,
) -> Result<HandshakeRun, CommandError> {
    let client = certificates.client(resume);
    let mut server = Server::new(certificates.files(NODE), Versions::Only13, 0.0, true);
    server.reload_if_changed(unix_now());
    let (Some((client, _)), Some(server)) = (client.config(), server.config()) else {
        return Err(CommandError("TLS files rejected: no client or server configuration was loaded".into()));
    };
    let name = ServerName::try_from(tls_name(NODE))?;
    let (mut handshakes, mut client_time, mut all_resumed) = (0u32, Duration::ZERO, true);
    let began = Instant::now();
    while began.elapsed().as_secs_f64() < duration_s {
        let kind = handshake(&client, &server, &name, &mut client_time)?;
        handshakes += 1;
        // The first handshake has no ticket to resume with.
        all_resumed &= handshakes == 1 || kind == Some(HandshakeKind::Resumed);
    }
    let elapsed_s = began.elapsed().as_secs_f64();
    Ok(HandshakeRun {
        rate_per_s: f64::from(handshakes) / elapsed_s,
        client_s: client_time.as_secs_f64() / f64::from(handshakes.max(1)),
        all_resumed,
    })
}

fn handshake(
    client_config: &Arc<ClientConfig>,
    server_config: &Arc<ServerConfig>,
    name: &ServerName<'static>,
    client_time: &mut Duration,
) -> Result<Option<HandshakeKind>, CommandError> {
    let began = Instant::now();
    let mut client = ClientConnection::new(client_config.clone(), name.clone())?;
    *client_time += began.elapsed();
    let mut server = ServerConnection::new(server_config.clone())?;
    let mut wire = Vec::with_capacity(8192);
    for _ in 0..MAX_FLIGHTS {
        let began = Instant::now();
        while client.wants_write() {
            client.write_tls(&mut wire)?;
        }
        *client_time += began.elapsed();
        let mut unread = &wire[..];
        while !unread.is_empty() {
            server.read_tls(&mut unread)?;
            server.process_new_packets()?;
        }
        wire.clear();
        while server.wants_write() {
            server.write_tls(&mut wire)?;
        }
        let began = Instant::now();
        let mut unread = &wire[..];
        while !unread.is_empty() {
            client.read_tls(&mut unread)?;
            client.process_new_packets()?;
        }
        *client_time += began.elapsed();
        wire.clear();
        let is_handshaking = client.is_handshaking() || server.is_handshaking();
        if !is_handshaking && !client.wants_write() && !server.wants_write() {
            break;
        }
    }
    Ok(client.handshake_kind())
}
