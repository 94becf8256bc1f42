use super::*;

const PLACES: usize = 8;

fn idle(milliseconds: u64, has_carried_request: bool) -> PlaceUse {
    PlaceUse::Idle { idle_for: Duration::from_millis(milliseconds), has_carried_request }
}

fn arriving(stalled_ms: u64) -> PlaceUse {
    PlaceUse::Arriving {
        arriving_for: Duration::from_millis(stalled_ms),
        stalled_for: Duration::from_millis(stalled_ms),
    }
}

fn slow(arriving_ms: u64) -> PlaceUse {
    PlaceUse::Arriving { arriving_for: Duration::from_millis(arriving_ms), stalled_for: Duration::ZERO }
}

/// Numbers the connections from 1.
fn numbered<const N: usize>(place_uses: [PlaceUse; N]) -> Vec<(u64, PlaceUse)> {
    (1..).zip(place_uses).collect()
}

/// Makes room in a table in which no connection has ended for some time.
fn room(max_connections: usize, connections: &[(u64, PlaceUse)]) -> MakeRoom {
    make_room(FullTable { max_connections, blocked_for: MIN_BLOCKED, connections })
}

#[test]
fn connections_that_have_been_idle_the_longest_are_closed_first() {
    let connections =
        [(1, idle(3_000, false)), (2, idle(2_000, true)), (3, idle(1_900, true)), (4, idle(2_500, true))];
    assert_eq!(room(PLACES, &connections), MakeRoom::Close(vec![4, 2]));
    assert_eq!(room(10 * PLACES, &connections), MakeRoom::Close(vec![4, 2, 1]));
}

/// Regression test: clients with a part of a request each filled the table for 2.4 s.
#[test]
fn requests_that_have_stalled_the_longest_give_way_if_no_connection_is_idle() {
    let connections = [(1, arriving(500)), (2, arriving(700)), (3, arriving(400)), (4, PlaceUse::Busy)];
    assert_eq!(room(PLACES, &connections), MakeRoom::GiveWay(vec![2, 1]));
    let with_idle = [&connections[..], &[(5, idle(500, false))]].concat();
    assert_eq!(room(PLACES, &with_idle), MakeRoom::Close(vec![5]));
}

/// Regression test: clients that wrote their requests slowly, but steadily, filled the table for 2.4 s.
#[test]
fn latest_slow_request_beyond_three_quarters_gives_way() {
    let connections = numbered([900, 800, 700, 600, 500, 400, 200, 300].map(slow));
    assert_eq!(room(PLACES, &connections), MakeRoom::GiveWay(vec![7]));
    let blocked_for = MIN_BLOCKED / 2;
    let turning_over = FullTable { max_connections: PLACES, blocked_for, connections: &connections };
    assert_eq!(make_room(turning_over), MakeRoom::GiveWay(vec![]));
}

#[test]
fn slow_requests_up_to_three_quarters_keep_their_places() {
    let connections = numbered([900, 800, 700, 600, 500, 400, 90, 50].map(slow));
    assert_eq!(room(PLACES, &connections), MakeRoom::GiveWay(vec![]));
    let alone = [(1, slow(2_000)), (2, PlaceUse::Busy), (3, PlaceUse::Busy)];
    assert_eq!(room(PLACES, &alone), MakeRoom::GiveWay(vec![]));
}
