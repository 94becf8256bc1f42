use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

const WAIT: Duration = Duration::from_millis(300);
/// The kernel's clock ticks are up to 10 ms long; the rest allows for a busy machine.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Returns the age of the last byte of a request that waits for `in_backlog` before its connection is
/// accepted and for `before_read` before it is read.
fn age_after(in_backlog: Duration, before_read: Duration) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let before = Instant::now();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"request").unwrap();
    sleep(in_backlog);
    let (mut stream, _) = listener.accept().unwrap();
    sleep(before_read);
    let mut times = ArrivalTimes::new(before);
    let read_at = Instant::now();
    let read = stream.read(&mut [0; 64]).unwrap();
    times.record_read(read_at, &stream, read);
    times.arrival_before(0).elapsed()
}

#[test]
fn arrival_time_covers_the_wait_in_the_backlog_and_on_an_accepted_connection() {
    for (in_backlog, before_read) in [(WAIT, Duration::ZERO), (Duration::ZERO, WAIT)] {
        let age = age_after(in_backlog, before_read);
        assert!(age >= WAIT - TOLERANCE && age <= WAIT + TOLERANCE, "{age:?}");
    }
}

#[test]
fn arrival_time_is_not_before_the_last_read_that_found_nothing() {
    let empty_at = Instant::now();
    let mut times = ArrivalTimes::new(empty_at);
    times.record(10, empty_at - WAIT);
    assert_eq!(times.arrival_before(0), empty_at);
}

#[test]
fn each_request_gets_the_arrival_time_of_its_own_last_byte() {
    let start = Instant::now();
    let at = |n: u32| start + n * WAIT;
    let mut times = ArrivalTimes::new(start);
    (1..=3).for_each(|n| times.record(10, at(n)));
    // The 30 bytes are two requests of 15 bytes each.
    assert_eq!(times.arrival_before(15), at(2));
    assert_eq!(times.arrival_before(0), at(3));
}

#[test]
fn reads_beyond_the_limit_get_the_earlier_arrival_time() {
    let start = Instant::now();
    let mut times = ArrivalTimes::new(start);
    (0..2 * MAX_ARRIVALS as u32).for_each(|n| times.record(1, start + n * Duration::from_millis(1)));
    assert_eq!(times.arrivals.len(), MAX_ARRIVALS);
    assert_eq!(times.arrival_before(0), start + (MAX_ARRIVALS as u32 - 1) * Duration::from_millis(1));
}
