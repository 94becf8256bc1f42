use super::record::{name_hash, AgedRecord, DigestEntry, RecordVersion};
use super::*;
use proptest::prelude::*;

const UNIX_MS: u64 = 1_700_000_000_000;
const SECRET: &str = "a secret of the fleet";

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
    let peers = peers.iter().map(|peer| format!("{peer}:1")).collect();
    Gossip::new(
        GossipConfig::default(),
        SharedKey::from_secret(SECRET),
        record(name, 1),
        peers,
        name_hash(name),
    )
}

fn sealed(secret: &str, at_ms: u64, message: Message) -> Vec<u8> {
    SharedKey::from_secret(secret).seal(&Datagram { from: "b".into(), at_ms, message }).unwrap()
}

fn records(seq: u64) -> Message {
    message_of(record("b", seq))
}

fn message_of(record: NodeRecord) -> Message {
    Message::Records(vec![AgedRecord { age_ms: 0, record }])
}

/// Runs a number of rounds of all nodes. `is_lost` returns whether a datagram from a node to another is lost
/// in a round.
fn run_rounds(fleet: &mut [Gossip], from: f64, rounds: u32, is_lost: impl Fn(usize, usize, u32) -> bool) {
    for round in 0..rounds {
        let now = from + 0.1 * f64::from(round);
        let unix_ms = UNIX_MS + (now * 1e3) as u64;
        for node in 0..fleet.len() {
            let zone_reports = fleet[node].own().zone_reports.clone();
            fleet[node].publish(now, zone_reports, false);
            let datagrams = fleet[node].poll_datagrams(now, unix_ms).0;
            let mut queue: Vec<(usize, OutgoingDatagram)> =
                datagrams.into_iter().map(|datagram| (node, datagram)).collect();
            while let Some((from, OutgoingDatagram { to, bytes })) = queue.pop() {
                let Some(receiver) = fleet.iter().position(|peer| peer.own().address == to) else { continue };
                if is_lost(from, receiver, round) {
                    continue;
                }
                fleet[receiver].receive(now, unix_ms, &bytes).unwrap();
                let answers = std::mem::take(&mut fleet[receiver].outbox);
                queue.extend(answers.into_iter().map(|answer| (receiver, answer)));
            }
        }
    }
}

#[test]
fn invalid_datagram_is_rejected_and_counted_by_reason() {
    let valid = sealed(SECRET, UNIX_MS, records(2));
    let mut other_version = valid.clone();
    other_version[0] = 9;
    let mut altered = valid.clone();
    *altered.last_mut().unwrap() ^= 1;
    let mut gossip = node("a", &[]);
    for (bytes, error) in [
        (valid[..20].to_vec(), DatagramError::Length),
        (Vec::new(), DatagramError::Length),
        ([valid.clone(), vec![0; 1200]].concat(), DatagramError::Length),
        (other_version, DatagramError::Version),
        (altered, DatagramError::Key),
        (sealed("another secret", UNIX_MS, records(2)), DatagramError::Key),
        (sealed(SECRET, UNIX_MS - 60_000, records(2)), DatagramError::Time),
    ] {
        let before = gossip.counters.rejected[error as usize];
        assert_eq!(gossip.receive(1.0, UNIX_MS, &bytes), Err(error));
        assert_eq!(gossip.counters.rejected[error as usize], before + 1);
    }
    assert_eq!(gossip.node_count(1.0), 1);
    assert_eq!(gossip.receive(1.0, UNIX_MS, &valid), Ok(true));
    assert_eq!(gossip.node_count(1.0), 2);
}

#[test]
fn record_beyond_its_limits_is_rejected() {
    let mut oversized = record("b", 2);
    let report = ZoneReport { unreachable: vec![], ..oversized.zone_reports[0].clone() };
    oversized.zone_reports = vec![report; MAX_ZONES + 1];
    let bytes = sealed(SECRET, UNIX_MS, message_of(oversized));
    assert_eq!(node("a", &[]).receive(1.0, UNIX_MS, &bytes), Err(DatagramError::Unreadable));
}

#[test]
fn newest_record_wins_and_replayed_record_has_no_effect() {
    let mut gossip = node("a", &[]);
    let older = sealed(SECRET, UNIX_MS, records(2));
    assert_eq!(gossip.receive(1.0, UNIX_MS, &older), Ok(true));
    assert_eq!(gossip.receive(1.1, UNIX_MS, &sealed(SECRET, UNIX_MS, records(3))), Ok(true));
    assert_eq!(gossip.receive(1.2, UNIX_MS, &older), Ok(false));
    assert_eq!(gossip.live_peers(1.2).next().unwrap().record.seq, 3);
    // A replayed record does not make a departed peer live again.
    assert_eq!(gossip.receive(20.0, UNIX_MS, &sealed(SECRET, UNIX_MS, records(3))), Ok(false));
    assert_eq!(gossip.node_count(20.0), 1);
}

