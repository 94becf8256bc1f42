//! Who is answered while there is room, and who under overload: the routers of many nodes in one process, on a clock of
//! their own. The longest prompts of a route and each session get their share, however uneven the nodes' traffic.

mod common;
#[path = "shares/fleet.rs"]
mod fleet;

use fleet::{FinishedRequest, Fleet, TTFT_OBJECTIVES_S};
use std::collections::BTreeMap;
use test_case::test_case;

fn share_answered(requests: &[&FinishedRequest]) -> f64 {
    requests.iter().filter(|request| request.answered).count() as f64 / requests.len().max(1) as f64
}

/// The longest tenth of a route's prompts and the next fifth are answered to at least this part of its share; of its sessions no
/// more are refused throughout than chance has it, and a twentieth.
#[test_case(0.55, true, 2.0 / 3.0; "quiet")]
#[test_case(0.55, false, 2.0 / 3.0; "quiet, no probes")]
#[test_case(2.5, true, 0.5; "more than there is room for")]
#[test_case(2.5, false, 0.5; "more than there is room for, no probes")]
fn long_prompts_and_all_sessions_get_their_share(load: f64, probes: bool, least_share: f64) {
    for seed in [1, 2] {
        let finished = Fleet::new(load, probes, seed).run();
        for route in 0..TTFT_OBJECTIVES_S.len() {
            let mut class: Vec<&FinishedRequest> =
                finished.iter().filter(|request| request.route == route).collect();
            class.sort_by(|x, y| y.prompt_tokens.total_cmp(&x.prompt_tokens));
            let answered_share = share_answered(&class);
            let (tenth, fifth) = class.split_at(class.len() / 10);
            let (longest, next) = (share_answered(tenth), share_answered(&fifth[..class.len() / 5]));
            let mut sessions: BTreeMap<u64, (i32, bool)> = BTreeMap::new();
            for request in &class {
                let s = sessions.entry(request.session).or_default();
                *s = (s.0 + 1, s.1 || request.answered);
            }
            let refused = sessions.values().filter(|s| !s.1).count() as f64 / sessions.len() as f64;
            let by_chance = sessions.values().map(|s| (1.0 - answered_share).powi(s.0)).sum::<f64>()
                / sessions.len() as f64;
            println!(
                "load {load}, probes {probes}, seed {seed}, class {route}: {} inferences, answered {answered_share:.3}, longest tenth {longest:.3}, \
                 next fifth {next:.3}; sessions refused throughout {refused:.3}, by chance {by_chance:.3}",
                class.len()
            );
            assert!(class.len() > 1000);
            assert!(
                longest >= least_share * answered_share && next >= least_share * answered_share,
                "{longest} and {next} of {answered_share}"
            );
            assert!(refused <= by_chance + 0.12, "{refused} beside {by_chance}");
            if load < 1.0 {
                assert!(answered_share > 0.9, "there is room: {answered_share}");
            }
        }
    }
}
