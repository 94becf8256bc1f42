//! Client of an etcd v3 registry, called over its JSON gateway.

use super::directory::EndpointDirectory;
use crate::client::Peer;
use crate::clock::within;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use nickelgw_registry::core::membership;
use nickelgw_registry::wire::{self, RegistryError};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Timeout of a unary call.
pub(super) const CALL_TIMEOUT_S: f64 = 2.0;

/// Settings of an etcd v3 registry.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// Address (host:port) of each member of the registry's cluster.
    pub endpoints: Vec<String>,
    /// Name in the members' certificates, which are verified with the trusted roots of the engines; `None` if
    /// the connections are plain.
    pub tls_name: Option<String>,
    /// Key prefix of the engines' entries.
    pub engines: String,
    /// Key prefix under which nodes claim their numbers; `None` if node number and node count come from the
    /// settings.
    pub nodes: Option<String>,
    /// User name and password; `None` if the registry is called without signing in.
    pub user: Option<(String, String)>,
    /// Configuration of the membership: timing of the node's lease and of its reads.
    pub member: membership::MembershipConfig,
}

/// Client of a registry for one node.
pub struct RegistryClient {
    pub(super) options: RegistryOptions,
    pub(super) node: String,
    pub(super) directory: Rc<EndpointDirectory>,
    /// Token of the last sign-in; `None` if the client is not signed in.
    token: RefCell<Option<String>>,
}

impl RegistryClient {
    /// Creates a client that has not signed in yet.
    pub fn new(
        options: RegistryOptions,
        node: String,
        directory: Rc<EndpointDirectory>,
    ) -> Rc<RegistryClient> {
        Rc::new(RegistryClient { options, node, directory, token: RefCell::new(None) })
    }

    pub(super) fn peer(&self, endpoint: usize) -> Peer<'_> {
        let address = &self.options.endpoints[endpoint % self.options.endpoints.len()];
        Peer { tls_name: self.options.tls_name.as_deref(), ..Peer::plain(address) }
    }

    pub(super) fn request(&self, endpoint: usize, path: &str, body: &Value) -> Option<Request<Full<Bytes>>> {
        let address = self.peer(endpoint).address;
        let mut builder = self.directory.engines.request(Method::POST, address, path);
        builder = builder.header(CONTENT_TYPE, "application/json");
        if let Some(token) = self.token.borrow().clone() {
            builder = builder.header(AUTHORIZATION, token);
        }
        builder.body(Full::new(Bytes::from(body.to_string()))).ok()
    }

    /// Signs in if a user is set and there is no token. The token is dropped when the registry rejects it, so
    /// that the next call signs in again.
    pub(super) async fn sign_in(&self, endpoint: usize) -> Result<(), RegistryError> {
        let Some((name, password)) = self.options.user.clone() else { return Ok(()) };
        if self.token.borrow().is_some() {
            return Ok(());
        }
        let body = json!({"name": name, "password": password});
        let response = self.call_unauthenticated(endpoint, "/v3/auth/authenticate", &body).await?;
        let response: Value = wire::parse_response(&response)?;
        *self.token.borrow_mut() = response["token"].as_str().map(String::from);
        Ok(())
    }

    async fn call_unauthenticated(
        &self,
        endpoint: usize,
        path: &str,
        body: &Value,
    ) -> Result<Bytes, RegistryError> {
        let request = self.request(endpoint, path, body);
        let request = request
            .ok_or_else(|| RegistryError::Failed("the address of the registry endpoint is invalid".into()))?;
        let fetch = self.directory.engines.pool.fetch(self.peer(endpoint), &request);
        match within(CALL_TIMEOUT_S, fetch).await {
            None => {
                Err(RegistryError::Failed(format!("the registry did not respond within {CALL_TIMEOUT_S} s")))
            }
            Some(Err(outcome)) => {
                Err(RegistryError::Failed(format!("the call of the registry failed: {outcome:?}")))
            }
            Some(Ok((200, _, body))) => Ok(body),
            Some(Ok((status, _, body))) => {
                if status == 401 {
                    *self.token.borrow_mut() = None;
                }
                Err(wire::error_of_body(&body))
            }
        }
    }

    /// Makes a unary call, signing in first if a user is set.
    pub(super) async fn call(
        &self,
        endpoint: usize,
        path: &str,
        body: &Value,
    ) -> Result<Bytes, RegistryError> {
        self.sign_in(endpoint).await?;
        self.call_unauthenticated(endpoint, path, body).await
    }
}
