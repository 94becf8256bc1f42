use super::*;

#[test]
fn tickets_are_bounded_by_name_generation_age_and_number() {
    let mut tickets = Tickets::new(TicketLimits { max_per_name: 2, max_tickets: 5, max_age_s: 10.0 });
    tickets.rotate(1);
    (0..3).for_each(|number| tickets.insert(number as f64, 1, "a", number));
    assert_eq!((tickets.len(), tickets.take(3.0, 1, "b")), (2, None));
    assert_eq!(tickets.take(3.0, 1, "a"), Some(2), "the newest ticket");
    assert_eq!(tickets.take(20.0, 1, "a"), None, "ticket too old");
    tickets.insert(20.0, 1, "a", 7);
    tickets.insert(20.0, 2, "a", 8);
    assert_eq!(tickets.take(20.0, 2, "a"), None, "ticket of another generation");
    tickets.rotate(2);
    assert!(tickets.is_empty() && tickets.take(20.0, 1, "a").is_none());
    for number in 0..20 {
        tickets.insert(30.0 + number as f64, 2, &format!("n{number}"), number);
    }
    assert_eq!(
        (tickets.len(), tickets.take(50.0, 2, "n0"), tickets.take(50.0, 2, "n19")),
        (5, None, Some(19))
    );
}
