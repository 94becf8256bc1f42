//! Child processes of a rehearsal, and the faults that they are made to have.

use super::*;

/// Child processes and where they listen.
pub(super) struct Stage {
    pub(super) day: Day,
    pub(super) script: Script,
    pub(super) cold: bool,
    pub(super) fair: bool,
    pub(super) seed: u64,
    pub(super) dir: PathBuf,
    pub(super) list: String,
    pub(super) record: Recorder,
    pub(super) engines: RefCell<BTreeMap<String, (Child, String)>>,
    /// By number; none while the node is down.
    pub(super) nodes: RefCell<Vec<Option<(Child, String)>>>,
    pub(super) begun: Instant,
    pub(super) stall: RefCell<f64>,
    /// The authority in force, on TLS days.
    pub(super) authority: RefCell<Option<Authority>>,
    /// Engines' lines as the day began.
    pub(super) lines: RefCell<Vec<EndpointEntry>>,
}

pub(super) fn no_certificate(e: nickelgw_test_servers::authority::BoxError) -> Unusable {
    Unusable(format!("no certificate was made: {e}"))
}

pub(super) fn tls_name(who: &str) -> String {
    format!("{who}.example.org")
}

impl Stage {
    /// Writes the trust file: the authority's root and others beside it.
    pub(super) fn trust(&self, others: &[&str]) -> Result<(), Unusable> {
        let Some(a) = &*self.authority.borrow() else { return Ok(()) };
        let text = [&[a.root_pem.as_str()], others].concat().concat();
        nickelgw_test_servers::authority::replace_file(&self.file("certs/root.pem"), text.as_bytes(), 0o644)?;
        Ok(())
    }

    pub(super) fn certificate(&self, who: &str, fault: CertFault) -> Result<(), Unusable> {
        let Some(a) = &*self.authority.borrow() else { return Ok(()) };
        a.write(&self.file("certs"), who, &tls_name(who), fault).map_err(no_certificate)?;
        Ok(())
    }

    /// A new certificate for an engine, which takes it at once.
    pub(super) async fn rotate(&self, engine: &str, fault: CertFault) -> Result<(), Unusable> {
        self.certificate(engine, fault)?;
        self.engine_fault(engine, json!({"fault": "cert"})).await;
        Ok(())
    }

    pub(super) async fn rotate_authority(&self) -> Result<(), Unusable> {
        let second = Authority::new("second").map_err(no_certificate)?;
        // Both are trusted before the first certificate of the new one is shown.
        self.trust(&[&second.root_pem])?;
        for e in engine_names(&self.day) {
            self.engine_fault(&e, json!({"fault": "cert"})).await;
        }
        rest(1.5).await;
        *self.authority.borrow_mut() = Some(second);
        for n in 0..self.day.nodes() {
            self.certificate(&format!("node{n}"), CertFault::None)?;
        }
        for e in engine_names(&self.day) {
            self.rotate(&e, CertFault::None).await?;
        }
        rest(1.5).await;
        self.trust(&[])?;
        for e in engine_names(&self.day) {
            self.engine_fault(&e, json!({"fault": "cert"})).await;
        }
        Ok(())
    }

    /// Tells the list, or the registry, of an engine's line.
    pub(super) async fn publish(&self, line: &EndpointEntry, at_once: bool) {
        let order = match self.day.registry() {
            true => json!({"order": "put", "key": engine_key(&line.id), "value": line}),
            false if at_once => json!({"line": line, "lag_s": 0.0}),
            false => json!({"line": line}),
        };
        client::control(&self.list, &order).await;
    }

    pub(super) async fn take_out(&self, engine: &str) {
        let order = match self.day.registry() {
            true => json!({"order": "delete", "key": engine_key(engine)}),
            false => json!({"remove": engine}),
        };
        client::control(&self.list, &order).await;
    }

    pub(super) async fn registry(&self, order: &str, for_s: f64) {
        client::control(&self.list, &json!({"order": order, "for_s": for_s, "key": ENGINES})).await;
    }

    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    pub(super) fn record_of(&self, name: &str) -> String {
        self.file(&format!("records/{name}.jsonl")).display().to_string()
    }

