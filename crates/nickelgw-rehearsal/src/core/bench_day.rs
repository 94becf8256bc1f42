//! A day of the bench, as `lbsim draw` prints it, scaled to one machine: its kinds, times, parts and sizes. What was
//! scaled, and what cannot be carried over, is said.

use nickelgw_settings::proto::{fault::Kind, *};
use serde_json::Value;

/// What one machine bears.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    pub engines: usize,
    pub nodes: u32,
    pub rate_per_s: f64,
    pub length_s: f64,
}

impl Default for Room {
    fn default() -> Self {
        Room { engines: 24, nodes: 6, rate_per_s: 60.0, length_s: 120.0 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotADay(pub String);

fn num(v: &Value, path: &[&str]) -> Option<f64> {
    path.iter().try_fold(v, |v, p| v.get(p))?.as_f64()
}

fn need(v: &Value, path: &[&str]) -> Result<f64, NotADay> {
    num(v, path).ok_or_else(|| NotADay(format!("it has no number {}", path.join("."))))
}

fn list<'a>(v: &'a Value, name: &str) -> Result<&'a [Value], NotADay> {
    v[name].as_array().map(Vec::as_slice).ok_or_else(|| NotADay(format!("it has no list {name}")))
}

fn text<'a>(v: &'a Value, name: &str) -> &'a str {
    v[name].as_str().unwrap_or("")
}

