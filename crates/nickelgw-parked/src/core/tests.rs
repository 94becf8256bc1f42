use super::*;
use proptest::prelude::*;

fn figures() -> Figures {
    Figures {
        most_records: 100,
        most_bytes: 10_000,
        most_each: 60,
        longest_wait_s: 1000.0,
        keep_s: 50.0,
        most_answer: 100,
        most_tries: 3,
    }
}

fn record(tenant: &str, at: f64, until: f64) -> Record {
    Record {
        tenant: tenant.into(),
        model: "chat".into(),
        body: b"{}".to_vec(),
        parked_at: at,
        until,
        first_run: None,
        tries: 0,
        state: State::Parked,
    }
}

fn park(p: &mut Parked, ticket: Ticket, tenant: &str, at: f64) {
    p.take(at, ticket, record(tenant, at, at + 100.0)).unwrap();
    p.written(ticket, true);
}

fn answer() -> Answer {
    Answer { status: 200, body: b"well".to_vec() }
}

#[test]
fn nothing_is_run_or_told_before_its_record_is_on_disk() {
    let mut p = Parked::new(figures());
    p.take(0.0, 1, record("t", 0.0, 100.0)).unwrap();
    assert_eq!(p.next(0.0, |_| 1.0, |_| Some(Repeat::Never)), None);
    p.written(1, false);
    assert!(p.is_empty() && p.look(1, "t").is_none(), "what could not be kept never came");
    park(&mut p, 2, "t", 0.0);
    assert_eq!(p.next(0.0, |_| 1.0, |_| Some(Repeat::Never)).unwrap().0, 2);
    p.answered(1.0, 2, answer());
    assert_eq!(p.look(2, "t"), Some(Look::Running), "nor an answer");
    p.written(2, true);
    assert_eq!(p.look(2, "t"), Some(Look::Ended(&answer())));
    assert_eq!(p.look(2, "another"), None);
}

#[test]
fn tenants_are_served_by_their_weights_and_each_oldest_first() {
    let mut p = Parked::new(figures());
    for n in 0..50u32 {
        park(&mut p, 1000 - Ticket::from(n), "many", f64::from(n) / 100.0);
    }
    for n in 0..10 {
        park(&mut p, 2000 + n, "few", 1.0);
        park(&mut p, 3000 + n, "heavy", 1.0);
    }
    let weight = |t: &str| if t == "heavy" { 2.0 } else { 1.0 };
    let mut order = Vec::new();
    for _ in 0..20 {
        let t = p.next(2.0, weight, |_| Some(Repeat::Retriable)).unwrap().0;
        order.push((p.record(t).unwrap().tenant.clone(), t));
    }
    let count = |t: &str| order.iter().filter(|o| o.0 == t).count();
    assert_eq!((count("many"), count("few"), count("heavy")), (5, 5, 10));
    let many: Vec<Ticket> = order.iter().filter(|o| o.0 == "many").map(|o| o.1).collect();
    assert!(many.is_sorted_by(|a, b| a > b), "the oldest has the highest number here: {many:?}");
}

/// Five sites with room for one at a time each, where a tenant that is at all five competes with one that is at one.
#[test]
fn a_tenant_parked_at_one_site_is_not_passed_by_one_parked_at_five() {
    let mut site = Parked::new(figures());
    for n in 0..40 {
        park(&mut site, n, "here", 0.0);
        park(&mut site, 100 + n, "everywhere", 0.0);
    }
    let parts = |t: &str| part(1.0, 40, if t == "here" { 0 } else { 4 * 40 });
    let mut first = Vec::new();
    for _ in 0..30 {
        let t = site.next(1.0, parts, |_| Some(Repeat::Retriable)).unwrap().0;
        first.push(site.record(t).unwrap().tenant.clone());
    }
    let here = first.iter().filter(|t| *t == "here").count();
    assert_eq!(here, 25, "five parts of six: its part elsewhere counts against the other");
}

#[test]
fn a_full_place_refuses_and_keeps_nothing_of_it() {
    let f = Figures { most_records: 3, most_each: 2, ..figures() };
    let mut p = Parked::new(f);
    park(&mut p, 1, "a", 0.0);
    park(&mut p, 2, "a", 0.0);
    assert_eq!(p.take(0.0, 3, record("a", 0.0, 9.0)), Err(Refused::Tenant));
    park(&mut p, 4, "b", 0.0);
    assert_eq!(p.take(0.0, 5, record("b", 0.0, 9.0)), Err(Refused::Records));
    assert_eq!((p.len(), p.look(5, "b")), (3, None));
    let mut p = Parked::new(Figures { most_bytes: 200, ..figures() });
    let big = Record { body: vec![0; 300], ..record("a", 0.0, 9.0) };
    assert_eq!(p.take(0.0, 1, big), Err(Refused::Bytes));
    assert_eq!(p.take(0.0, 1, record("a", 0.0, 2000.0)), Err(Refused::Wait));
    assert_eq!(p.tally.refused, 2);
}

#[test]
fn one_whose_time_passes_ends_then_and_its_answer_goes_later() {
    let mut p = Parked::new(figures());
    park(&mut p, 1, "t", 0.0);
    assert!(p.due(99.9).is_empty());
    assert_eq!(p.due(100.0).len(), 1);
    p.written(1, true);
    assert!(matches!(p.look(1, "t"), Some(Look::Ended(a)) if a.status == 504));
    assert_eq!(p.next(100.0, |_| 1.0, |_| Some(Repeat::Retriable)), None);
    assert_eq!(p.due(150.0), [(1, None)]);
    assert_eq!((p.look(1, "t"), p.len()), (None, 0));
}

