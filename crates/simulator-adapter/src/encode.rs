//! Encodes the policy's actions as wire values.

use cranetack_routing_policy::{Action, EndpointId, RequestId};
use serde_json::{json, Value};

use crate::router_policy::RouterPolicy;

/// The recipient number for gossip to all other routers.
const ALL_ROUTERS: i64 = -1;

impl RouterPolicy {
    pub(crate) fn encode_action(&self, action: &Action) -> Value {
        match action {
            Action::Send {
                id,
                endpoint,
                expires_at,
                ..
            } => json!([
                "route",
                self.request_name(*id),
                self.endpoint_name(*endpoint),
                expires_at
            ]),
            Action::ReserveSlot { id, endpoint } => {
                json!([
                    "earmark",
                    self.request_name(*id),
                    self.endpoint_name(*endpoint)
                ])
            }
            Action::ReleaseState(id) => json!(["free_state", self.request_name(*id)]),
            Action::CancelAttempt { id, attempt } => {
                json!(["abort_attempt", self.request_name(*id), attempt])
            }
            Action::Reject { id, retry_after } => {
                json!(["shed", self.request_name(*id), retry_after])
            }
            Action::Fail(id) => json!(["lose", self.request_name(*id)]),
            Action::Migrate(id) => json!(["bounce", self.request_name(*id)]),
            Action::SetTimer { at, key } => json!(["sleep", at, key.encode()]),
            Action::HealthCheck(endpoint) => json!(["touch", self.endpoint_name(*endpoint)]),
            Action::Gossip { to, payload } => {
                let hex: String = payload.iter().map(|byte| format!("{byte:02x}")).collect();
                json!(["publish", to.map_or(ALL_ROUTERS, i64::from), hex])
            }
            Action::SubscribeEndpoints(is_subscribed) => json!(["stream_changes", is_subscribed]),
        }
    }

    fn request_name(&self, id: RequestId) -> &str {
        self.requests.name(id.0)
    }

    fn endpoint_name(&self, id: EndpointId) -> &str {
        self.endpoints.get(&id).map_or("", String::as_str)
    }
}
