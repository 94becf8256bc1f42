//! Stand-in of a reader or a writer on sockets: the model's times passed for real, states moved as bytes, faults
//! on demand by `POST /control`.

use crate::model::{Figures, Model, Refused, Role, Speech};
use crate::record::{unix_now, Record};
use crate::serve::{body, error, header, json, serve, Answer, Cut, Streamed};
use crate::tls::{Stream, Tls};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Method, Request, Response};
use nanorand::{Rng, WyRand};
use nickelgw_chat::core::grant::{GrantChecker, GrantClaims, GrantKey};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{KvTransfer, ENGINE_DRAINING, ENGINE_FULL, STATE_NOT_FOUND};
use nickelgw_protocol::load::{self, LoadReport};
use nickelgw_protocol::{
    sse, ATTEMPT_ID_HEADER, ENGINE_ID_HEADER, GRANT_HEADER, LOAD_METRICS_HEADER, NODE_HEADER,
    REQUEST_ID_HEADER, ZONE_HEADER,
};
use serde_json::{json, Value};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
struct Faults {
    silent_until: f64,
    /// Until when, and the zone that is cut off from all others.
    cut: (f64, String),
    fail: (f64, f64),
    lose: (f64, f64),
    /// Until when, how long each pause is and how often one begins.
    pause: (f64, f64, f64),
    /// Sends to turn away for want of room.
    refuse: u64,
    /// The next fetch ends after half of its bytes, and the process with it.
    die_in_fetch: bool,
    /// "twice", "none" or "text": how streams end instead.
    ending: String,
    /// Said instead of numbered words, a character at a time.
    say: String,
    /// Bytes in each piece of a stream; 0: whole events.
    split: usize,
    /// Added to each token, so that few fill a buffer.
    pad: usize,
}

pub struct Engine {
    model: RefCell<Model>,
    /// Sends that wait for room, first come first served, and the room each needs.
    line: RefCell<VecDeque<(f64, Sender<()>)>>,
    faults: RefCell<Faults>,
    chance: RefCell<WyRand>,
    record: Record,
    address: String,
    die: Sender<()>,
    ex: smol::LocalExecutor<'static>,
    streams: Cell<u64>,
    grants: Option<RefCell<GrantChecker>>,
    tls: Option<Rc<Tls>>,
}

async fn rest(s: f64) {
    Timer::after(Duration::from_secs_f64(s.clamp(0.0, 3600.0))).await;
}

/// Room taken; given back when dropped, however the work ended.
struct Room {
    engine: Rc<Engine>,
    tokens: f64,
}

impl Drop for Room {
    fn drop(&mut self) {
        let mut m = self.engine.model.borrow_mut();
        m.running -= 1;
        m.memory -= self.tokens;
        drop(m);
        self.engine.admit_next();
    }
}

struct Waiting<'a>(&'a Engine, f64);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut m = self.0.model.borrow_mut();
        m.waiting -= 1;
        m.waiting_tokens -= self.1;
    }
}

/// Serves until told to die, or dropped.
pub async fn run(listener: TcpListener, figures: Figures, record: Record, seed: u64) -> std::io::Result<()> {
    let address = listener.local_addr()?.to_string();
    let (die, dead) = async_channel::bounded(1);
    let f = &figures;
    record.note(
        "start",
        json!({"zone": f.zone, "cell": f.cell, "role": f.role, "cold": f.cold, "slots": f.slots,
        "cold_from": f.cold_from, "warm_s": f.warm_s, "tip_multiple": f.tip_multiple,
        "tip_window_s": f.tip_window_s, "memory_tokens": f.memory_tokens}),
    );
    let tls = figures.tls.clone().map(|f| Rc::new(Tls::new(f, record.clone())));
    let keys = figures.grant_keys.iter().filter_map(|(n, secret)| GrantKey::of(*n, secret));
    let grants = (!figures.grant_keys.is_empty()).then(|| RefCell::new(GrantChecker::new(keys)));
    let engine = Rc::new(Engine {
        grants,
        tls: tls.clone(),
        model: RefCell::new(Model::new(figures, unix_now())),
        line: RefCell::default(),
        faults: RefCell::default(),
        chance: RefCell::new(WyRand::new_seed(seed)),
        record,
        address,
        die,
        ex: smol::LocalExecutor::new(),
        streams: Cell::new(0),
    });
    let serving = engine.clone();
    let handle = Rc::new(move |r| serving.clone().handle(r));
    let expiry = async {
        loop {
            rest(0.25).await;
            let old = engine.model.borrow().expired(unix_now());
            for name in old {
                engine.model.borrow_mut().free(&name);
                engine.record.note("expired", json!({"state": name}));
            }
        }
    };
    let end = async {
        let _ = dead.recv().await;
        Ok(())
    };
    let work = engine.ex.run(futures_lite::future::or(serve(listener, tls, handle), expiry));
    futures_lite::future::or(end, work).await
}

