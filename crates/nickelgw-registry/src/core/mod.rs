//! State machines of service discovery: following the registry, the view of the endpoints, this node's membership among
//! the nodes. No I/O: times and answers come in, commands go out.

pub mod endpoint_view;
mod endpoint_view_config;
mod flap_damping;
pub mod membership;
pub mod registry_watch;
