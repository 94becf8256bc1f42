//! Names and zones that are derived from a day's settings.

use crate::proto::Day;

/// Returns the names of a day's engines in the order of its groups. A name is the group's name followed by a
/// number from 0.
pub fn engine_names(day: &Day) -> Vec<String> {
    day.engines
        .iter()
        .flat_map(|group| (0..group.count()).map(move |number| format!("{}{number}", group.name)))
        .collect()
}

/// Returns the zone of a day's node. Nodes are assigned to the zones round-robin.
pub fn node_zone(day: &Day, number: u32) -> &str {
    &day.zones[number as usize % day.zones.len()]
}
