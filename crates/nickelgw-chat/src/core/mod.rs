//! Repeated requests as state, budgets of retries, tickets for held states.

pub mod grant;
pub mod idempotency;
pub mod retry_budget;
