use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

const WAIT: Duration = Duration::from_millis(300);
/// The kernel counts in ticks, of up to 10 ms; the rest is for a busy machine.
const TOLERANCE: Duration = Duration::from_millis(100);

/// The age of the last byte of a request that waits for so long before it is accepted, and again before it is read.
fn age_after(in_backlog: Duration, accepted: Duration) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let before = Instant::now();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"request").unwrap();
    sleep(in_backlog);
    let (mut stream, _) = listener.accept().unwrap();
    sleep(accepted);
    let mut times = ArrivalTimes::new(before);
    let read_at = Instant::now();
    let read = stream.read(&mut [0; 64]).unwrap();
    times.record_read(read_at, &stream, read);
    times.arrival_before(0).elapsed()
}

#[test]
fn bytes_are_as_old_as_their_arrival_in_the_backlog_or_on_an_open_connection() {
    for (in_backlog, accepted) in [(WAIT, Duration::ZERO), (Duration::ZERO, WAIT)] {
        let age = age_after(in_backlog, accepted);
        assert!(age >= WAIT - TOLERANCE && age <= WAIT + TOLERANCE, "{age:?}");
    }
}

#[test]
fn bytes_are_no_older_than_the_last_read_that_found_nothing() {
    let empty_at = Instant::now();
    let mut times = ArrivalTimes::new(empty_at);
    times.record(10, empty_at - WAIT);
    assert_eq!(times.arrival_before(0), empty_at);
}

#[test]
fn each_request_has_the_arrival_of_its_own_last_byte() {
    let start = Instant::now();
    let at = |n: u32| start + n * WAIT;
    let mut times = ArrivalTimes::new(start);
    (1..=3).for_each(|n| times.record(10, at(n)));
    // A request of 15 bytes, and one of the other 15.
    assert_eq!(times.arrival_before(15), at(2));
    assert_eq!(times.arrival_before(0), at(3));
}

#[test]
fn beyond_the_limit_of_arrivals_the_earlier_one_counts() {
    let start = Instant::now();
    let mut times = ArrivalTimes::new(start);
    (0..2 * MAX_ARRIVALS as u32).for_each(|n| times.record(1, start + n * Duration::from_millis(1)));
    assert_eq!(times.arrivals.len(), MAX_ARRIVALS);
    assert_eq!(times.arrival_before(0), start + (MAX_ARRIVALS as u32 - 1) * Duration::from_millis(1));
}
