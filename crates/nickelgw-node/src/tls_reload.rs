//! Reloads certificates, keys and trust roots from their files.

use crate::clock::unix_now;
use nickelgw_tls::TlsEvent;
use std::sync::{Arc, Mutex};

/// Reloads the files on a thread that may block, then logs and returns what has changed. `side` says in the
/// log which connections the files are for.
pub(crate) async fn reload<T: Send + 'static>(
    side: &str,
    files: Arc<Mutex<T>>,
    reload_files: fn(&mut T, f64) -> Vec<TlsEvent>,
) -> Vec<TlsEvent> {
    let now = unix_now();
    let events = smol::unblock(move || {
        let mut files = files.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        reload_files(&mut files, now)
    })
    .await;
    events.iter().for_each(|event| log_event(side, event));
    events
}

fn log_event(side: &str, event: &TlsEvent) {
    match event {
        TlsEvent::InForce { generation } => tracing::info!(side, generation, "TLS configuration loaded"),
        TlsEvent::Unreadable(problem) => {
            tracing::warn!(side, %problem, "TLS files unreadable; keeping the previous configuration")
        }
        TlsEvent::Refused(reason) => {
            tracing::warn!(side, why = %reason, "TLS configuration rejected; keeping the previous one")
        }
        TlsEvent::Notice(notice) => tracing::warn!(side, ?notice, "certificate notice"),
    }
}