/// The day, and what is to be known about how it was carried over.
pub fn day(v: &Value, room: Room) -> Result<(Day, Vec<String>), NotADay> {
    let mut notes = Vec::new();
    let us = 1e6;
    let length = need(v, &["length"])? / us;
    let squeeze = (room.length_s / length).min(1.0);
    if squeeze < 1.0 {
        notes.push(format!(
            "{length:.0} s are played in {:.0} s: troubles come faster and are shorter",
            room.length_s
        ));
    }
    let zones: Vec<String> = list(v, "zones")?.iter().filter_map(|z| z.as_str().map(String::from)).collect();
    let kinds = list(list(v, "tiers")?.first().ok_or_else(|| NotADay("it has no tier".into()))?, "kinds")?;
    let (roles, figures) = (list(&v["fam"], "roles")?, list(&v["fam"], "engines")?);
    let servers = list(v, "servers")?;
    let scale = (room.engines as f64 / servers.len().max(1) as f64).min(1.0);
    let mut engines = Vec::new();
    let (mut reads_per_s, mut writes_per_s) = (0.0, 0.0);
    let talks = list(&v["fam"], "talks")?;
    let classes = list(v, "classes")?;
    // The mean prompt and answer, for what the fleet can take.
    let share = |n: usize| num(&classes[n], &["share"]).unwrap_or(0.0);
    let mean = |f: &dyn Fn(&Value) -> f64| {
        let sum: f64 = (0..classes.len()).map(share).sum();
        talks.iter().enumerate().map(|(n, t)| share(n) * f(t)).sum::<f64>() / sum.max(1e-9)
    };
    let prompt = mean(&|t| {
        num(t, &["new_tokens"]).unwrap_or(500.0)
            + num(t, &["prefix_share"]).unwrap_or(0.0) * num(t, &["prefix_tokens"]).unwrap_or(0.0)
    });
    let out = mean(&|t| num(t, &["out_tokens"]).unwrap_or(100.0)).max(1.0);
    for k in 0..kinds.len() {
        let role = match roles.get(k).and_then(Value::as_str) {
            Some("read") => EngineRole::Reader,
            Some("write") => EngineRole::Writer,
            _ => return Err(NotADay(format!("engine kind {k} has no role"))),
        };
        let f = figures.get(k).ok_or_else(|| NotADay(format!("engine kind {k} has no figures")))?;
        for (z, zone) in zones.iter().enumerate() {
            let here = servers.iter().filter(|s| s["kind"] == k && s["zone"] == z);
            let (mut count, mut speed) = (0usize, 0.0);
            here.for_each(|s| (count, speed) = (count + 1, speed + num(s, &["speed"]).unwrap_or(1.0)));
            if count == 0 {
                continue;
            }
            let speed = speed / count as f64;
            let scaled = ((count as f64 * scale).round() as u32).max(1);
            let slots = need(f, &["slots"])?;
            let step_ms = need(f, &["step_ms"])? / speed;
            let read_per_s = need(f, &["read_per_s"])? * speed;
            match role {
                // Slots of a reader share its speed.
                EngineRole::Reader => reads_per_s += f64::from(scaled) * read_per_s / prompt,
                EngineRole::Writer => writes_per_s += f64::from(scaled) * slots / (out * step_ms / 1e3),
            }
            let name = if role == EngineRole::Reader { "read" } else { "write" };
            engines.push(EngineGroup {
                name: format!("{name}-{zone}-"),
                role: role as i32,
                zone: zone.clone(),
                cell: Some(z as u32),
                count: Some(scaled),
                slots: Some(slots as u32),
                queue: Some(need(f, &["queue"])? as u32),
                memory_tokens: Some(need(f, &["memory"])?),
                read_ms: Some(step_ms),
                read_tokens_per_s: Some(read_per_s / slots.max(1.0)),
                step_ms: Some(step_ms),
                step_per_stream_ms: Some(num(f, &["per_seq_ms"]).unwrap_or(0.0)),
                out_tokens: Some(out.round() as u32),
                ..EngineGroup::default()
            });
        }
    }
    if scale < 1.0 {
        notes.push(format!(
            "{} engines are played by {}",
            servers.len(),
            engines.iter().map(|e| e.count()).sum::<u32>()
        ));
    }
    let balancers = list(v, "balancers")?.len() as u32;
    let nodes = balancers.clamp(1, room.nodes);
    if nodes < balancers {
        notes.push(format!("{balancers} nodes are played by {nodes}"));
    }
    // The load is a part of what the fleet can take, which here is the stand-ins' fleet.
    let load = need(v, &["traffic", "load"])?;
    let full = reads_per_s.min(writes_per_s);
    let slower = (room.rate_per_s / (load * full)).min(1.0);
    let rate = load * full * slower;
    if slower < 1.0 {
        // As many requests fewer as engines are slower: the load stays.
        notes.push(format!("load {load:.2} of the fleet is {:.0} requests a second; engines are slowed {:.1} times, so that {rate:.0} are the same load", load * full, 1.0 / slower));
        for e in &mut engines {
            if e.role() == EngineRole::Reader {
                (e.read_tokens_per_s, e.read_ms) =
                    (Some(e.read_tokens_per_s() * slower), Some(e.read_ms() / slower));
            } else {
                let slots = (f64::from(e.slots()) * slower).max(1.0);
                e.slots = Some(slots.round() as u32);
            }
        }
    }
    let mut routes = Vec::new();
    let mut traffic = Vec::new();
    let tenants = list(v, "tenants")?;
    for (n, c) in classes.iter().enumerate() {
        let t = &talks[n.min(talks.len().saturating_sub(1))];
        let (effect, window) = (text(c, "effect"), num(c, &["window"]).unwrap_or(0.0));
        let repeat = match effect {
            "unsafe" => Repeat::NonRetriable,
            "keyed" => Repeat::Deduped,
            _ => Repeat::Retriable,
        };
        let group = match text(c, "group") {
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            _ => Group::All,
        };
        let deduped = repeat == Repeat::Deduped;
        routes.push(ModelRoute {
            model: text(c, "name").into(),
            first_token_target_ms: need(c, &["aim"])? / 1e3,
            target_per_1000_tokens_ms: num(t, &["aim_ms_per_k"]),
            pace_ms: num(t, &["token_ms"]),
            route_timeout_ms: need(c, &["deadline"])? / 1e3,
            repeat: Some(repeat as i32),
            dedupe_group: deduped.then_some(group as i32),
            dedupe_memory_ms: deduped.then_some(window / 1e3),
            ..ModelRoute::default()
        });
        let sum: f64 = (0..classes.len()).map(share).sum();
        for tenant in tenants {
            let part = share(n) / sum.max(1e-9) * num(tenant, &["traffic"]).unwrap_or(0.0);
            if part <= 0.0 {
                continue;
            }
            traffic.push(nickelgw_settings::proto::Traffic {
                model: text(c, "name").into(),
                tenant: Some(text(tenant, "name").into()),
                rate_per_s: rate * part,
                prompt_tokens: Some(prompt),
                beginnings: num(t, &["prefixes"]).map(|p| p as u32),
                stream_share: Some(1.0),
                retries: num(v, &["clients", "retries"]).map(|r| r as u32),
                retry_wait_ms: num(v, &["clients", "backoff_us"]).map(|b| b / 1e3),
                ..nickelgw_settings::proto::Traffic::default()
            });
        }
    }
    let tenant = |t: &Value| Tenant {
        name: text(t, "name").into(),
        key: format!("sk-{}-example", text(t, "name")),
        quota_per_s: (num(t, &["quota"]).unwrap_or(1.0) * rate).max(0.1),
        most_open: None,
        weight: None,
    };
    let mut faults = Vec::new();
    for t in list(v, "troubles")? {
        faults.extend(trouble(t, v, servers, &zones, squeeze, &mut notes)?);
    }
    notes.push(
        "not carried over: noise of sizes and times beyond the stand-ins' own, prices, the net's delays"
            .into(),
    );
    let day = Day {
        name: format!("{} {}", text(v, "site"), text(v, "kind")),
        length_s: length * squeeze,
        nodes: Some(nodes),
        zones,
        engines,
        model_route: routes,
        tenant: tenants.iter().map(tenant).collect(),
        rules: Some(Rules {
            hold_limit_ms: num(v, &["fam", "release"]).map(|r| r / 1e3),
            writers_read: v["fam"]["writers_read"].as_bool(),
            tip_multiple: num(v, &["fall_multiple"]),
            tip_window_ms: num(v, &["fall_for"]).map(|f| f / 1e3),
            cold_share: num(&v["tiers"][0], &["stated_cold_from"]),
            warm_within_ms: num(&v["tiers"][0], &["stated_cold"]).map(|c| c / 1e3),
            probes: v["allow"]["probes"].as_bool(),
            most_sends: num(v, &["allow", "max_attempts"]).map(|m| m as u32),
            ..Rules::default()
        }),
        traffic,
        fault: faults,
        list_lag_ms: num(v, &["discovery", "notice"]).map(|n| n / 1e3),
        drain_grace_ms: num(v, &["drain_grace"]).map(|n| n / 1e3),
        ..Day::default()
    };
    Ok((day, notes))
}

