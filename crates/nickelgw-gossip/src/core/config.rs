//! Settings of the gossip protocol.

/// Intervals and limits of the gossip protocol.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time in seconds between two rounds, jittered by a tenth.
    pub round_s: f64,
    /// Number of peers to which the records of a round are sent.
    pub fanout: usize,
    /// Number of rounds from one digest to the next.
    pub digest_every_rounds: u32,
    /// Time in seconds after which the own record is published again; longer in a large fleet.
    pub refresh_interval_s: f64,
    /// Number of nodes whose records are refreshed in a round. The refresh interval grows with the fleet
    /// accordingly, so that the traffic stays bounded.
    pub nodes_per_round: f64,
    /// Maximum difference in seconds between the clocks of two nodes.
    pub max_clock_skew_s: f64,
    /// Maximum number of known peers. Above it, a new peer replaces one that is not live, or is dropped.
    pub max_nodes: usize,
}

impl Default for GossipConfig {
    fn default() -> GossipConfig {
        GossipConfig {
            round_s: 0.1,
            fanout: 3,
            digest_every_rounds: 5,
            refresh_interval_s: 1.0,
            nodes_per_round: 20.0,
            max_clock_skew_s: 30.0,
            max_nodes: 4096,
        }
    }
}
