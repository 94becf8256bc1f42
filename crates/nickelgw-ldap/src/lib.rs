//! Entries of a directory, kept in step. [`core`] decides what is believed; the client around it is still to come.

pub mod core;