/// One trouble; engines that it is on are a part of the readers and a part of the writers.
fn trouble(
    t: &Value,
    v: &Value,
    servers: &[Value],
    zones: &[String],
    squeeze: f64,
    notes: &mut Vec<String>,
) -> Result<Vec<Fault>, NotADay> {
    let kind = text(t, "kind");
    let Some(of) = Kind::from_str_name(&kind.to_uppercase()) else {
        notes.push(format!("{kind} cannot be played and is left out"));
        return Ok(Vec::new());
    };
    let (at, long) = (need(t, &["at"])? / 1e6 * squeeze, need(t, &["len"])? / 1e6 * squeeze);
    let size = num(t, &["size"]).unwrap_or(1.0);
    let on: Vec<usize> =
        t["on"].as_array().into_iter().flatten().filter_map(|n| Some(n.as_u64()? as usize)).collect();
    let (factor, share) = if size > 1.0 { (Some(size), None) } else { (None, Some(size.max(0.0))) };
    let fault = |target: &str, part: f64| Fault {
        at_s: at,
        kind: of as i32,
        target: Some(target.into()),
        for_s: Some(long),
        share,
        factor,
        part: Some(part),
    };
    Ok(match of {
        Kind::ZoneLoss | Kind::ZoneCut => {
            // The zone of most of the engines that it is on.
            let count =
                |z: usize| on.iter().filter(|n| servers.get(**n).is_some_and(|s| s["zone"] == z)).count();
            let most = (0..zones.len()).max_by_key(|z| (count(*z), usize::MAX - z)).unwrap_or(0);
            vec![fault(&zones[most], 1.0)]
        }
        Kind::DiscoveryStale | Kind::Burst | Kind::HotKey | Kind::RetryAbuse => vec![fault("", 1.0)],
        Kind::BalancerCrash | Kind::BalancerRoll | Kind::MassRestart => {
            let all = v["balancers"].as_array().map_or(1, Vec::len).max(1);
            vec![fault("", (on.len() as f64 / all as f64).clamp(0.05, 1.0))]
        }
        _ => {
            let roles = v["fam"]["roles"].as_array().cloned().unwrap_or_default();
            let of_role = |n: &usize, role: &str| {
                let kind = servers.get(*n).and_then(|s| s["kind"].as_u64());
                kind.and_then(|k| roles.get(k as usize)).is_some_and(|r| r == role)
            };
            let part = |role: &str| {
                let all = (0..servers.len()).filter(|n| of_role(n, role)).count();
                on.iter().filter(|n| of_role(n, role)).count() as f64 / all.max(1) as f64
            };
            let both = [("readers", part("read")), ("writers", part("write"))];
            both.into_iter().filter(|p| p.1 > 0.0).map(|(role, p)| fault(role, p)).collect()
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::script::{is_sound, Script};
    use serde_json::json;

    /// A small day of the form that the bench prints.
    fn drawn(load: f64) -> Value {
        let server = |kind: u32, zone: u32| json!({"kind": kind, "zone": zone, "speed": 1.0, "cell": zone});
        let servers: Vec<Value> = (0..40).map(|n| server(n % 2, (n / 2) % 2)).collect();
        let figures = |read: f64, slots: u32| {
            json!({"memory": 200000, "queue": 20, "read_per_s": read,
            "slots": slots, "step_ms": 10.0, "per_seq_ms": 0.1})
        };
        json!({"site": "s", "kind": "trouble", "length": 40e6, "zones": ["x", "y"],
            "tiers": [{"kinds": [{"name": "a"}, {"name": "b"}], "stated_cold_from": 0.4, "stated_cold": 12e6}],
            "fam": {"roles": ["read", "write"], "engines": [figures(20000.0, 8), figures(6000.0, 60)], "release": 500000,
                "writers_read": false, "talks": [{"new_tokens": 500.0, "prefix_tokens": 1000.0, "prefix_share": 0.5,
                "out_tokens": 100.0, "aim_ms_per_k": 40.0, "token_ms": 60.0, "prefixes": 4}]},
            "servers": servers, "balancers": [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], "traffic": {"load": load},
            "clients": {"retries": 2, "backoff_us": 2e5}, "discovery": {"notice": 1e6}, "drain_grace": 2e6,
            "allow": {"probes": true, "max_attempts": 6}, "fall_multiple": 3.0, "fall_for": 3e6,
            "classes": [{"name": "chat", "share": 1.0, "aim": 1.2e6, "deadline": 6e6, "effect": "keyed", "group": "zone",
                "window": 5e6}],
            "tenants": [{"name": "t", "traffic": 1.0, "quota": 0.5}],
            "troubles": [{"kind": "ageing", "at": 5e6, "len": 10e6, "size": 13.0, "on": [0, 2]},
                {"kind": "zone_loss", "at": 20e6, "len": 5e6, "size": 0.4, "on": [2, 3]},
                {"kind": "balancer_roll", "at": 1e6, "len": 5e6, "size": 0.9, "on": [0, 1, 2, 3, 4]},
                {"kind": "moon_dust", "at": 1e6, "len": 5e6, "on": []}]})
    }

    #[test]
    fn kinds_times_parts_and_load_are_carried_over() {
        let (d, notes) = day(&drawn(0.6), Room::default()).unwrap();
        assert!(
            notes.iter().any(|n| n.contains("moon_dust")) && notes.iter().any(|n| n.contains("10 nodes"))
        );
        let count =
            |role: EngineRole| d.engines.iter().filter(|e| e.role() == role).map(|e| e.count()).sum::<u32>();
        assert_eq!((count(EngineRole::Reader), count(EngineRole::Writer), d.nodes()), (12, 12, 6));
        let rate: f64 = d.traffic.iter().map(|t| t.rate_per_s).sum();
        assert!(rate <= 60.0 + 1e-9 && rate > 20.0, "{rate}");
        let ageing = d.fault.iter().find(|f| f.kind() == Kind::Ageing).unwrap();
        assert_eq!(
            (ageing.target(), ageing.part(), ageing.at_s, ageing.factor()),
            ("readers", 0.1, 5.0, 13.0)
        );
        assert_eq!(d.fault.iter().find(|f| f.kind() == Kind::ZoneLoss).unwrap().target(), "y");
        assert!(is_sound(&d, &Script::of(&d, 1)));
        assert_eq!(d.model_route[0].dedupe_memory_ms, Some(5000.0));
        // What it makes is a day that may be played.
        let checked = nickelgw_settings::validate_day("made", "", &d);
        assert_eq!(checked, Ok(()));
    }

    #[test]
    fn what_is_no_day_is_refused_by_name() {
        let mut v = drawn(0.6);
        v["servers"] = json!(null);
        assert_eq!(day(&v, Room::default()).unwrap_err(), NotADay("it has no list servers".into()));
        assert!(day(&json!({}), Room::default()).is_err() && day(&json!([1]), Room::default()).is_err());
    }
}
