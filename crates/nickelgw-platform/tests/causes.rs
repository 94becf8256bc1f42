//! The table of causes, from lines as nodes log them.

#[path = "../examples/causes.rs"]
#[allow(dead_code)]
mod causes;

use causes::{read, Table};
use std::collections::BTreeMap;
use test_case::test_case;

const TAKEN: &str = "DEBUG nickelgw_platform::node: taken at=1.0 request=a route=2 due_s=6.4 target_s=0.9 prompt=4000.0 body=16000\n";
const SENT: &str = "DEBUG nickelgw_platform::node: sent at=1.1 request=a send=0 engine=r1 read=true there=3.0 expected_s=0.2 age_s=inf silent_s=-0.2\n";
const FRESH: &str = "DEBUG nickelgw_platform::node: sent at=1.1 request=a send=0 engine=r2 read=true there=0.0 expected_s=0.2 age_s=2.5 silent_s=0.0\n";
const READ: &str = "DEBUG nickelgw_platform::node: read at=1.8 request=a engine=r1 kept=9.0\n";
const WRITE: &str = "DEBUG nickelgw_platform::node: sent at=1.8 request=a send=1 engine=w1 read=false there=0.0 expected_s=0.1 age_s=inf silent_s=-1.0\n";
const BEGUN: &str = "DEBUG nickelgw_platform::node: begun at=1.85 request=a\n";
const LATE: &str = "DEBUG nickelgw_platform::node: begun at=2.4 request=a\n";
const WHOLE: &str = "DEBUG nickelgw_platform::node: whole at=3.0 request=a\n";
const UP: &str = "DEBUG nickelgw_platform::node: given up at=7.4 request=a reason=TimeUp\n";
const LOST: &str =
    "DEBUG nickelgw_platform::node: send ended at=1.4 request=a send=0 engine=r1 cause=NoConnection\n";

fn table(log: &[&str]) -> Table {
    let (mut stories, mut refused) = (BTreeMap::new(), BTreeMap::new());
    read(&log.concat(), &mut stories, &mut refused);
    let mut t = Table { fresh: 13.0, ..Table::default() };
    stories.values().for_each(|s| t.add(s));
    t
}

#[test]
fn what_began_in_target_and_is_whole_is_served_and_has_no_cause() {
    let t = table(&[TAKEN, SENT, READ, WRITE, "not a line of ours\n", BEGUN, WHOLE]);
    assert_eq!((t.taken.get(&2), t.served.get(&2), t.rows.len()), (Some(&1), Some(&1), 0));
}

#[test_case("unsent: Unlikely", "some kept from it", &["DEBUG nickelgw_platform::node: given up at=1.1 request=a reason=Unlikely { open: 31, readers: 73, reader_s: 0.4, read_s: 0.7, writer_s: 0.0 }\n"])]
#[test_case("unsent: Late", "all open to it", &["DEBUG nickelgw_platform::node: given up at=1.1 request=a reason=Late { open: 9, readers: 9, reader_s: 7.0, writer_s: 0.0 }\n"])]
#[test_case("sent: no answer at a reader", "sound", &[SENT, UP])]
#[test_case("sent: no answer at a reader", "fresh", &[FRESH, UP])]
#[test_case("sent: NoConnection at a reader", "silent", &[SENT, LOST, UP])]
#[test_case("begun late: queue and read at the reader", "sound", &[SENT, READ, WRITE, LATE, WHOLE])]
#[test_case("read, no writer: TimeUp", "sound", &[SENT, READ, UP])]
#[test_case("unsent: client gone", "", &["DEBUG nickelgw_platform::node: its client has gone, or its stream broke at=1.2 request=a\n"])]
#[test_case("unsent: node ended", "", &[])]
fn each_that_was_not_served_in_target_has_one_cause(cause: &str, engines: &str, log: &[&str]) {
    let t = table(&[&[TAKEN], log].concat());
    let rows: Vec<_> = t.rows.iter().map(|(k, n)| (k.0.as_str(), k.1, n.get(&2).copied())).collect();
    assert_eq!(rows, [(cause, engines, Some(1))]);
}

#[test]
fn a_client_that_wants_it_sooner_than_the_target_is_told_apart() {
    let t = table(&[&TAKEN.replace("due_s=6.4", "due_s=0.4"), SENT, UP]);
    let cause = &t.rows.keys().next().unwrap().0;
    assert_eq!(cause, "sent: no answer at a reader, client's time below the target");
}
