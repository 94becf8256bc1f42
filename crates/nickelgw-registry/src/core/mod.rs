//! What is heard of the fleet and what is believed of it; who this node is among the nodes. No I/O.

pub mod follow;
pub mod member;
pub mod view;