    /// The group of an engine and its figures.
    pub(super) fn figures(&self, name: &str) -> Option<EngineConfig> {
        let rules = self.day.rules.unwrap_or_default();
        let of = |e: &&nickelgw_settings::proto::EngineGroup| {
            (0..e.count()).any(|n| format!("{}{n}", e.name) == name)
        };
        let e = self.day.engines.iter().find(of)?;
        let reader = e.role() == EngineRole::Reader;
        let f = EngineConfig {
            id: name.to_string(),
            zone: e.zone.clone(),
            cell: e.cell(),
            role: if reader { Role::Prefill } else { Role::Decode },
            slots: e.slots() as usize,
            max_queue_len: e.queue() as usize,
            memory_tokens: e.memory_tokens(),
            prefill_base_s: e.read_ms() / 1e3,
            prefill_tokens_per_s: e.read_tokens_per_s(),
            decode_step_s: e.step_ms() / 1e3,
            decode_step_per_stream_s: e.step_per_stream_ms() / 1e3,
            mean_output_tokens: e.out_tokens() as usize,
            kv_bytes_per_token: e.state_bytes_per_token(),
            reservation_ttl_s: e.state_ttl_ms() / 1e3,
            slow_start: false,
            slow_start_speed: rules.cold_share(),
            slow_start_s: rules.warm_within_ms() / 1e3,
            overload_multiple: rules.tip_multiple(),
            overload_window_s: rules.tip_window_ms() / 1e3,
            tls: None,
            grant_keys: self
                .day
                .state_grants
                .iter()
                .flat_map(|g| &g.key)
                .map(|k| (k.number, k.secret.clone()))
                .collect(),
        };
        Some(f)
    }

    pub(super) async fn start_engine(&self, name: &str, cold: bool) -> Result<EndpointEntry, Unusable> {
        let mut f = self.figures(name).ok_or_else(|| Unusable(format!("no engine {name}")))?;
        if self.day.tls() {
            self.certificate(name, CertFault::None)?;
            let file = |end: &str| self.file(&format!("certs/{name}.{end}"));
            let (chain, key, trust) = (file("pem"), file("key"), self.file("certs/root.pem"));
            f.tls = Some(TlsFiles { name: tls_name(name), chain, key, trust, mutual: true });
        }
        let figures = serde_json::to_string(&f)?;
        let read = f.role == Role::Prefill;
        let (cell, seed) = (f.cell.to_string(), self.seed.to_string());
        let mut args = texts(&["engine", "--id", name, "--role", if read { "read" } else { "write" }]);
        args.extend(texts(&["--zone", &f.zone, "--cell", &cell, "--figures", &figures, "--seed", &seed]));
        args.extend(texts(&["--record", &self.record_of(name)]));
        if cold {
            args.push("--cold".into());
        }
        let (child, address) = child(&args, &self.file(&format!("logs/{name}.log"))).await?;
        self.engines.borrow_mut().insert(name.to_string(), (child, address.clone()));
        Ok(self.line(f, address, EngineState::Active, cold.then(unix_now)))
    }

    /// An engine's line in the list.
    pub(super) fn line(
        &self,
        f: EngineConfig,
        address: String,
        state: EngineState,
        started_at: Option<f64>,
    ) -> EndpointEntry {
        EndpointEntry {
            tls_name: self.day.tls().then(|| tls_name(&f.id)),
            id: f.id,
            address,
            zone: f.zone,
            cell: f.cell,
            role: if f.role == Role::Prefill { list::EngineRole::Prefill } else { list::EngineRole::Decode },
            memory_tokens: f.memory_tokens,
            state,
            started_at,
        }
    }

    pub(super) async fn start_node(&self, number: u32) -> Result<(), Unusable> {
        let name = format!("node{number}");
        let path = self.file(&format!("{name}.txtpb"));
        let config = path.display().to_string();
        let log = self.file(&format!("logs/{name}.log"));
        let args = texts(&["serve", "--config", &config, "--log", "json", "--log-level", "debug"]);
        let started = child(&args, &log).await?;
        self.nodes.borrow_mut()[number as usize] = Some(started);
        Ok(())
    }

    pub(super) fn address_of(&self, engine: &str) -> Option<String> {
        self.engines.borrow().get(engine).map(|e| e.1.clone())
    }

    pub(super) async fn engine_fault(&self, engine: &str, order: Value) {
        if let Some(address) = self.address_of(engine) {
            client::control(&address, &order).await;
        }
    }

