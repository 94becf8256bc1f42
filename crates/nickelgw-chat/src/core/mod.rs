//! Idempotency keys, retry budgets, and grants for KV cache states.

pub mod grant;
pub mod idempotency;
mod recent_bodies;
pub mod retry_budget;
