//! Wiring: a node's settings become what the node is started with.

use crate::Unusable;
use nickelgw_node::core::door::{Model, Tenant};
use nickelgw_node::core::{Door, Figures};
use nickelgw_node::{Limits, Meter, Start};
use nickelgw_settings::{check, Node, Problem};
use nickelgw_standin::record::unix_now;
use std::sync::{Arc, Mutex};

pub fn problems(all: &[Problem]) -> Unusable {
    let lines: Vec<String> = all.iter().map(Problem::to_string).collect();
    Unusable(lines.join("\n"))
}

/// How long a let-go call is repeated: a reader back from a longer cut frees its states by itself.
const LET_GO_WITHIN_S: f64 = 15.0;

pub fn start(n: &Node, meter: Option<Arc<Mutex<Meter>>>) -> Start {
    let l = n.limits.unwrap_or_default();
    let epoch = unix_now();
    let model = |r: &nickelgw_settings::proto::ModelRoute| Model {
        name: r.model.clone(),
        timeout_s: r.route_timeout_ms / 1e3,
        timeout_per_token_s: 2.0 * r.target_per_1000_tokens_ms() / 1e6,
        whole_timeout_s: r.whole_timeout_ms() / 1e3,
    };
    let tenant = |t: &nickelgw_settings::proto::Tenant| Tenant { name: t.name.clone(), key: t.key.clone() };
    Start {
        name: n.name.clone(),
        zone: n.zone.clone(),
        deployment: check::deployment(n),
        figures: Figures {
            // A process's own: states named by an earlier one are not this one's.
            boot: format!("{}-{:x}-{:x}", n.name, std::process::id(), (epoch * 1e6) as u64),
            epoch_unix_s: epoch,
            zones: n.zones.clone(),
            most_open: l.most_open() as usize,
            stream_idle_s: l.stream_idle_ms() / 1e3,
            let_go_within_s: LET_GO_WITHIN_S,
        },
        door: Door {
            models: n.model_route.iter().map(model).collect(),
            tenants: n.tenant.iter().map(tenant).collect(),
            most_prompt_tokens: l.most_prompt_tokens(),
        },
        limits: Limits {
            most_connections: l.most_connections() as usize,
            most_body_bytes: l.most_body_bytes() as usize,
            head_s: l.head_ms() / 1e3,
            body_s: l.body_ms() / 1e3,
            connect_s: l.connect_ms() / 1e3,
            probe_s: l.probe_ms() / 1e3,
            most_idle: l.most_idle_connections() as usize,
            idle_s: l.idle_connection_ms() / 1e3,
            most_waiting: l.most_waiting() as usize,
            client_stall_s: l.client_stall_ms() / 1e3,
            come_back_s: l.come_back_ms() / 1e3,
        },
        list: n.list.clone(),
        last_list: n.last_list.as_ref().map(Into::into),
        meter,
    }
}