impl Engine {
    fn report(&self) -> LoadReport {
        let m = self.model.borrow();
        let f = &m.figures;
        let mut r = LoadReport {
            mem_utilization: Some((m.memory / f.memory_tokens).max(0.0)),
            application_utilization: Some(m.running as f64 / f.slots as f64),
            ..LoadReport::default()
        };
        r.named_metrics.insert(load::QUEUED_REQUESTS_METRIC.into(), m.waiting as f64);
        r.named_metrics.insert(load::INFLIGHT_REQUESTS_METRIC.into(), (m.waiting + m.running) as f64);
        r.named_metrics.insert(load::PENDING_PROMPT_TOKENS_METRIC.into(), m.waiting_tokens.max(0.0));
        r
    }

    fn told(&self, mut a: Answer) -> Answer {
        if let Ok(v) = self.report().to_header().parse() {
            a.headers_mut().insert(LOAD_METRICS_HEADER, v);
        }
        a
    }

    /// Waits while nothing gets through: silent, cut off from the caller's zone, or paused.
    async fn through(&self, zone: &str) {
        loop {
            let now = unix_now();
            let until = {
                let f = self.faults.borrow();
                let mine = &self.model.borrow().figures.zone;
                let parted = !zone.is_empty() && zone != mine && (f.cut.1 == zone || f.cut.1 == *mine);
                let cut = if parted { f.cut.0 } else { 0.0 };
                let (until, long, every) = f.pause;
                let pause = if now < until && now % every < long { now - now % every + long } else { 0.0 };
                f.silent_until.max(cut).max(pause)
            };
            if until <= now {
                return;
            }
            rest(until - now).await;
        }
    }

    fn drawn(&self, (until, share): (f64, f64)) -> bool {
        let dice = self.chance.borrow_mut().generate::<u32>() as f64 / u32::MAX as f64;
        unix_now() < until && dice < share
    }

    /// Waits for a slot and memory, in the order of coming.
    async fn room(self: &Rc<Self>, tokens: f64, memory: f64) -> Room {
        let free = self.line.borrow().is_empty() && self.model.borrow().has_room(memory);
        if !free {
            let (mine, turn) = async_channel::bounded(1);
            self.line.borrow_mut().push_back((memory, mine));
            {
                let mut m = self.model.borrow_mut();
                m.waiting += 1;
                m.waiting_tokens += tokens;
            }
            let waiting = Waiting(self, tokens);
            let _ = turn.recv().await;
            drop(waiting);
        }
        let mut m = self.model.borrow_mut();
        m.running += 1;
        m.memory += memory;
        drop(m);
        Room { engine: self.clone(), tokens: memory }
    }

