//! Checks of settings: what cannot work is refused before anything listens, with its place.

use crate::place::{line_of, Step};
use crate::proto::{fault, Day, Fault, Group, Limits, ModelRoute, Node, Repeat, Rules, StateGrants, Tenant};
use crate::Problem;
use nickelgw::interface as m;
use std::collections::BTreeSet;

pub struct Checks<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
}

impl<'a> Checks<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Checks { file, text, problems: Vec::new() }
    }

    fn wrong(&mut self, path: &[Step], what: impl ToString, wanted: &str) {
        let step = |s: &Step| if s.1 > 0 { format!("{}[{}]", s.0, s.1) } else { s.0.to_string() };
        self.problems.push(Problem::Field {
            file: self.file.into(),
            line: line_of(self.text, path),
            field: path.iter().map(step).collect::<Vec<_>>().join("."),
            what: what.to_string(),
            wanted: wanted.into(),
        });
    }

    fn above_zero(&mut self, path: &[Step], value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.wrong(path, format!("is {value}"), "a number above zero");
        }
    }

    fn not_negative(&mut self, path: &[Step], value: f64) {
        if !(value.is_finite() && value >= 0.0) {
            self.wrong(path, format!("is {value}"), "zero or more");
        }
    }

    fn share(&mut self, path: &[Step], value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.wrong(path, format!("is {value}"), "a part from 0 to 1");
        }
    }

    fn named(&mut self, path: &[Step], value: &str) {
        if value.is_empty() {
            self.wrong(path, "is empty or missing", "a name");
        }
    }

    /// A name may stand once.
    fn once(&mut self, field: &str, inner: &str, names: impl Iterator<Item = String>) {
        let mut seen = BTreeSet::new();
        for (n, name) in names.enumerate() {
            if !seen.insert(name.clone()) {
                self.wrong(&[(field, n), (inner, 0)], format!("'{name}' stands twice"), "each name once");
            }
        }
    }

    fn address(&mut self, path: &[Step], value: &str) {
        let port = value.rsplit_once(':').map(|p| (p.0.is_empty(), p.1.parse::<u16>()));
        if !matches!(port, Some((false, Ok(_)))) {
            self.wrong(path, format!("is '{value}'"), "host:port");
        }
    }

    fn done(self) -> Result<(), Vec<Problem>> {
        if self.problems.is_empty() {
            Ok(())
        } else {
            Err(self.problems)
        }
    }

    pub fn node(mut self, n: &Node) -> Result<(), Vec<Problem>> {
        self.named(&[("name", 0)], &n.name);
        if n.nodes() == 0 || n.number() >= n.nodes() {
            let what = format!("is {} of {} nodes", n.number(), n.nodes());
            self.wrong(&[("number", 0)], what, "a number below nodes, which count from 0");
        }
        self.zones(&n.zones);
        if !n.zones.contains(&n.zone) {
            self.wrong(&[("zone", 0)], format!("is '{}'", n.zone), "one of zones");
        }
        self.address(&[("listen", 0)], n.listen());
        self.source(n);
        if let Some(a) = &n.admin {
            self.address(&[("admin", 0)], a);
        }
        self.routes(&n.model_route);
        self.tenants(&n.tenant);
        self.rules(&n.rules.unwrap_or_default(), &n.model_route);
        self.limits(&n.limits.unwrap_or_default());
        self.tls(n);
        self.repeats(n);
        self.grants(&n.state_grants);
        self.accord(n);
        self.parked(n);
        let l = n.leaving.unwrap_or_default();
        let at = ("leaving", 0);
        self.not_negative(&[at, ("notice_ms", 0)], l.notice_ms());
        self.not_negative(&[at, ("grace_ms", 0)], l.grace_ms());
        self.above_zero(&[at, ("end_ms", 0)], l.end_ms());
        self.done()
    }

    fn parked(&mut self, n: &Node) {
        let Some(p) = &n.parked else { return };
        let at = ("parked", 0);
        self.named(&[at, ("file", 0)], &p.file);
        if Some(&p.file) == n.store.as_ref() {
            self.wrong(&[at, ("file", 0)], "is the store's too", "a file of its own");
        }
        // As much as a file of records holds.
        for (name, value, most) in [
            ("most_records", p.most_records() as f64, 65_536.0),
            ("most_bytes", p.most_bytes() as f64, 48.0 * 1024.0 * 1024.0),
            ("most_records_tenant", p.most_records_tenant() as f64, 65_536.0),
            ("longest_wait_ms", p.longest_wait_ms(), 14.0 * 86_400e3),
            ("keep_ms", p.keep_ms(), 14.0 * 86_400e3),
            ("most_answer_bytes", p.most_answer_bytes() as f64, p.most_bytes() as f64),
            ("most_running", p.most_running() as f64, 1024.0),
        ] {
            self.above_zero(&[at, (name, 0)], value);
            if value > most {
                self.wrong(&[at, (name, 0)], format!("is {value}"), &format!("{most} or less"));
            }
        }
    }

    fn accord(&mut self, n: &Node) {
        let Some(a) = &n.accord else { return };
        let at = ("accord", 0);
        self.address(&[at, ("listen", 0)], &a.listen);
        if let Some(address) = &a.address {
            self.address(&[at, ("address", 0)], address);
        }
        for (k, p) in a.peer.iter().enumerate() {
            self.address(&[at, ("peer", k)], p);
        }
        if a.key.len() < 16 {
            // The key itself is not shown.
            self.wrong(&[at, ("key", 0)], "is too short", "a secret of 16 bytes or more");
        }
        self.above_zero(&[at, ("round_ms", 0)], a.round_ms());
        self.above_zero(&[at, ("step_ms", 0)], a.step_ms());
        self.above_zero(&[at, ("wait_ms", 0)], a.wait_ms());
        if a.longest_wait_ms().is_nan() || a.longest_wait_ms() < a.wait_ms() {
            self.wrong(
                &[at, ("longest_wait_ms", 0)],
                format!("is {}", a.longest_wait_ms()),
                "wait_ms or more",
            );
        }
    }

    fn repeats(&mut self, n: &Node) {
        let r = n.repeats.unwrap_or_default();
        let at = ("repeats", 0);
        self.above_zero(&[at, ("most_entries", 0)], f64::from(r.most_entries()));
        self.above_zero(&[at, ("most_bytes", 0)], r.most_bytes() as f64);
        self.above_zero(&[at, ("keep_ms", 0)], r.keep_ms());
        self.not_negative(&[at, ("takeover_ms", 0)], r.takeover_ms());
        if r.most_bytes_each() > r.most_bytes() {
            self.wrong(&[at, ("most_bytes_each", 0)], "is above most_bytes", "most_bytes or less");
        }
        let r = n.retries.unwrap_or_default();
        let at = ("retries", 0);
        self.not_negative(&[at, ("share", 0)], r.share());
        self.not_negative(&[at, ("burst", 0)], r.burst());
        self.above_zero(&[at, ("first_come_back_ms", 0)], r.first_come_back_ms());
        if r.longest_come_back_ms().is_nan() || r.longest_come_back_ms() < r.first_come_back_ms() {
            self.wrong(
                &[at, ("longest_come_back_ms", 0)],
                "is below the first",
                "first_come_back_ms or more",
            );
        }
    }

    fn source(&mut self, n: &Node) {
        let given = [n.list.is_some(), n.list_file.is_some(), n.registry.is_some()];
        if given.iter().filter(|g| **g).count() != 1 {
            let wanted = "one of list, list_file and registry";
            self.wrong(&[("list", 0)], "engine lines come from no place, or from several", wanted);
        }
        if let Some(list) = &n.list {
            self.address(&[("list", 0)], list);
        }
        if let Some(r) = &n.registry {
            let at = ("registry", 0);
            if r.endpoint.is_empty() {
                self.wrong(&[at, ("endpoint", 0)], "none is given", "host:port of an endpoint at least");
            }
            for (k, e) in r.endpoint.iter().enumerate() {
                self.address(&[at, ("endpoint", k)], e);
            }
            self.named(&[at, ("engines_prefix", 0)], r.engines_prefix());
            if r.lease_ms().is_nan() || r.lease_ms() < 3000.0 {
                self.wrong(&[at, ("lease_ms", 0)], format!("is {}", r.lease_ms()), "3000 or more");
            }
            if r.user.is_some() != r.password.is_some() {
                self.wrong(&[at, ("user", 0)], "user and password belong together", "both, or neither");
            }
        }
        let d = n.doubt.unwrap_or_default();
        self.share(&[("doubt", 0), ("share", 0)], d.share());
        self.above_zero(&[("doubt", 0), ("doubt_ms", 0)], d.doubt_ms());
    }

    fn grants(&mut self, g: &Option<StateGrants>) {
        let Some(g) = g else { return };
        let at = ("state_grants", 0);
        if g.key.is_empty() {
            self.wrong(&[at, ("key", 0)], "none is given", "a key at least");
        }
        self.above_zero(&[at, ("lifetime_ms", 0)], g.lifetime_ms());
        for (n, k) in g.key.iter().enumerate() {
            if k.secret.len() < 16 {
                // The secret itself is not shown.
                self.wrong(&[at, ("key", n), ("secret", 0)], "is too short", "16 bytes or more");
            }
            if g.key[..n].iter().any(|o| o.number == k.number) {
                self.wrong(&[at, ("key", n), ("number", 0)], "stands twice", "each number once");
            }
            if n > 0 && g.key[n - 1].sign_from() > k.sign_from() {
                let wanted = "keys in the order of their times";
                self.wrong(&[at, ("key", n), ("sign_from", 0)], "is before the key above", wanted);
            }
        }
    }

    fn tls(&mut self, n: &Node) {
        if let Some(t) = &n.engine_tls {
            let at = ("engine_tls", 0);
            self.named(&[at, ("trust", 0)], &t.trust);
            if t.chain.is_some() != t.key.is_some() {
                self.wrong(&[at, ("chain", 0)], "chain and key belong together", "both, or neither");
            }
            self.not_negative(&[at, ("trust_overlap_ms", 0)], t.trust_overlap_ms());
            self.above_zero(&[at, ("reload_ms", 0)], t.reload_ms());
            self.not_negative(&[at, ("retire_gap_ms", 0)], t.retire_gap_ms());
            self.above_zero(&[at, ("handshakes_at_once", 0)], f64::from(t.handshakes_at_once()));
            let engine = &[at, ("handshakes_at_once_engine", 0)];
            self.above_zero(engine, f64::from(t.handshakes_at_once_engine()));
            if t.handshakes_at_once_engine() > t.handshakes_at_once() {
                self.wrong(engine, "is above the node's", "handshakes_at_once or less");
            }
        }
        if let Some(t) = &n.chat_tls {
            self.named(&[("chat_tls", 0), ("chain", 0)], &t.chain);
            self.named(&[("chat_tls", 0), ("key", 0)], &t.key);
        }
    }

    fn zones(&mut self, zones: &[String]) {
        if zones.is_empty() {
            self.wrong(&[("zones", 0)], "none is given", "the deployment's zones");
        }
        let distinct: BTreeSet<_> = zones.iter().collect();
        if distinct.len() < zones.len() {
            self.wrong(&[("zones", 0)], "a zone stands twice", "each zone once");
        }
    }

    fn routes(&mut self, routes: &[ModelRoute]) {
        if routes.is_empty() {
            self.wrong(&[("model_route", 0)], "none is given", "a model route at least");
        }
        for (n, r) in routes.iter().enumerate() {
            let at = ("model_route", n);
            self.named(&[at, ("model", 0)], &r.model);
            self.above_zero(&[at, ("first_token_target_ms", 0)], r.first_token_target_ms);
            self.not_negative(&[at, ("target_per_1000_tokens_ms", 0)], r.target_per_1000_tokens_ms());
            self.above_zero(&[at, ("pace_ms", 0)], r.pace_ms());
            let timeout = &[at, ("route_timeout_ms", 0)];
            self.above_zero(timeout, r.route_timeout_ms);
            if r.route_timeout_ms < r.first_token_target_ms {
                self.wrong(timeout, "is below the first-token target", "the target or more");
            }
            if r.whole_timeout_ms().is_nan() || r.whole_timeout_ms() < r.route_timeout_ms {
                let what = format!("is {}", r.whole_timeout_ms());
                self.wrong(&[at, ("whole_timeout_ms", 0)], what, "the route timeout or more");
            }
            let memory = &[at, ("dedupe_memory_ms", 0)];
            match (r.repeat(), r.dedupe_memory_ms) {
                (Repeat::Deduped, None) => {
                    self.wrong(memory, "is missing", "how long engines remember a repeat")
                }
                (Repeat::Deduped, Some(ms)) => self.above_zero(memory, ms),
                (_, Some(_)) => self.wrong(memory, "means nothing here", "repeat: DEDUPED, or no such line"),
                (_, None) => {}
            }
        }
        self.once("model_route", "model", routes.iter().map(|r| r.model.clone()));
    }

    fn tenants(&mut self, tenants: &[Tenant]) {
        for (n, t) in tenants.iter().enumerate() {
            let at = ("tenant", n);
            self.named(&[at, ("name", 0)], &t.name);
            self.above_zero(&[at, ("quota_per_s", 0)], t.quota_per_s);
            self.above_zero(&[at, ("most_open", 0)], t.most_open.map_or(1.0, f64::from));
            self.above_zero(&[at, ("weight", 0)], t.weight());
            if t.key.len() < 8 {
                self.wrong(&[at, ("key", 0)], "is too short", "a secret of eight bytes or more");
            }
        }
        self.once("tenant", "name", tenants.iter().map(|t| t.name.clone()));
        let mut keys = BTreeSet::new();
        for (n, t) in tenants.iter().enumerate() {
            if !keys.insert(&t.key) {
                // The key itself is not shown.
                self.wrong(&[("tenant", n), ("key", 0)], "is another tenant's too", "a key of its own");
            }
        }
    }

    fn rules(&mut self, r: &Rules, routes: &[ModelRoute]) {
        let at = ("rules", 0);
        if r.most_sends() < 2 {
            self.wrong(
                &[at, ("most_sends", 0)],
                format!("is {}", r.most_sends()),
                "2 or more: a read and a write",
            );
        }
        self.above_zero(&[at, ("hold_limit_ms", 0)], r.hold_limit_ms());
        self.share(&[at, ("cold_share", 0)], r.cold_share());
        self.above_zero(&[at, ("cold_share", 0)], r.cold_share());
        self.above_zero(&[at, ("warm_within_ms", 0)], r.warm_within_ms());
        if r.tip_multiple().is_nan() || r.tip_multiple() < 1.0 {
            self.wrong(&[at, ("tip_multiple", 0)], format!("is {}", r.tip_multiple()), "1 or more");
        }
        self.above_zero(&[at, ("tip_window_ms", 0)], r.tip_window_ms());
        self.not_negative(&[at, ("cell_price", 0)], r.cell_price());
        self.not_negative(&[at, ("zone_price", 0)], r.zone_price());
        self.not_negative(&[at, ("longest_come_back_ms", 0)], r.longest_come_back_ms());
        let least = routes.iter().map(|r| r.route_timeout_ms).fold(f64::INFINITY, f64::min);
        if r.hold_limit_ms() >= least {
            let wanted = "less than the shortest route timeout: a state outliving it serves nobody";
            self.wrong(&[at, ("hold_limit_ms", 0)], format!("is {}", r.hold_limit_ms()), wanted);
        }
    }

    fn limits(&mut self, l: &Limits) {
        let at = ("limits", 0);
        for (name, value) in [
            ("most_open", f64::from(l.most_open())),
            ("most_connections", f64::from(l.most_connections())),
            ("most_waiting", f64::from(l.most_waiting())),
            ("most_body_bytes", f64::from(l.most_body_bytes())),
            ("most_prompt_tokens", l.most_prompt_tokens()),
            ("head_ms", l.head_ms()),
            ("body_ms", l.body_ms()),
            ("connect_ms", l.connect_ms()),
            ("probe_ms", l.probe_ms()),
            ("idle_connection_ms", l.idle_connection_ms()),
            ("stream_idle_ms", l.stream_idle_ms()),
            ("client_stall_ms", l.client_stall_ms()),
            ("come_back_ms", l.come_back_ms()),
        ] {
            self.above_zero(&[at, (name, 0)], value);
        }
        if l.most_waiting() > 1024 {
            self.wrong(&[at, ("most_waiting", 0)], format!("is {}", l.most_waiting()), "1024 or less");
        }
    }

    pub fn day(mut self, d: &Day) -> Result<(), Vec<Problem>> {
        self.named(&[("name", 0)], &d.name);
        self.above_zero(&[("length_s", 0)], d.length_s);
        if d.length_s > 600.0 {
            self.wrong(
                &[("length_s", 0)],
                format!("is {}", d.length_s),
                "600 or less: a rehearsal ends by itself",
            );
        }
        if !(1..=64).contains(&d.nodes()) {
            self.wrong(&[("nodes", 0)], format!("is {}", d.nodes()), "1 to 64");
        }
        self.zones(&d.zones);
        self.routes(&d.model_route);
        self.tenants(&d.tenant);
        self.rules(&d.rules.unwrap_or_default(), &d.model_route);
        self.limits(&d.limits.unwrap_or_default());
        self.not_negative(&[("list_lag_ms", 0)], d.list_lag_ms());
        self.above_zero(&[("drain_grace_ms", 0)], d.drain_grace_ms());
        self.grants(&d.state_grants);
        self.engines(d);
        for (n, t) in d.traffic.iter().enumerate() {
            let at = ("traffic", n);
            if !d.model_route.iter().any(|r| r.model == t.model) {
                self.wrong(&[at, ("model", 0)], format!("is '{}'", t.model), "a model_route's model");
            }
            let known = d.tenant.iter().any(|x| x.name == t.tenant());
            if (t.tenant.is_some() || !d.tenant.is_empty()) && !known {
                self.wrong(&[at, ("tenant", 0)], format!("is '{}'", t.tenant()), "a tenant's name");
            }
            self.above_zero(&[at, ("rate_per_s", 0)], t.rate_per_s);
            self.above_zero(&[at, ("prompt_tokens", 0)], t.prompt_tokens());
            for (name, value) in [
                ("stream_share", t.stream_share()),
                ("leave_waiting_share", t.leave_waiting_share()),
                ("leave_streaming_share", t.leave_streaming_share()),
                ("malformed_share", t.malformed_share()),
                ("slow_share", t.slow_share()),
            ] {
                self.share(&[at, (name, 0)], value);
            }
            if t.leave_waiting_share() + t.leave_streaming_share() + t.malformed_share() > 1.0 {
                self.wrong(&[at, ("malformed_share", 0)], "the parts sum to over 1", "a sum of 1 or less");
            }
        }
        d.fault.iter().enumerate().for_each(|(n, f)| self.fault(d, n, f));
        self.done()
    }

    fn engines(&mut self, d: &Day) {
        let total: u32 = d.engines.iter().map(|e| e.count()).sum();
        if !(1..=256).contains(&total) {
            self.wrong(&[("engines", 0)], format!("{total} in all"), "1 to 256 engines");
        }
        for (n, e) in d.engines.iter().enumerate() {
            let at = ("engines", n);
            self.named(&[at, ("name", 0)], &e.name);
            if !d.zones.contains(&e.zone) {
                self.wrong(&[at, ("zone", 0)], format!("is '{}'", e.zone), "one of zones");
            }
            for (name, value) in [
                ("count", f64::from(e.count())),
                ("slots", f64::from(e.slots())),
                ("memory_tokens", e.memory_tokens()),
                ("read_ms", e.read_ms()),
                ("read_tokens_per_s", e.read_tokens_per_s()),
                ("step_ms", e.step_ms()),
                ("out_tokens", f64::from(e.out_tokens())),
                ("state_ttl_ms", e.state_ttl_ms()),
            ] {
                self.above_zero(&[at, (name, 0)], value);
            }
        }
        self.once("engines", "name", d.engines.iter().map(|e| e.name.clone()));
    }

    fn fault(&mut self, d: &Day, n: usize, f: &Fault) {
        use fault::Kind;
        let at = ("fault", n);
        self.not_negative(&[at, ("at_s", 0)], f.at_s);
        self.not_negative(&[at, ("for_s", 0)], f.for_s());
        self.share(&[at, ("share", 0)], f.share());
        self.above_zero(&[at, ("factor", 0)], f.factor());
        let target = &[at, ("target", 0)];
        if f.kind() as i32 >= Kind::RegistryRestart as i32 && !d.registry() {
            self.wrong(&[at, ("kind", 0)], "is a fault of the registry", "registry: true in the day");
        }
        use Kind::{CaRotate, CertExpire, CertRotate, CertWrongName, HandshakeCut, HandshakeSlow};
        let of_tls = [CaRotate, CertExpire, CertRotate, CertWrongName, HandshakeCut, HandshakeSlow];
        if of_tls.contains(&f.kind()) && !d.tls() {
            self.wrong(&[at, ("kind", 0)], "is a fault of TLS", "tls: true in the day");
        }
        self.share(&[at, ("part", 0)], f.part());
        let many = |d: &Day| {
            let t = f.target();
            let role = matches!(t, "" | "engines" | "readers" | "writers");
            role || d.engines.iter().any(|e| e.name == t || e.zone == t)
                || engine_names(d).iter().any(|e| e == t)
        };
        let wanted = match f.kind() {
            Kind::StallList | Kind::CaRotate | Kind::DiscoveryStale => return,
            Kind::Burst | Kind::HotKey | Kind::RetryAbuse => return,
            Kind::BalancerCrash | Kind::BalancerRoll | Kind::MassRestart => return,
            Kind::RegistryRestart | Kind::RegistryCompact | Kind::RegistryPartition => return,
            Kind::RegistryEmpty | Kind::RegistryRollback | Kind::WatchStall => return,
            Kind::CutZone | Kind::ZoneCut | Kind::ZoneLoss if !d.zones.iter().any(|z| z == f.target()) => {
                "one of zones"
            }
            Kind::KillNode if !(0..d.nodes()).any(|n| format!("node{n}") == f.target()) => "node0 and so on",
            Kind::CutZone | Kind::ZoneCut | Kind::ZoneLoss | Kind::KillNode => return,
            Kind::Die | Kind::Drain | Kind::CertRotate | Kind::CertExpire | Kind::CertWrongName
                if !engine_names(d).iter().any(|e| e == f.target()) =>
            {
                "an engine: its group's name and number"
            }
            _ if !many(d) => "an engine, a group, a zone, readers, writers, or none for all",
            _ => return,
        };
        self.wrong(target, format!("is '{}'", f.target()), wanted);
    }
}

