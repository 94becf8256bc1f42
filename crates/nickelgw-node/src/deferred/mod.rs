//! Deferred requests. The node accepts one with a ticket and runs it while there is spare capacity; the
//! client looks up the response by the ticket.

mod concurrency;
mod queue;
mod replay;
mod service;

pub use queue::{retry_policy, DeferredQueueConfig, DeferredRequests, MAX_ATTEMPTS};
pub use service::{field_error, unknown_ticket, DeferredService, DEFERRED_PATH, DEFER_FIELD};