#[test]
fn full_table_evicts_only_peers_that_are_not_live() {
    let mut gossip = node("a", &[]);
    gossip.config.max_nodes = 2;
    let sealed_record = |name: &str| sealed(SECRET, UNIX_MS, message_of(record(name, 1)));
    for name in ["b", "c", "d"] {
        gossip.receive(1.0, UNIX_MS, &sealed_record(name)).unwrap();
    }
    assert_eq!((gossip.node_count(1.0), gossip.counters.dropped_table_full), (3, 1));
    gossip.receive(30.0, UNIX_MS, &sealed_record("e")).unwrap();
    assert_eq!(gossip.live_peers(30.0).map(|peer| peer.record.name.as_str()).collect::<Vec<_>>(), ["e"]);
}

/// Guards against a node whose clock was set back before a restart: its new records would count as older than
/// those of the earlier process.
#[test]
fn restarted_node_publishes_newer_records_than_its_earlier_process() {
    let mut gossip = node("a", &[]);
    let earlier = NodeRecord { incarnation: 99, ..record("a", 7) };
    gossip.receive(1.0, UNIX_MS, &sealed(SECRET, UNIX_MS, message_of(earlier))).unwrap();
    assert!(gossip.own().version() > RecordVersion { incarnation: 99, seq: 7 });
}

#[test]
fn all_nodes_learn_of_each_other_from_one_seed_peer_with_a_third_of_datagrams_lost() {
    let names: Vec<String> = (0..40).map(|n| format!("n{n}")).collect();
    let mut fleet: Vec<Gossip> = names.iter().map(|name| node(name, &["n0"])).collect();
    run_rounds(&mut fleet, 0.0, 40, |from, to, round| (from * 7 + to * 3 + round as usize).is_multiple_of(3));
    let fewest_known = fleet.iter().map(|gossip| gossip.node_count(4.0)).min();
    assert_eq!(fewest_known, Some(40));
}

#[test]
fn halves_of_partitioned_fleet_forget_each_other_and_rejoin() {
    let names: Vec<String> = (0..12).map(|n| format!("n{n}")).collect();
    let mut fleet: Vec<Gossip> = names.iter().map(|name| node(name, &["n0", "n6"])).collect();
    run_rounds(&mut fleet, 0.0, 20, |_, _, _| false);
    run_rounds(&mut fleet, 2.0, 60, |from, to, _| (from < 6) != (to < 6));
    assert!(
        fleet.iter().all(|gossip| gossip.node_count(8.0) == 6),
        "each half has only its own nodes as live"
    );
    run_rounds(&mut fleet, 8.0, 20, |_, _, _| false);
    assert!(fleet.iter().all(|gossip| gossip.node_count(10.0) == 12));
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1300)) {
        let mut gossip = node("a", &[]);
        prop_assert!(gossip.receive(1.0, UNIX_MS, &bytes).is_err());
        // Arbitrary bytes that are authenticated with the key do not cause a panic either.
        let key = SharedKey::from_secret(SECRET);
        let received = key.seal_raw(&bytes).map(|sealed| gossip.receive(1.0, UNIX_MS, &sealed));
        prop_assert!(received.is_none_or(|result| result.is_err() || gossip.node_count(1.0) <= 2));
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Nodes of two releases exchange datagrams while a fleet is upgraded.
#[test]
fn datagrams_are_encoded_as_by_earlier_releases() {
    let digest_entry =
        |name_hash, incarnation, seq| DigestEntry { name_hash, version: RecordVersion { incarnation, seq } };
    let records_hex = concat!(
        "01d5405669c61ce00c9e29713adeebd266bc559efe2533be280005f471a926e8e0016280d095ffbc3100010001620503",
        "03623a31016101016201140807ac0207ac0207ac0207ac0207ac0207ac0207ac0207ac02e807010105"
    );
    let digest_hex = concat!(
        "0116a6a0064fe30a798e571d79d636f4454d9731f8334a8df81586422a37088f21016280d095ffbc3101020102ac02ff",
        "ffffffffffffffff010500"
    );
    let want_hex = concat!(
        "01428b5e202a8096be252a9a0140e983bdce66e45a7ecfa378d86354976e30003a016280d095ffbc3102020780808080",
        "8020"
    );
    let digest = Message::Digest(vec![digest_entry(1, 2, 300), digest_entry(u64::MAX, 5, 0)]);
    assert_eq!(hex(&sealed(SECRET, UNIX_MS, records(3))), records_hex);
    assert_eq!(hex(&sealed(SECRET, UNIX_MS, digest)), digest_hex);
    assert_eq!(hex(&sealed(SECRET, UNIX_MS, Message::Want(vec![7, 1 << 40]))), want_hex);
}
