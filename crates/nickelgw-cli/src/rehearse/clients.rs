//! Scripted clients of a rehearsal.

use super::*;

pub(super) fn dice(chance: &mut WyRand) -> f64 {
    chance.generate::<u32>() as f64 / u32::MAX as f64
}

pub(super) fn words(tokens: f64, salt: u64) -> String {
    let mut text = format!("[{salt}] ");
    while (text.len() as f64) < 4.0 * tokens - 16.0 {
        text.push_str("line of a text ");
    }
    text
}

/// Open-loop arrivals of one kind of traffic: each at its time, however the earlier ones fare.
pub(super) async fn traffic(stage: Rc<Stage>, n: usize, t: Traffic, ex: Rc<LocalExecutor<'static>>) {
    let mut chance = WyRand::new_seed(stage.seed.wrapping_mul(1000) + n as u64);
    let route = stage.day.model_route.iter().find(|r| r.model == t.model).cloned().unwrap_or_default();
    let key = stage.day.tenant.iter().find(|x| x.name == t.tenant()).map(|x| x.key.clone());
    let until = t.to_s().min(stage.day.length_s);
    let mut at = t.from_s();
    // Drawn at the day's highest rate, and thinned: a burst changes nothing of the others' chance.
    let most_rate = stage.script.max_rate_multiple();
    let begun_unix = unix_now() - stage.begun.elapsed().as_secs_f64();
    let mut clients = Vec::new();
    for k in 0u64.. {
        at -= dice(&mut chance).max(1e-9).ln() / (t.rate_per_s * most_rate);
        if at >= until {
            break;
        }
        if dice(&mut chance) * most_rate > stage.script.rate_multiple(at) {
            continue;
        }
        rest(at - stage.begun.elapsed().as_secs_f64()).await;
        let Some((node, address)) = stage.node(chance.generate::<u32>() as usize) else { continue };
        let size = t.prompt_tokens() * (0.5 + dice(&mut chance));
        let hot = dice(&mut chance) < stage.script.hot_key_share(at);
        let shared = hot || t.beginnings() > 0;
        let some = if t.beginnings() > 0 { chance.generate::<u64>() % u64::from(t.beginnings()) } else { 0 };
        // One that all traffic shares, beside those of each kind of it.
        let beginning = if hot { 999_999 } else { some };
        let fate = dice(&mut chance);
        let (waiting, streaming) = (t.leave_waiting_share(), t.leave_streaming_share());
        let bad = waiting + streaming + t.malformed_share();
        let record = stage.record.for_source("client");
        if fate >= waiting + streaming && fate < bad {
            clients.push(ex.spawn(malformed(address, k, stage.day.clone(), record)));
            continue;
        }
        let leave = match fate {
            f if f < waiting => DisconnectAt::WaitingFor(0.02 + 0.2 * dice(&mut chance)),
            f if f < waiting + streaming => DisconnectAt::EventCount(1 + (10.0 * dice(&mut chance)) as usize),
            _ => DisconnectAt::Never,
        };
        let per_token = route.target_per_1000_tokens_ms() / 1e6;
        let stream = dice(&mut chance) < t.stream_share() || matches!(leave, DisconnectAt::EventCount(_));
        let first_by = route.route_timeout_ms / 1e3 + 2.0 * per_token * (size + 16.0);
        let ask = ChatCall {
            request_id: format!("q{n}-{k}"),
            node,
            address,
            model: t.model.clone(),
            api_key: key.clone(),
            system: if shared { words(0.6 * size, 1_000_000 * n as u64 + beginning) } else { String::new() },
            prompt: words(if shared { 0.4 * size } else { size }, k),
            max_tokens: t.max_tokens,
            stream,
            timeout_s: if stream { first_by } else { route.whole_timeout_ms() / 1e3 },
            ttft_target_s: route.first_token_target_ms / 1e3 + per_token * size,
            intended_start: begun_unix + at,
            disconnect: leave,
            read_delay_s: if dice(&mut chance) < t.slow_share() { 0.05 } else { 0.0 },
            ..ChatCall::default()
        };
        let abuses = dice(&mut chance) < stage.script.retry_abuse_share(at);
        let retry = match abuses {
            true => Retry { most: 5, wait_s: 0.0, impatient: true },
            false => Retry { most: t.retries(), wait_s: t.retry_wait_ms() / 1e3, impatient: t.impatient() },
        };
        clients.push(ex.spawn(insist(stage.clone(), ask, retry, chance.generate::<u32>() as usize, record)));
    }
    for c in clients {
        c.await;
    }
}

pub(super) struct Retry {
    pub(super) most: u32,
    pub(super) wait_s: f64,
    /// Heeds no come-back time.
    pub(super) impatient: bool,
}

/// Asks, and asks again where nothing came of it.
pub(super) async fn insist(stage: Rc<Stage>, mut ask: ChatCall, retry: Retry, turn: usize, record: Recorder) {
    let first = ask.request_id.clone();
    for again in 0..=retry.most {
        if again > 0 {
            let Some((node, address)) = stage.node(turn + again as usize) else { return };
            (ask.node, ask.address, ask.retry_count) = (node, address, again);
            (ask.request_id, ask.retry_of) = (format!("{first}-{again}"), Some(first.clone()));
            ask.intended_start = unix_now();
        }
        let seen = client::call(&ask, &record).await;
        if seen.as_ref().is_some_and(|s| matches!(s.outcome.as_str(), "completed" | "left")) {
            return;
        }
        let told = seen.and_then(|s| s.retry_after_s).filter(|_| !retry.impatient);
        rest(told.unwrap_or(0.0).max(retry.wait_s)).await;
    }
}

/// Where standard error is a terminal, how far the day is.
pub(super) async fn progress(stage: Rc<Stage>) {
    use std::io::IsTerminal;
    let (name, length) = (stage.day.name.clone(), stage.day.length_s);
    while std::io::stderr().is_terminal() {
        let now = stage.begun.elapsed().as_secs_f64().min(length);
        let done = (20.0 * now / length) as usize;
        eprint!("\r{name}: [{}{}] {now:.0} of {length:.0} s ", "#".repeat(done), ".".repeat(20 - done));
        rest(0.5).await;
    }
}

/// Clients that speak badly: each must get an error, and cost nothing more.
pub(super) async fn malformed(address: String, k: u64, day: Day, record: Recorder) {
    let most = day.limits.unwrap_or_default().most_body_bytes();
    let head = |len: usize| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n")
    };
    let (kind, pieces, rest_s) = match k % 4 {
        0 => ("json", vec![head(9).into_bytes(), b"{\"model\":".to_vec()], 0.0),
        1 => ("large", vec![head(most as usize + 1).into_bytes(), vec![b'x'; 1024]], 0.0),
        2 => ("slow", vec![head(100).into_bytes(), b"{".to_vec(), b" ".to_vec(), b" ".to_vec()], 0.6),
        _ => ("head", vec![b"POST /v1/chat".to_vec()], 0.0),
    };
    let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
    let patience = day.limits.unwrap_or_default().body_ms() / 1e3 + 2.0;
    let answer = client::send_raw(&address, &pieces, rest_s, patience).await;
    record.record("malformed", json!({"kind": kind, "status": client::response_status(&answer)}));
}
