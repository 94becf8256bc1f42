//! Control calls, with which tests cause faults and read the state of the engine.

use super::faults::fault_name;
use super::model::Slowdown;
use super::Engine;
use crate::http::{error_response, json_response, read_body, ConnectionClosed, HttpResponse};
use crate::recorder::unix_now;
use hyper::body::Incoming;
use hyper::Request;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::rc::Rc;

/// Factor of a slowdown for which the control call gives none.
const DEFAULT_SLOWDOWN: f64 = 4.0;
/// Delay of handshakes for which the control call gives none.
const DEFAULT_HANDSHAKE_DELAY_S: f64 = 1.0;

/// Reason for which a control call is rejected.
enum ControlError {
    UnknownFault,
    NoTls,
}

impl ControlError {
    fn code(&self) -> &'static str {
        match self {
            ControlError::UnknownFault => "unknown_fault",
            ControlError::NoTls => "no_tls",
        }
    }
}

impl Engine {
    pub(super) async fn control(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionClosed> {
        let Ok(command) = serde_json::from_slice::<Value>(&read_body(request).await?) else {
            return Ok(error_response(400, "bad_json"));
        };
        self.recorder.record("fault", command.clone());
        if let Err(error) = self.apply_fault(&command) {
            return Ok(error_response(400, error.code()));
        }
        let model = self.model.borrow();
        let state = json!({
            "states": model.reservations.len(),
            "memory": model.memory_used,
            "running": model.running,
            "waiting": model.queued,
            "fallen": model.overloaded,
            "streams": self.streams.get(),
        });
        Ok(json_response(200, state))
    }

    fn apply_fault(&self, command: &Value) -> Result<(), ControlError> {
        let until = unix_now() + command["for_s"].as_f64().unwrap_or(0.0);
        let mut model = self.model.borrow_mut();
        if self.faults.borrow_mut().apply(command, until, &model.config.zone) {
            return Ok(());
        }
        match fault_name(command) {
            "die" => drop(self.exit.try_send(())),
            "slow" => {
                let factor = command["factor"].as_f64().unwrap_or(DEFAULT_SLOWDOWN);
                model.slowdown = Slowdown { until, factor };
            }
            "forget" => model.clear_prefix_cache(),
            "drain" => model.draining = true,
            _ => return self.apply_tls_fault(command, until),
        }
        Ok(())
    }

    fn apply_tls_fault(&self, command: &Value, until: f64) -> Result<(), ControlError> {
        let fault = fault_name(command);
        if !matches!(fault, "cert" | "handshake_slow" | "handshake_cut") {
            return Err(ControlError::UnknownFault);
        }
        let tls = self.tls.as_ref().ok_or(ControlError::NoTls)?;
        match fault {
            "cert" => {
                let path = |field: &str| command[field].as_str().map(PathBuf::from);
                tls.replace_files(path("chain"), path("key"), path("trust"));
            }
            "handshake_cut" => tls.cut_handshakes(until),
            _ => {
                let delay_s = command["rest_s"].as_f64().unwrap_or(DEFAULT_HANDSHAKE_DELAY_S);
                tls.delay_handshakes(until, delay_s);
            }
        }
        Ok(())
    }
}
