//! State machines of service discovery: the watch of the registry, the view of the endpoints, and this node's
//! membership in the fleet. They do no I/O: the caller passes in times and responses, and carries out the
//! commands that they return.

pub mod endpoint_view;
mod endpoint_view_config;
mod flap_damping;
pub mod membership;
pub mod registry_watch;
