use super::*;

const PLACES: usize = 8;

fn idle(milliseconds: u64, has_carried_request: bool) -> PlaceUse {
    PlaceUse::Idle { idle_for: Duration::from_millis(milliseconds), has_carried_request }
}

fn arriving(stalled_ms: u64) -> PlaceUse {
    PlaceUse::Arriving { stalled_for: Duration::from_millis(stalled_ms) }
}

#[test]
fn connections_that_have_been_idle_the_longest_are_closed_first() {
    let connections =
        [(1, idle(3_000, false)), (2, idle(2_000, true)), (3, idle(1_900, true)), (4, idle(2_500, true))];
    assert_eq!(make_room(PLACES, &connections), MakeRoom::Close(vec![4, 2]));
    assert_eq!(make_room(10 * PLACES, &connections), MakeRoom::Close(vec![4, 2, 1]));
}

/// Regression test: clients with a part of a request each filled the table for 2.4 s.
#[test]
fn requests_that_have_stalled_the_longest_give_way_if_no_connection_is_idle() {
    let connections = [(1, arriving(500)), (2, arriving(700)), (3, arriving(400)), (4, PlaceUse::Busy)];
    assert_eq!(make_room(PLACES, &connections), MakeRoom::GiveWay(vec![2, 1]));
    let with_idle = [&connections[..], &[(5, idle(500, false))]].concat();
    assert_eq!(make_room(PLACES, &with_idle), MakeRoom::Close(vec![5]));
}
