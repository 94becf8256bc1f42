//! What follows from a day's settings: the names of its engines and the zones of its nodes.

use crate::proto::Day;

/// Names of a day's engines, in the order of its groups: the group's name and a number from 0.
pub fn engine_names(day: &Day) -> Vec<String> {
    day.engines
        .iter()
        .flat_map(|group| (0..group.count()).map(move |number| format!("{}{number}", group.name)))
        .collect()
}

/// Zone of a day's node: nodes are placed in the zones round-robin.
pub fn node_zone(day: &Day, number: u32) -> &str {
    &day.zones[number as usize % day.zones.len()]
}
