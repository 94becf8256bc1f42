//! Follows discovery: the whole list first, then a watch that waits for what changes.

use crate::core::list::News;
use crate::core::MOST_LIST;
use crate::node::Node;
use async_channel::Receiver;
use nickelgw_node::{seconds, within};
use smol::Timer;
use std::cell::RefCell;
use std::rc::Rc;

const LIST: &str = "/v1/servers";
/// How long a watch waits for news. What it has not told counts as told 2 s after that, so a silent one is
/// given up sooner.
const WAIT_S: f64 = 4.0;
const ANSWER_S: f64 = 1.0;
/// Gap after a failure, doubled up to the longest.
const FIRST_GAP_S: f64 = 0.05;
const LONGEST_GAP_S: f64 = 0.5;

/// Runs until dropped. `moved`: another address counts from now on.
pub async fn follow(node: Rc<Node>, address: Rc<RefCell<String>>, moved: Receiver<()>) {
    let mut after: Option<u64> = None;
    let mut gap = FIRST_GAP_S;
    loop {
        let at = address.borrow().clone();
        let (target, s) = match after {
            None => (LIST.to_string(), ANSWER_S),
            Some(v) => (format!("{LIST}?since={v}&timeout_ms={}", (WAIT_S * 1e3) as u64), WAIT_S + ANSWER_S),
        };
        let call = async { Some(node.pool.short(s, "GET", &target, &at, MOST_LIST).await) };
        let other = async {
            let _ = moved.recv().await;
            None
        };
        let news = match futures_lite::future::or(call, other).await {
            None => {
                // The new agent is asked for the whole list at once.
                (after, gap) = (None, FIRST_GAP_S);
                continue;
            }
            Some(Err(cause)) => Err(format!("{cause:?}")),
            Some(Ok((answer, body))) if answer.status == 200 => News::parse(&body),
            Some(Ok((answer, _))) => Err(format!("status {}", answer.status)),
        };
        match news {
            Ok(news) => {
                (after, gap) = (Some(news.generation), FIRST_GAP_S);
                node.hear(news);
            }
            Err(why) => {
                tracing::debug!(why, "the list was not had");
                after = None;
                within(gap, moved.recv()).await;
                gap = (2.0 * gap).min(LONGEST_GAP_S);
            }
        }
        // A watch goes on with its next call; one that answers at once is not asked without end.
        Timer::after(seconds(0.005)).await;
    }
}