    fn admit_next(&self) {
        let mut line = self.line.borrow_mut();
        // Those that gave up waiting are passed over.
        while line.front().is_some_and(|w| w.1.receiver_count() == 0) {
            line.pop_front();
        }
        let fits = line.front().is_some_and(|w| self.model.borrow().has_room(w.0));
        if fits {
            if let Some((_, next)) = line.pop_front() {
                let _ = next.try_send(());
            }
        }
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Answer, Cut> {
        let path = request.uri().path().to_string();
        let method = request.method().clone();
        if path == "/control" {
            return self.control(request).await;
        }
        let headers = request.headers().clone();
        let zone = header(&headers, ZONE_HEADER).to_string();
        let answer = match (method, path.as_str()) {
            // Recorded as it comes in: when it was sent, not when a cut that holds it up has healed.
            (Method::POST, "/v1/chat/completions") => self.clone().complete(request, &zone).await?,
            (method, path) => {
                self.through(&zone).await;
                match self.clone().other(method, path, request).await? {
                    Some(a) => a,
                    None => return self.fetched(path.trim_start_matches("/v1/states/"), &headers).await,
                }
            }
        };
        // What was silenced meanwhile stays unsaid until it is over.
        self.through(&zone).await;
        Ok(self.told(answer))
    }

    /// Probes and letting go; none for a state to be fetched.
    async fn other(
        self: Rc<Self>,
        method: Method,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Option<Answer>, Cut> {
        Ok(Some(match (method, path) {
            (Method::GET, "/health") if self.model.borrow().fallen => error(500, "fallen"),
            (Method::GET, "/health") => json(200, json!({"status": "ok"})),
            (Method::DELETE, "/v1/states") => {
                let node = header(request.headers(), NODE_HEADER).to_string();
                let except = request.uri().query().and_then(|q| q.strip_prefix("except=")).unwrap_or("");
                let left = self.model.borrow().left_by(&node, &format!("{except}-"));
                for name in &left {
                    self.model.borrow_mut().free(name);
                    self.record.note("let_go", json!({"state": name, "found": true, "node": node}));
                }
                json(200, json!({"freed": left.len()}))
            }
            (method, path) => match path.strip_prefix("/v1/states/") {
                Some(name) if method == Method::DELETE => {
                    let found = self.model.borrow_mut().free(name);
                    let node = header(request.headers(), NODE_HEADER);
                    self.record.note("let_go", json!({"state": name, "found": found, "node": node}));
                    json(if found { 200 } else { 404 }, json!({"found": found}))
                }
                Some(_) if method == Method::GET => return Ok(None),
                _ => error(404, "not_found"),
            },
        }))
    }

    /// A writer fetches a state: its bytes go out, and its memory is free when all of them have.
    async fn fetched(self: Rc<Self>, name: &str, headers: &HeaderMap) -> Result<Answer, Cut> {
        if let Some(checker) = &self.grants {
            let m = self.model.borrow();
            let g = GrantClaims {
                reservation: name,
                prefill_engine: &m.figures.id,
                decode_engine: header(headers, ENGINE_ID_HEADER),
                expires_at: 0.0,
            };
            if let Err(why) = checker.borrow_mut().check(unix_now(), header(headers, GRANT_HEADER), &g) {
                self.record.note("not_granted", json!({"state": name, "why": format!("{why:?}")}));
                return Ok(error(403, "not_granted"));
            }
        }
        let found = self.model.borrow().states.get(name).map(|s| s.0);
        let Some(tokens) = found else { return Ok(error(404, STATE_NOT_FOUND)) };
        let bytes = (tokens * self.model.borrow().figures.state_bytes_per_token) as usize;
        let (to, from) = async_channel::bounded(4);
        let (engine, name) = (self.clone(), name.to_string());
        self.ex
            .spawn(async move {
                let piece = Bytes::from(vec![b'k'; 64 * 1024]);
                let mut left = bytes;
                let stop_at = if engine.faults.borrow().die_in_fetch { bytes / 2 } else { 0 };
                while left > 0 {
                    if left < stop_at {
                        engine.record.note("died", json!({}));
                        let _ = engine.die.try_send(());
                        return;
                    }
                    let n = left.min(piece.len());
                    if to.send(Frame::data(piece.slice(..n))).await.is_err() {
                        return;
                    }
                    left -= n;
                }
                if engine.model.borrow_mut().free(&name) {
                    engine.record.note("fetched", json!({"state": name, "bytes": bytes}));
                }
            })
            .detach();
        let b = Response::builder().header("content-length", bytes);
        b.body(stream_body(from)).map_err(|_| Cut)
    }

    async fn complete(self: Rc<Self>, request: Request<Incoming>, zone: &str) -> Result<Answer, Cut> {
        let headers = request.headers().clone();
        let (req, send) = (
            header(&headers, REQUEST_ID_HEADER).to_string(),
            header(&headers, ATTEMPT_ID_HEADER).to_string(),
        );
        let bytes = body(request).await?;
        let Ok(chat) = ChatRequest::parse(&bytes) else { return Ok(error(400, "bad_request")) };
        let kv: Option<KvTransfer> =
            chat.fields.get("kv_transfer_params").and_then(|v| serde_json::from_str(v.get()).ok());
        let role = self.model.borrow().figures.role;
        let work = self.model.borrow().work(chat.prompt_tokens);
        let state = kv.as_ref().and_then(|k| k.remote_request_id.clone());
        self.record.note(
            "send",
            json!({"req": req, "send": send, "node": header(&headers, NODE_HEADER), "role": role,
            "state": state, "work": work}),
        );
        self.through(zone).await;
        let fell = self.model.borrow_mut().press(unix_now(), work);
        if fell {
            self.record.note("fell", json!({}));
        }
        let mut refused = self.model.borrow().admit(chat.prompt_tokens).err();
        if self.faults.borrow().refuse > 0 {
            self.faults.borrow_mut().refuse -= 1;
            refused = Some(Refused::Full);
        }
        if let Some(why) = refused {
            let (status, code) = match why {
                Refused::Full => (429, ENGINE_FULL),
                Refused::Draining => (503, ENGINE_DRAINING),
                Refused::Fallen => (500, "fallen"),
            };
            self.record.note("turned", json!({"req": req, "send": send, "code": code}));
            return Ok(error(status, code));
        }
        let fail = self.faults.borrow().fail;
        if self.drawn(fail) {
            self.record.note("failed", json!({"req": req, "send": send}));
            return Ok(error(500, "internal"));
        }
        match role {
            Role::Read => {
                let node = header(&headers, NODE_HEADER).to_string();
                self.read(&chat, &req, &send, zone, &node).await
            }
            Role::Write => self.write(chat, headers, req, send, kv).await,
        }
    }

    async fn read(
        self: Rc<Self>,
        chat: &ChatRequest,
        req: &str,
        send: &str,
        zone: &str,
        node: &str,
    ) -> Result<Answer, Cut> {
        let tokens = chat.prompt_tokens;
        let room = self.room(tokens, tokens).await;
        let prefix = chat.prefix.as_deref().map(|p| (p, chat.prefix_tokens));
        let kept = self.model.borrow_mut().keep(&chat.session, prefix, tokens);
        let takes = self.model.borrow().read_takes(unix_now(), tokens - kept);
        rest(takes).await;
        self.through(zone).await;
        drop(room);
        self.model.borrow_mut().hold(unix_now(), send, tokens);
        self.model.borrow_mut().owners.insert(send.into(), node.into());
        self.record.note("read", json!({"req": req, "send": send, "tokens": tokens, "kept": kept}));
        let lose = self.faults.borrow().lose;
        if self.drawn(lose) {
            self.record.note("lost", json!({"req": req, "send": send}));
            return Err(Cut);
        }
        let kv = KvTransfer {
            do_remote_prefill: true,
            remote_request_id: Some(send.to_string()),
            remote_engine_id: Some(self.model.borrow().figures.id.clone()),
            remote_host: Some(self.address.clone()),
            remote_tls_name: self.tls.as_ref().map(|t| t.files.borrow().name.clone()),
            ..KvTransfer::default()
        };
        let usage = json!({"prompt_tokens": tokens as u64, "completion_tokens": 1,
            "total_tokens": tokens as u64 + 1, "prompt_tokens_details": {"cached_tokens": kept as u64}});
        Ok(json(
            200,
            json!({"id": send, "object": "chat.completion", "choices": [], "usage": usage,
            "kv_transfer_params": kv}),
        ))
    }

    async fn write(
        self: Rc<Self>,
        chat: ChatRequest,
        headers: HeaderMap,
        req: String,
        send: String,
        kv: Option<KvTransfer>,
    ) -> Result<Answer, Cut> {
        let zone = header(&headers, ZONE_HEADER).to_string();
        let (drawn, out) = {
            let dice = self.chance.borrow_mut().generate::<u32>() as f64 / u32::MAX as f64;
            let mean = self.model.borrow().figures.out_tokens as f64;
            (dice, (mean * (0.5 + dice)).round().max(1.0) as u64)
        };
        let say = self.faults.borrow().say.clone();
        let all: Vec<String> = match say.is_empty() {
            true => (0..out).map(|n| format!("w{n} ")).collect(),
            false => say.chars().map(String::from).collect(),
        };
        let pad = "x".repeat(self.faults.borrow().pad);
        let all = all.into_iter().map(|t: String| t + &pad).collect();
        let speech = Speech::of(all, &chat.stop, chat.max_tokens);
        let out = speech.tokens.len() as u64;
        let room = self.room(chat.prompt_tokens, chat.prompt_tokens + out as f64).await;
        match kv {
            Some(kv) => {
                if self.fetch(&kv).await.is_none() {
                    self.record.note("turned", json!({"req": req, "send": send, "code": STATE_NOT_FOUND}));
                    return Ok(error(409, STATE_NOT_FOUND));
                }
            }
            None => {
                let takes = self.model.borrow().read_takes(unix_now(), chat.prompt_tokens);
                rest(4.0 * takes).await;
            }
        }
        // The effect: from here on the inference has run.
        self.record.note("ran", json!({"req": req, "send": send}));
        let lose = self.faults.borrow().lose;
        if self.drawn(lose) {
            self.record.note("lost", json!({"req": req, "send": send}));
            let step = self.model.borrow().step_takes(unix_now());
            rest(drawn * step * out as f64).await;
            return Err(Cut);
        }
        let first = self.model.borrow().step_takes(unix_now());
        rest(first).await;
        self.through(&zone).await;
        let (to, from) = async_channel::bounded(4);
        let engine = self.clone();
        self.streams.set(self.streams.get() + 1);
        self.ex.spawn(async move { engine.speak(chat, speech, room, to, req, send, zone).await }).detach();
        let b = Response::builder()
            .header("content-type", "text/event-stream")
            .header("trailer", LOAD_METRICS_HEADER);
        b.body(stream_body(from)).map_err(|_| Cut)
    }

    #[allow(clippy::too_many_arguments)]
    async fn speak(
        self: Rc<Self>,
        chat: ChatRequest,
        speech: Speech,
        room: Room,
        to: Sender<Frame<Bytes>>,
        req: String,
        send: String,
        zone: String,
    ) {
        let created = unix_now() as u64;
        let (ending, split) = (self.faults.borrow().ending.clone(), self.faults.borrow().split);
        // Nobody hears it any more: none.
        let put = async |f: Bytes| -> Option<()> {
            let size = if split == 0 { f.len() } else { split };
            for n in (0..f.len()).step_by(size.max(1)) {
                to.send(Frame::data(f.slice(n..f.len().min(n + size)))).await.ok()?;
            }
            Some(())
        };
        let out = speech.tokens.len() as u64;
        let chunk = |choices: Value, usage: Value| {
            let v = json!({"id": send, "object": "chat.completion.chunk", "created": created,
                "model": chat.model, "choices": choices, "usage": usage});
            sse::encode_event(v.to_string().as_bytes())
        };
        for (n, token) in (0..out).zip(&speech.tokens) {
            let finish = if n + 1 == out { json!(speech.finish) } else { Value::Null };
            let mut delta = json!({"content": token});
            if n == 0 {
                delta["role"] = json!("assistant");
            }
            let choice = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
            if put(chunk(choice, Value::Null)).await.is_none() {
                self.record.note("dropped", json!({"req": req, "send": send, "tokens": n}));
                return;
            }
            let step = self.model.borrow().step_takes(unix_now());
            if n + 1 < out {
                rest(step).await;
            }
            self.through(&zone).await;
        }
        let prompt = chat.prompt_tokens as u64;
        let usage = json!({"prompt_tokens": prompt, "completion_tokens": out, "total_tokens": prompt + out});
        if chat.include_usage {
            let _ = put(chunk(json!([]), usage)).await;
        }
        if ending != "none" {
            let _ = put(sse::done_event()).await;
        }
        match ending.as_str() {
            "twice" => drop(put(sse::done_event()).await),
            "text" => {
                let more = json!([{"index": 0, "delta": {"content": "and more"}, "finish_reason": null}]);
                let _ = put(chunk(more, Value::Null)).await;
            }
            _ => {}
        }
        drop(room);
        self.record.note("done", json!({"req": req, "send": send, "tokens": out}));
        let mut trailers = HeaderMap::new();
        if let Ok(v) = self.report().to_header().parse() {
            trailers.insert(LOAD_METRICS_HEADER, v);
        }
        let _ = to.send(Frame::trailers(trailers)).await;
    }

    /// Fetches a state from the reader that holds it; its size, or none where it cannot be had.
    async fn fetch(&self, kv: &KvTransfer) -> Option<usize> {
        let (host, name) = (kv.remote_host.as_ref()?, kv.remote_request_id.as_ref()?);
        let (zone, id) = (self.model.borrow().figures.zone.clone(), self.model.borrow().figures.id.clone());
        let grant = kv.remote_grant.as_deref().unwrap_or("");
        let fetch = async {
            let mut s: Box<dyn Stream> = match &self.tls {
                None => Box::new(smol::net::TcpStream::connect(host).await.ok()?),
                Some(tls) => tls.connect(host, kv.remote_tls_name.as_ref()?).await?,
            };
            let head = format!(
                "GET /v1/states/{name} HTTP/1.1\r\nhost: {host}\r\n{ZONE_HEADER}: {zone}\r\n{ENGINE_ID_HEADER}: {id}\r\n{GRANT_HEADER}: {grant}\r\nconnection: close\r\n\r\n"
            );
            s.write_all(head.as_bytes()).await.ok()?;
            let (mut head, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
            let end = loop {
                let n = s.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
                head.extend_from_slice(&buffer[..n]);
                if let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") {
                    break end + 4;
                }
            };
            let text = String::from_utf8_lossy(&head[..end]).to_ascii_lowercase();
            let length = text.lines().find_map(|l| l.strip_prefix("content-length:"))?;
            let length: usize = length.trim().parse().ok()?;
            let mut got = head.len() - end;
            while got < length {
                got += s.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
            }
            text.starts_with("http/1.1 200").then_some(got)
        };
        let late = async {
            rest(2.0).await;
            None
        };
        futures_lite::future::or(fetch, late).await
    }

    async fn control(self: Rc<Self>, request: Request<Incoming>) -> Result<Answer, Cut> {
        let Ok(v) = serde_json::from_slice::<Value>(&body(request).await?) else {
            return Ok(error(400, "bad_json"));
        };
        let until = unix_now() + v["for_s"].as_f64().unwrap_or(0.0);
        let share = v["share"].as_f64().unwrap_or(1.0);
        let fault = v["fault"].as_str().unwrap_or("");
        self.record.note("fault", v.clone());
        {
            let mut f = self.faults.borrow_mut();
            let mut m = self.model.borrow_mut();
            match fault {
                "die" => drop(self.die.try_send(())),
                "silence" => f.silent_until = until,
                "cut" => f.cut = (until, v["zone"].as_str().unwrap_or(&m.figures.zone).to_string()),
                "slow" => m.slow = (until, v["factor"].as_f64().unwrap_or(4.0)),
                "fail" => f.fail = (until, share),
                "lose" => f.lose = (until, share),
                "pause" => {
                    let (long, every) = (v["pause_s"].as_f64(), v["every_s"].as_f64());
                    f.pause = (until, long.unwrap_or(0.2), every.unwrap_or(1.0).max(0.01));
                }
                "refuse" => f.refuse = v["times"].as_u64().unwrap_or(1),
                "die_in_fetch" => f.die_in_fetch = true,
                "ending" => f.ending = v["how"].as_str().unwrap_or("").into(),
                "say" => f.say = v["text"].as_str().unwrap_or("").into(),
                "pad" => f.pad = v["bytes"].as_u64().unwrap_or(0) as usize,
                "split" => f.split = v["bytes"].as_u64().unwrap_or(0) as usize,
                "forget" => m.forget(),
                "drain" => m.draining = true,
                "cert" => {
                    let Some(tls) = &self.tls else { return Ok(error(400, "no_tls")) };
                    {
                        let mut files = tls.files.borrow_mut();
                        let path = |f: &str| v[f].as_str().map(std::path::PathBuf::from);
                        files.chain = path("chain").unwrap_or(files.chain.clone());
                        files.key = path("key").unwrap_or(files.key.clone());
                        files.trust = path("trust").unwrap_or(files.trust.clone());
                    }
                    tls.load();
                }
                "handshake_slow" | "handshake_cut" => {
                    let Some(tls) = &self.tls else { return Ok(error(400, "no_tls")) };
                    match fault {
                        "handshake_cut" => tls.cut_until.set(until),
                        _ => tls.slow.set((until, v["rest_s"].as_f64().unwrap_or(1.0))),
                    }
                }
                _ => return Ok(error(400, "unknown_fault")),
            }
        }
        let m = self.model.borrow();
        Ok(json(
            200,
            json!({"states": m.states.len(), "memory": m.memory, "running": m.running,
            "waiting": m.waiting, "fallen": m.fallen, "streams": self.streams.get()}),
        ))
    }
}

fn stream_body(
    from: Receiver<Frame<Bytes>>,
) -> http_body_util::combinators::BoxBody<Bytes, std::convert::Infallible> {
    Streamed { from: Box::pin(from) }.boxed()
}
