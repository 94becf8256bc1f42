//! Deferred requests: accepted under a ticket, run while there is spare capacity, answered by their ticket.

mod concurrency;
mod queue;
mod replay;
mod service;

pub use queue::{retry_policy, DeferredQueueConfig, DeferredRequests, MAX_ATTEMPTS};
pub use service::{field_error, unknown_ticket, DeferredService, DEFERRED_PATH, DEFER_FIELD};
