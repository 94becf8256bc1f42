use super::*;
use proptest::prelude::*;

const UNIX: u64 = 1_700_000_000_000;

fn record(name: &str, seq: u64) -> NodeRecord {
    NodeRecord {
        name: name.into(),
        incarnation: 5,
        seq,
        address: format!("{name}:1"),
        zone: "a".into(),
        deferred_by_tenant: vec![(1, 5)],
        zone_reports: vec![ZoneReport {
            zone: "b".into(),
            last_response_age_ms: Some(20),
            unreachable: vec![(7, 300); 8],
            weight_per_mille: 1000,
        }],
    }
}

fn node(name: &str, peers: &[&str]) -> Gossip {
    let peers = peers.iter().map(|p| format!("{p}:1")).collect();
    Gossip::new(
        GossipConfig::default(),
        SharedKey::from_secret("a secret of the fleet"),
        record(name, 1),
        peers,
        name_hash(name),
    )
}

fn sealed(key: &str, at_ms: u64, word: Message) -> Vec<u8> {
    SharedKey::from_secret(key).seal(&Datagram { from: "b".into(), at_ms, message: word }).unwrap()
}

fn records(seq: u64) -> Message {
    Message::Records(vec![(0, record("b", seq))])
}

/// Lets so much time pass between nodes that all hear each other, but where `lost` says no.
fn pass(fleet: &mut [Gossip], from: f64, rounds: u32, lost: impl Fn(usize, usize, u32) -> bool) {
    for r in 0..rounds {
        let now = from + 0.1 * f64::from(r);
        let unix = UNIX + (now * 1e3) as u64;
        for n in 0..fleet.len() {
            let seen = fleet[n].own().zone_reports.clone();
            fleet[n].publish(now, seen, false);
            let mut queue: Vec<(usize, String, Vec<u8>)> =
                fleet[n].poll_datagrams(now, unix).0.into_iter().map(|(a, b)| (n, a, b)).collect();
            while let Some((from, address, bytes)) = queue.pop() {
                let Some(to) = fleet.iter().position(|f| f.own().address == address) else { continue };
                if lost(from, to, r) {
                    continue;
                }
                fleet[to].receive(now, unix, &bytes).unwrap();
                let answers = std::mem::take(&mut fleet[to].out);
                queue.extend(answers.into_iter().map(|(a, b)| (to, a, b)));
            }
        }
    }
}

#[test]
fn what_is_not_sealed_by_the_fleet_is_refused_and_counted() {
    let good = sealed("a secret of the fleet", UNIX, records(2));
    let mut other = good.clone();
    other[0] = 9;
    let mut touched = good.clone();
    *touched.last_mut().unwrap() ^= 1;
    let mut n = node("a", &[]);
    for (bytes, why) in [
        (good[..20].to_vec(), DatagramError::Length),
        (Vec::new(), DatagramError::Length),
        ([good.clone(), vec![0; 1200]].concat(), DatagramError::Length),
        (other, DatagramError::Version),
        (touched, DatagramError::Key),
        (sealed("another secret", UNIX, records(2)), DatagramError::Key),
        (sealed("a secret of the fleet", UNIX - 60_000, records(2)), DatagramError::Time),
    ] {
        let before = n.counters.rejected[why as usize];
        assert_eq!(n.receive(1.0, UNIX, &bytes), Err(why));
        assert_eq!(n.counters.rejected[why as usize], before + 1);
    }
    assert_eq!(n.node_count(1.0), 1);
    assert_eq!(n.receive(1.0, UNIX, &good), Ok(true));
    assert_eq!(n.node_count(1.0), 2);
}

#[test]
fn a_record_beyond_its_bounds_cannot_be_read() {
    let mut r = record("b", 2);
    r.zone_reports = vec![ZoneReport { unreachable: vec![], ..r.zone_reports[0].clone() }; MOST_SEEN];
    let bytes = sealed("a secret of the fleet", UNIX, Message::Records(vec![(0, r)]));
    assert_eq!(node("a", &[]).receive(1.0, UNIX, &bytes), Err(DatagramError::Unreadable));
}
const MOST_SEEN: usize = record::MAX_ZONES + 1;