#[test]
fn what_is_damaged_or_of_nobody_any_more_harms_no_other() {
    let mut p = Parked::new(figures());
    let sound = record("t", 0.0, 100.0).bytes();
    let nobody = record("gone", 0.0, 100.0).bytes();
    let found = [(1, sound), (2, vec![1, 2, 3]), (3, nobody)];
    let writes = p.restore(1.0, found.into_iter(), |r| (r.tenant == "t").then_some(Repeat::Retriable));
    assert_eq!(writes.len(), 2);
    assert_eq!((p.look(1, "t"), p.look(2, "t")), (Some(Look::Parked), None));
    p.written(3, true);
    assert!(matches!(p.look(3, "gone"), Some(Look::Ended(a)) if a.status == 410));
}

#[derive(Clone, Debug)]
enum Op {
    Take(u8),
    Next,
    Back(bool),
    Answer,
    Flush,
    Crash,
    Wait(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..3u8).prop_map(Op::Take),
        Just(Op::Next),
        any::<bool>().prop_map(Op::Back),
        Just(Op::Answer),
        Just(Op::Flush),
        Just(Op::Crash),
        (0..40u8).prop_map(Op::Wait),
    ]
}

fn kind(r: &Record) -> Option<Repeat> {
    Some(match r.tenant.as_str() {
        "never" => Repeat::Never,
        "deduped" => Repeat::Deduped(20.0),
        _ => Repeat::Retriable,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    /// The process may die between any two steps, and with it all that is not on disk: each ticket told to a client ends once
    /// and says the same ever after, what may not run twice runs once, a deduped one only inside its span, none after its time.
    #[test]
    fn a_parked_inference_ends_exactly_once_wherever_it_crashes(ops in proptest::collection::vec(op(), 1..120)) {
        let mut p = Parked::new(figures());
        let mut disk: BTreeMap<Ticket, Vec<u8>> = BTreeMap::new();
        // Said, and not on disk yet.
        let mut waiting: Vec<Write> = Vec::new();
        let (mut now, mut count) = (0.0, 0);
        let mut tickets: Vec<(Ticket, &str, f64)> = Vec::new();
        let mut runs: BTreeMap<Ticket, Vec<f64>> = BTreeMap::new();
        let mut said: BTreeMap<Ticket, Answer> = BTreeMap::new();
        let mut out: Vec<Ticket> = Vec::new();
        let put = |disk: &mut BTreeMap<Ticket, Vec<u8>>, p: &mut Parked, (t, b): Write| {
            match b {
                Some(b) => drop(disk.insert(t, b)),
                None => drop(disk.remove(&t)),
            }
            p.written(t, true);
        };
        for o in ops {
            match o {
                Op::Take(k) => {
                    count += 1;
                    let tenant = ["never", "deduped", "plain"][k as usize];
                    if let Ok(w) = p.take(now, count, record(tenant, now, now + 30.0)) {
                        put(&mut disk, &mut p, w);
                        tickets.push((count, tenant, now + 30.0));
                    }
                }
                Op::Next => {
                    // What was said before is written before: the file is one after the other.
                    waiting.drain(..).for_each(|w| put(&mut disk, &mut p, w));
                    if let Some(w) = p.next(now, |_| 1.0, kind) {
                        let t = w.0;
                        put(&mut disk, &mut p, w);
                        if p.record(t).is_some_and(|r| r.state == State::Running) {
                            runs.entry(t).or_default().push(now);
                            out.push(t);
                        }
                    }
                }
                Op::Back(ran) => {
                    if let Some(t) = out.pop() {
                        if !ran {
                            // Turned away: it did not run.
                            runs.get_mut(&t).map(Vec::pop);
                        }
                        let k = kind(p.record(t).unwrap()).unwrap();
                        waiting.push(p.back(now, t, ran, k));
                    }
                }
                Op::Answer => {
                    if let Some(t) = out.pop() {
                        waiting.push(p.answered(now, t, answer()));
                    }
                }
                Op::Flush => waiting.drain(..).for_each(|w| put(&mut disk, &mut p, w)),
                Op::Crash => {
                    waiting.clear();
                    out.clear();
                    p = Parked::new(figures());
                    let found: Vec<_> = disk.clone().into_iter().collect();
                    p.restore(now, found.into_iter(), kind).into_iter().for_each(|w| put(&mut disk, &mut p, w));
                }
                Op::Wait(s) => {
                    now += f64::from(s) / 10.0;
                    p.due(now).into_iter().for_each(|w| put(&mut disk, &mut p, w));
                }
            }
            for (t, tenant, _) in &tickets {
                if let Some(Look::Ended(a)) = p.look(*t, tenant) {
                    let before = said.entry(*t).or_insert_with(|| a.clone());
                    prop_assert_eq!(&*before, a, "another answer");
                }
            }
        }
        // All that is out comes to its end, or does not; then time passes.
        now += 31.0;
        while let Some(t) = out.pop() {
            let k = kind(p.record(t).unwrap()).unwrap();
            waiting.push(p.back(now, t, true, k));
        }
        waiting.drain(..).for_each(|w| put(&mut disk, &mut p, w));
        p.due(now).into_iter().for_each(|w| put(&mut disk, &mut p, w));
        for (t, tenant, until) in &tickets {
            let ended = matches!(p.look(*t, tenant), Some(Look::Ended(_)));
            prop_assert!(ended || said.contains_key(t), "{t} of {tenant} has no ending");
            let of = runs.get(t).cloned().unwrap_or_default();
            prop_assert!(*tenant != "never" || of.len() <= 1, "{of:?}");
            prop_assert!(*tenant != "deduped" || of.iter().all(|r| r - of[0] < 20.0), "{of:?}");
            prop_assert!(of.iter().all(|r| r < until), "run after its time");
        }
    }
}
