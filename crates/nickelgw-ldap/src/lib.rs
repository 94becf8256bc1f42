//! Synchronization with the entries of an LDAP directory. [`core`] decides; the caller provides the
//! connection.

pub mod core;
