//! Repeated requests as state, budgets of retries, tickets for held states.

pub mod budget;
pub mod grant;
pub mod repeats;
