//! Acceptance of requests, subject to the limits of the node and of tenants and to the fair share under
//! overload.

use crate::admission::{AdmittedRequest, RejectReason};
use crate::commands::RequestId;
use crate::node_core::NodeCore;
use crate::request_table::{OpenRequest, RequestStage};
use nickelgw::interface::IncomingRequest;

/// Share of the TTFT objective after which a first token counts as late for the concurrency limit. A limit
/// that reacted only to missed objectives would act too late to prevent them.
const LATE_FIRST_TOKEN_SHARE: f64 = 0.4;

impl NodeCore {
    /// Accepts a request, or returns the reason why it is rejected.
    pub fn accept_request(
        &mut self,
        now: f64,
        admitted: &AdmittedRequest,
    ) -> Result<RequestId, RejectReason> {
        if let Err(reason) = self.check_limits(admitted) {
            self.counters.denied += 1;
            return Err(reason);
        }
        if let Some((tenant, weight)) = self.tenant_weight(admitted.tenant) {
            self.fair_share.request_opened(tenant, weight);
        }
        let arrived_at = admitted.arrived_at.unwrap_or(now);
        let deadline = arrived_at + admitted.timeout_s;
        let handle = self.router.admit_request(now, &incoming_request(admitted, arrived_at, deadline));
        self.open_requests += 1;
        if let Some(open) = admitted.tenant.and_then(|tenant| self.open_by_tenant.get_mut(tenant)) {
            *open += 1;
        }
        self.counters.accepted += 1;
        let request = OpenRequest {
            serial: self.requests.next_serial(),
            route: admitted.route,
            name: admitted.name.clone(),
            trace: None,
            tenant: admitted.tenant,
            late_after: arrived_at + LATE_FIRST_TOKEN_SHARE * self.ttft_objective_s(admitted),
            stage: RequestStage::Waiting,
            deadline,
            unary_deadline: admitted
                .unary_timeout_s
                .map_or(f64::INFINITY, |timeout_s| arrived_at + timeout_s),
            attempts: Vec::new(),
        };
        Ok(self.requests.insert(handle, request))
    }

    /// Returns the request's TTFT objective in seconds.
    pub fn ttft_objective_s(&self, admitted: &AdmittedRequest) -> f64 {
        let route = self.routes.get(admitted.route);
        route.map_or(f64::INFINITY, |route| route.ttft_objective_s(admitted.prompt_tokens))
    }

    /// Returns the tenant with its weight; `None` if there is no fair share or no tenant.
    pub(crate) fn tenant_weight(&self, tenant: Option<usize>) -> Option<(usize, f64)> {
        let tenant = tenant?;
        Some((tenant, *self.config.fair_share.as_ref()?.weights.get(tenant)?))
    }

    fn check_limits(&self, admitted: &AdmittedRequest) -> Result<(), RejectReason> {
        if self.shutting_down {
            return Err(RejectReason::ShuttingDown);
        }
        if self.open_requests >= self.config.max_open_requests {
            return Err(RejectReason::NodeFull);
        }
        let limit = admitted.tenant.and_then(|tenant| *self.config.tenant_max_open.get(tenant)?);
        if admitted.tenant.zip(limit).is_some_and(|(tenant, limit)| self.open_by_tenant[tenant] >= limit) {
            return Err(RejectReason::TenantFull);
        }
        if self.is_over_fair_share(admitted.tenant) {
            return Err(RejectReason::OverFairShare);
        }
        Ok(())
    }

    fn is_over_fair_share(&self, tenant: Option<usize>) -> bool {
        let weighted = self.config.fair_share.as_ref().zip(self.tenant_weight(tenant));
        weighted.is_some_and(|(config, (tenant, weight))| {
            let limit = self.concurrency_limit.get();
            !self.fair_share.admits(limit, config.limits.reserve, tenant, weight)
        })
    }
}

fn incoming_request(admitted: &AdmittedRequest, arrived_at: f64, deadline: f64) -> IncomingRequest {
    IncomingRequest {
        route: admitted.route,
        tenant: admitted.tenant,
        arrived_at,
        deadline,
        prompt_tokens: admitted.prompt_tokens,
        prefix_tokens: admitted.prefix_tokens,
        session: admitted.session.clone(),
        prefix: admitted.prefix.clone(),
        is_background: admitted.is_background,
    }
}
