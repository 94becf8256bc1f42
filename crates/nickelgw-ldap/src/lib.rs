//! Entries of an LDAP directory, kept in sync. [`core`] decides; the connection is for the caller.

pub mod core;
