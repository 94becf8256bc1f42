//! `nickelgw check` and `nickelgw why`: checks a settings file, and asks a running node about a request.

use crate::error::CommandError;
use nickelgw_test_servers::client;
use std::path::Path;
use std::process::ExitCode;

/// Time within which the node must answer.
const ADMIN_TIMEOUT_S: f64 = 5.0;

/// Checks the settings file of a node or of a day.
pub fn check(file: &Path) -> Result<ExitCode, CommandError> {
    let kind = nickelgw_settings::load_any(file).map_err(CommandError::from_settings)?;
    println!("{}: valid settings of a {kind}", file.display());
    Ok(ExitCode::SUCCESS)
}

#[derive(clap::Args)]
pub struct Why {
    /// Request id that the client received in x-request-id.
    request_id: String,
    /// Admin address (host:port) of the node, as in its settings.
    #[arg(long, default_value = "127.0.0.1:8081")]
    admin: String,
}

fn is_request_id(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

impl Why {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let Why { request_id, admin } = self;
        if !is_request_id(&request_id) {
            return Err(CommandError(
                "invalid request id: only letters, digits, '-', '_' and '.' are allowed".into(),
            ));
        }
        let request = format!("GET /why/{request_id} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let response = smol::block_on(client::send_raw(&admin, &[request.as_bytes()], 0.0, ADMIN_TIMEOUT_S));
        let response = String::from_utf8_lossy(&response);
        let Some((head, body)) = response.split_once("\r\n\r\n") else {
            return Err(CommandError(format!("{admin}: no HTTP response from a node")));
        };
        print!("{body}");
        Ok(if head.starts_with("HTTP/1.1 200") { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}