#[test]
fn the_newest_record_wins_and_one_played_again_changes_nothing() {
    let key = "a secret of the fleet";
    let mut n = node("a", &[]);
    let old = sealed(key, UNIX, records(2));
    assert_eq!(n.receive(1.0, UNIX, &old), Ok(true));
    assert_eq!(n.receive(1.1, UNIX, &sealed(key, UNIX, records(3))), Ok(true));
    assert_eq!(n.receive(1.2, UNIX, &old), Ok(false));
    assert_eq!(n.live_peers(1.2).next().unwrap().record.seq, 3);
    // Nor does it wake up a node that has gone.
    assert_eq!(n.receive(20.0, UNIX, &sealed(key, UNIX, records(3))), Ok(false));
    assert_eq!(n.node_count(20.0), 1);
}

#[test]
fn a_full_table_makes_room_by_the_silent_alone() {
    let mut n = node("a", &[]);
    n.config.max_nodes = 2;
    let key = "a secret of the fleet";
    let of = |name: &str| sealed(key, UNIX, Message::Records(vec![(0, record(name, 1))]));
    for name in ["b", "c", "d"] {
        n.receive(1.0, UNIX, &of(name)).unwrap();
    }
    assert_eq!((n.node_count(1.0), n.counters.dropped_table_full), (3, 1));
    n.receive(30.0, UNIX, &of("e")).unwrap();
    assert_eq!(n.live_peers(30.0).map(|k| k.record.name.as_str()).collect::<Vec<_>>(), ["e"]);
}

/// After a restart with a clock set back its records would be older than those of the process before.
#[test]
fn a_node_started_anew_tells_newer_records_than_its_earlier_process() {
    let mut n = node("a", &[]);
    let earlier = NodeRecord { incarnation: 99, ..record("a", 7) };
    let word = Message::Records(vec![(0, earlier)]);
    n.receive(1.0, UNIX, &sealed("a secret of the fleet", UNIX, word)).unwrap();
    assert!(n.own().version() > (99, 7));
}

#[test]
fn all_know_all_soon_from_one_peer_named_and_with_a_third_lost() {
    let names: Vec<String> = (0..40).map(|n| format!("n{n}")).collect();
    let mut fleet: Vec<Gossip> = names.iter().map(|n| node(n, &["n0"])).collect();
    pass(&mut fleet, 0.0, 40, |from, to, r| (from * 7 + to * 3 + r as usize).is_multiple_of(3));
    let least = fleet.iter().map(|f| f.node_count(4.0)).min();
    assert_eq!(least, Some(40));
}

#[test]
fn halves_that_were_cut_apart_forget_and_find_each_other_again() {
    let names: Vec<String> = (0..12).map(|n| format!("n{n}")).collect();
    let mut fleet: Vec<Gossip> = names.iter().map(|n| node(n, &["n0", "n6"])).collect();
    pass(&mut fleet, 0.0, 20, |_, _, _| false);
    pass(&mut fleet, 2.0, 60, |from, to, _| (from < 6) != (to < 6));
    assert!(fleet.iter().all(|f| f.node_count(8.0) == 6), "each half stands alone");
    pass(&mut fleet, 8.0, 20, |_, _, _| false);
    assert!(fleet.iter().all(|f| f.node_count(10.0) == 12));
}

proptest! {
    #[test]
    fn no_bytes_bring_it_down(bytes in proptest::collection::vec(any::<u8>(), 0..1300)) {
        let mut n = node("a", &[]);
        prop_assert!(n.receive(1.0, UNIX, &bytes).is_err());
        // Nor do those that only the key stands before.
        let key = SharedKey::from_secret("a secret of the fleet");
        prop_assert!(key.seal_raw(&bytes).map(|b| n.receive(1.0, UNIX, &b)).is_none_or(|r| r.is_err() || n.node_count(1.0) <= 2));
    }
}
