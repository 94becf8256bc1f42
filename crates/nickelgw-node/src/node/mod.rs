//! Builds a node from its parts and runs it.

mod assembly;
mod restore;
mod state;

use crate::admin;
use crate::clock::Clock;
use crate::deferred::retry_policy;
use crate::options::NodeOptions;
use crate::persistence::StoreWriter;
use assembly::pool_config;
use async_channel::bounded;
use nickelgw_chat::core::retry_budget::RetryBudget;
use nickelgw_node_core::shutdown::{Exit, ProcessLifecycle};
use nickelgw_node_core::NodeCore;
use nickelgw_registry::core::endpoint_view::EndpointView;
use restore::{restore_records, serving_gate};
use smol::Async;
use state::{ChatTls, DiscoveryState, Node, Storage};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Serves until the process's lifecycle ends or the future is dropped. All tasks that it started end with it.
pub async fn run(listener: TcpListener, options: NodeOptions) -> std::io::Result<Exit> {
    let clock = Clock::start();
    let listener = Async::new(listener)?;
    let (deployment, config) = (options.deployment, options.core_config);
    let seed = deployment.seed ^ u64::from(deployment.node);
    let (mut node, queues) = Node::new(clock, options.name, config.incarnation.clone(), options.limits, seed);
    let pool_config = pool_config(&options.tls, &node.limits);
    let chat_tls = options.tls.chat.map(|server| Arc::new(Mutex::new(server)));
    let chat_tls = ChatTls { server: chat_tls, reload_s: options.tls.reload_s };
    let pool = node.start_pool(options.tls.engines, pool_config);
    let engines = node.engine_client(&pool, &options.zone);
    let (store_writer, records) = StoreWriter::open(options.store, clock);
    let policies = deployment.routes.iter().map(retry_policy).collect();
    let mut core = NodeCore::new(deployment, config);
    let fleet = node.start_gossip(options.gossip, &mut core);
    let deferred =
        options.deferred.map(|config| fleet.open_deferred(config, policies, clock, &options.admission));
    let retry_budget = RetryBudget::new(options.retry_budget, seed);
    let submitter = node.submitter(Rc::new(options.admission), retry_budget);
    let responses = node.responses(options.idempotency, &submitter, &store_writer);
    restore_records(records, &mut core, &responses, clock);
    let storage = Storage { store_writer, deferred, responses };
    let (on_serving, serving) = serving_gate(options.on_serving);
    let (poll_endpoints, poll_requests) = bounded(1);
    let lifecycle = ProcessLifecycle::new(options.shutdown);
    let mut discovery = DiscoveryState::new(lifecycle, on_serving, poll_endpoints);
    let view = EndpointView::new(options.view_config);
    let directory = node.directory(view, &engines, options.endpoint_cache);
    node.restore_endpoints(&directory, &mut core, &mut discovery);
    discovery.addresses = node.start_discovery(options.endpoint_source, directory, poll_requests, &mut core);
    let channels = queues.channels(discovery.poll_endpoints.clone(), fleet.engine_unreachable);
    let store_writers = storage.store_writers();
    let event_loop =
        node.event_loop(core, discovery, channels, engines, store_writers.clone(), options.latency);
    let server = node.chat_server(submitter, &storage, chat_tls.server.clone());
    node.start_storage(&storage, server.deferred.clone());
    let background = node.background(&storage, pool, chat_tls);
    let admin = node.admin(&background, storage, fleet.gossip);
    node.spawn(admin::run(options.admin, options.admin_address, admin, node.executor.clone()));
    node.spawn(background.run());
    node.forward_signals(options.signals);
    node.accept(listener, server, options.accept_when_ready.then_some(serving));
    Ok(node.run_event_loop(event_loop, store_writers).await)
}
