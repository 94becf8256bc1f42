//! Settings of the gossip.

/// Intervals and bounds of the gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time between two rounds, give or take a tenth.
    pub round_s: f64,
    /// Peers that a round's records go to.
    pub fanout: usize,
    /// Rounds between two digests.
    pub digest_every_rounds: u32,
    /// The own record is published again after so long, longer in a large fleet.
    pub refresh_interval_s: f64,
    /// Nodes that a round has room for: the refresh interval grows with the fleet, so that the traffic stays bounded.
    pub nodes_per_round: f64,
    /// The clocks of two nodes may differ by so much.
    pub max_clock_skew_s: f64,
    /// Peers known at most. Past it a new one takes the place of one that is not live, or is dropped.
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
