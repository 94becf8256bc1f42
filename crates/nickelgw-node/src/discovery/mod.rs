//! Endpoint discovery: sources of the endpoint list, the directory that reconciles them, and its cache on
//! disk.

pub(crate) mod cache;
pub(crate) mod directory;
pub(crate) mod file_watch;
pub(crate) mod list_watch;
pub(crate) mod membership;
pub(crate) mod registry_client;
pub(crate) mod registry_watch;

pub use registry_client::RegistryOptions;
