//! Follows discovery: the whole list first, then a watch that waits for what changes.

use crate::core::list::News;
use crate::core::told::Times;
use crate::core::MOST_LIST;
use crate::node::Node;
use crate::wire::{Pool, Use, Within};
use async_channel::Receiver;
use nickelgw_node::{seconds, within};
use nickelgw_node_core::AttemptOutcome;
use smol::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

const LIST: &str = "/v1/servers";
/// A watch goes on with its next call; one that answers at once is not asked without end.
const BETWEEN_S: f64 = 0.005;
/// Gap behind a watch that was answered with nothing before its time: a watch goes on where the next call comes within
/// 0.2 s (the platform's protocol).
const UNWAITED_S: f64 = 0.1;
/// Connections towards discovery: the one in use, and one that is about to close.
pub const CONNECTIONS: usize = 2;

/// Runs until dropped. `moved`: another address counts from now on. The connections are discovery's own: however many
/// are open towards engines and clients, the list is had.
pub async fn follow(
    node: Rc<Node>,
    pool: Rc<Pool>,
    times: Times,
    address: Rc<RefCell<String>>,
    moved: Receiver<()>,
) {
    let mut after: Option<u64> = None;
    let mut failures = 0;
    loop {
        let at = address.borrow().clone();
        let target = match after {
            None => LIST.to_string(),
            Some(v) => format!("{LIST}?since={v}&timeout_ms={}", (times.wait_s * 1e3) as u64),
        };
        let (head, whole) = times.within(after.is_some());
        let asked = Instant::now();
        let call = async {
            Some(pool.short(Use::Short, Within { head, whole }, "GET", &target, &at, MOST_LIST).await)
        };
        let other = async {
            told(&moved).await;
            None
        };
        let news = match futures_lite::future::or(call, other).await {
            None => {
                // The new agent is asked for the whole list at once.
                (after, failures) = (None, 0);
                continue;
            }
            Some(Err(AttemptOutcome::Malformed)) => {
                Err(unusable(&node, "an answer that cannot be read".into()))
            }
            Some(Err(cause)) => Err(format!("{cause:?}")),
            Some(Ok((answer, body))) if answer.status == 200 => {
                News::parse(&body).map_err(|why| unusable(&node, why))
            }
            Some(Ok((answer, _))) => Err(format!("status {}", answer.status)),
        };
        match news {
            // Changes of an older list than was asked for: another agent's, or one that began anew. The whole tells.
            Ok(news) if after.is_some_and(|v| news.goes_back(v)) => after = None,
            Ok(news) => {
                let at_once =
                    after.is_some() && news.is_none() && asked.elapsed().as_secs_f64() < times.wait_s / 2.0;
                (after, failures) = (Some(news.generation), 0);
                node.hear(news);
                if at_once {
                    // It brought nothing and did not wait: asked again at once it would only turn. Its address may move.
                    if within(UNWAITED_S, told(&moved)).await.is_some() {
                        after = None;
                    }
                }
            }
            Err(why) => {
                tracing::debug!(why, "the list was not had");
                after = None;
                within(times.gap(failures), told(&moved)).await;
                failures += 1;
            }
        }
        Timer::after(seconds(BETWEEN_S)).await;
    }
}

/// Ready when the address has moved; never where nobody can move it any more.
async fn told(moved: &Receiver<()>) {
    if moved.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn unusable(node: &Node, why: String) -> String {
    node.unusable("discovery", &why);
    why
}