    pub(super) async fn fault(&self, f: &Fault) -> Result<(), Unusable> {
        rest(f.at_s - self.begun.elapsed().as_secs_f64()).await;
        let (name, for_s) = (f.target().to_string(), f.for_s());
        self.record.record("plan", json!({"kind": f.kind().as_str_name(), "target": name, "for_s": for_s}));
        let word =
            |fault: &str| json!({"fault": fault, "for_s": for_s, "share": f.share(), "factor": f.factor()});
        match f.kind() {
            Kind::Die => {
                self.engine_fault(&name, word("die")).await;
                let dead = self.engines.borrow_mut().remove(&name);
                if let Some((mut child, _)) = dead {
                    let _ = child.kill();
                    let _ = child.status().await;
                }
                self.record.for_source(&name).record("died", json!({}));
                self.take_out(&name).await;
                if for_s > 0.0 {
                    rest(for_s).await;
                    let line = self.start_engine(&name, true).await?;
                    self.publish(&line, false).await;
                }
            }
            Kind::Silence => self.engine_fault(&name, word("silence")).await,
            Kind::Slow => self.engine_fault(&name, word("slow")).await,
            Kind::Fail => self.engine_fault(&name, word("fail")).await,
            Kind::Lose => self.engine_fault(&name, word("lose")).await,
            Kind::Pause => self.engine_fault(&name, word("pause")).await,
            Kind::Forget => self.engine_fault(&name, word("forget")).await,
            Kind::Drain => {
                let Some(figures) = self.figures(&name) else { return Ok(()) };
                let address = self.address_of(&name).unwrap_or_default();
                let line = self.line(figures, address, EngineState::Draining, None);
                self.publish(&line, false).await;
                // It turns work away once every node has had the time to hear of it.
                rest((self.day.list_lag_ms() + self.day.drain_grace_ms()) / 1e3).await;
                self.engine_fault(&name, word("drain")).await;
            }
            Kind::CutZone => {
                let order = json!({"fault": "cut", "for_s": for_s, "zone": name});
                for engine in engine_names(&self.day) {
                    self.engine_fault(&engine, order.clone()).await;
                }
            }
            Kind::CertRotate => self.rotate(&name, CertFault::None).await?,
            Kind::CertExpire => self.rotate(&name, CertFault::Expired).await?,
            Kind::CertWrongName => self.rotate(&name, CertFault::WrongName).await?,
            Kind::CaRotate => self.rotate_authority().await?,
            Kind::HandshakeSlow => {
                let order = json!({"fault": "handshake_slow", "for_s": for_s, "rest_s": f.factor()});
                self.engine_fault(&name, order).await;
            }
            Kind::HandshakeCut => self.engine_fault(&name, word("handshake_cut")).await,
            Kind::StallList => drop(client::control(&self.list, &json!({"stall_s": for_s})).await),
            Kind::KillNode => {
                let number: u32 = name.trim_start_matches("node").parse().unwrap_or(0);
                let down = self.nodes.borrow_mut()[number as usize].take();
                if let Some((mut child, _)) = down {
                    // SIGKILL, to its own id.
                    let _ = child.kill();
                    self.record.record("killed", json!({"node": name}));
                    let _ = child.status().await;
                }
                if for_s > 0.0 {
                    rest(for_s).await;
                    self.start_node(number).await?;
                }
            }
            Kind::RegistryRestart => self.registry("restart", for_s).await,
            Kind::RegistryCompact => self.registry("compact", 0.0).await,
            Kind::RegistryPartition => self.registry("silence", for_s).await,
            Kind::WatchStall => self.registry("stall", for_s).await,
            Kind::RegistryRollback => self.registry("roll_back", 0.0).await,
            Kind::RegistryEmpty => {
                self.registry("empty", 0.0).await;
                rest(for_s).await;
                let lines = self.lines.borrow().clone();
                for l in &lines {
                    self.publish(l, true).await;
                }
            }
            // Troubles of many have become single faults in the script.
            _ => {}
        }
        Ok(())
    }

    /// A node that is up, each in turn; the front of today sends to no dead one for long.
    pub(super) fn node(&self, turn: usize) -> Option<(String, String)> {
        let nodes = self.nodes.borrow();
        let up: Vec<_> =
            nodes.iter().enumerate().filter_map(|(n, x)| Some((n, x.as_ref()?.1.clone()))).collect();
        up.get(turn % up.len().max(1)).map(|(n, a)| (format!("node{n}"), a.clone()))
    }
}
