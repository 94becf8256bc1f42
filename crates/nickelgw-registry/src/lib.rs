//! Who is in the fleet. [`core`] decides what is believed; [`wire`] has the published messages of etcd's JSON gateway.

pub mod core;
pub mod wire;