/// Names of a day's engines, in the order of its groups.
pub fn engine_names(d: &Day) -> Vec<String> {
    d.engines.iter().flat_map(|e| (0..e.count()).map(move |n| format!("{}{n}", e.name))).collect()
}

/// Zone of a day's node: nodes go round the zones.
pub fn node_zone(d: &Day, number: u32) -> &str {
    &d.zones[number as usize % d.zones.len()]
}

/// A node's settings as the module's deployment. The settings have passed their checks.
pub fn deployment(n: &Node) -> m::Deployment {
    let r = n.rules.unwrap_or_default();
    let route = |x: &ModelRoute| m::ModelRoute {
        ttft_objective_s: x.first_token_target_ms / 1e3,
        ttft_objective_per_token_s: x.target_per_1000_tokens_ms() / 1e6,
        tpot_objective_s: x.pace_ms() / 1e3,
        idempotency: match x.repeat() {
            Repeat::Retriable => m::Idempotency::Idempotent,
            Repeat::NonRetriable => m::Idempotency::NonIdempotent,
            Repeat::Deduped => m::Idempotency::Keyed {
                scope: match x.dedupe_group() {
                    Group::All => m::IdempotencyScope::All,
                    Group::Zone => m::IdempotencyScope::Zone,
                    Group::Cell => m::IdempotencyScope::Cell,
                },
                window_s: x.dedupe_memory_ms() / 1e3,
            },
        },
    };
    m::Deployment {
        node: n.number(),
        node_count: n.nodes(),
        seed: n.seed(),
        zone: n.zones.iter().position(|z| *z == n.zone).unwrap_or(0) as u32,
        tick_s: TICK_S,
        routes: n.model_route.iter().map(route).collect(),
        tenant_quotas: n.tenant.iter().map(|t| t.quota_per_s).collect(),
        max_attempts: r.most_sends(),
        decode_engines_prefill: r.writers_read(),
        reservation_limit_s: r.hold_limit_ms() / 1e3,
        connect_timeout_s: 0.0,
        cross_cell_price: r.cell_price(),
        cross_zone_price: r.zone_price(),
        can_cancel: true,
        can_probe: r.probes(),
        must_poll_endpoints: false,
        max_retry_after_s: Some(r.longest_come_back_ms() / 1e3).filter(|&s| s > 0.0),
        slow_start_initial_share: r.cold_share(),
        warmup_s: r.warm_within_ms() / 1e3,
        overload_multiple: r.tip_multiple(),
        overload_window_s: r.tip_window_ms() / 1e3,
    }
}

/// Slack that decisions keep before a client's time: what a loaded machine's timers may be late by.
const TICK_S: f64 = 0.005;
