//! Shares of requests that are answered, with room and under overload, measured with the routers of many
//! nodes in one process on a simulated clock. The longest prompts of a route and each session get their
//! share, however uneven the nodes' traffic is.

mod common;
#[path = "shares/fleet.rs"]
mod fleet;

use fleet::{FinishedRequest, Fleet, TTFT_OBJECTIVES_S};
use std::collections::BTreeMap;
use test_case::test_case;

fn share_answered(requests: &[&FinishedRequest]) -> f64 {
    requests.iter().filter(|request| request.answered).count() as f64 / requests.len().max(1) as f64
}

/// The share answered of the longest tenth of a route's prompts, and of the next fifth, is at least
/// `min_fraction` of the share answered of the whole route. The share of sessions without any answer exceeds
/// the share expected by chance by at most 0.12.
#[test_case(0.55, true, 2.0 / 3.0; "low load")]
#[test_case(0.55, false, 2.0 / 3.0; "low load without probes")]
#[test_case(2.5, true, 0.5; "overload")]
#[test_case(2.5, false, 0.5; "overload without probes")]
fn long_prompts_and_all_sessions_get_their_share(load: f64, probes: bool, min_fraction: f64) {
    for seed in [1, 2] {
        let finished = Fleet::new(load, probes, seed).run();
        for route in 0..TTFT_OBJECTIVES_S.len() {
            let mut requests: Vec<&FinishedRequest> =
                finished.iter().filter(|request| request.route == route).collect();
            requests.sort_by(|x, y| y.prompt_tokens.total_cmp(&x.prompt_tokens));
            let answered_share = share_answered(&requests);
            let (tenth, shorter) = requests.split_at(requests.len() / 10);
            let (longest, next) = (share_answered(tenth), share_answered(&shorter[..requests.len() / 5]));
            let mut sessions: BTreeMap<u64, (i32, bool)> = BTreeMap::new();
            for request in &requests {
                let session = sessions.entry(request.session).or_default();
                *session = (session.0 + 1, session.1 || request.answered);
            }
            let refused =
                sessions.values().filter(|session| !session.1).count() as f64 / sessions.len() as f64;
            let by_chance =
                sessions.values().map(|session| (1.0 - answered_share).powi(session.0)).sum::<f64>()
                    / sessions.len() as f64;
            println!(
                "load {load}, probes {probes}, seed {seed}, route {route}: {} requests, \
                 answered {answered_share:.3}, longest tenth {longest:.3}, next fifth {next:.3}; \
                 sessions without an answer {refused:.3}, expected by chance {by_chance:.3}",
                requests.len()
            );
            assert!(requests.len() > 1000);
            assert!(
                longest >= min_fraction * answered_share && next >= min_fraction * answered_share,
                "answered: longest tenth {longest}, next fifth {next}, whole route {answered_share}"
            );
            assert!(
                refused <= by_chance + 0.12,
                "sessions without an answer: {refused}, expected by chance: {by_chance}"
            );
            if load < 1.0 {
                assert!(answered_share > 0.9, "only {answered_share} answered although there is room");
            }
        }
    }
}
