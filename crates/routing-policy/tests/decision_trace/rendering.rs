//! Renders actions as lines. Only this module depends on the names that the policy gives its
//! actions. The lines themselves must not change, as the recorded digests depend on them.

use cranetack_routing_policy::*;

/// Returns the line of an action, whose times are relative to `start`.
pub(crate) fn render(action: &Action, start: Micros) -> String {
    match action {
        Action::Send {
            id,
            endpoint,
            expires_at,
            write_by,
        } => {
            let by = if *write_by == Micros::MAX {
                "none".to_owned()
            } else {
                (write_by - start).to_string()
            };
            format!(
                "send request={} server={} expire={} write_by={by}",
                id.0,
                endpoint.0,
                expires_at - start
            )
        }
        Action::ReserveSlot { id, endpoint } => {
            format!("reserve request={} server={}", id.0, endpoint.0)
        }
        Action::ReleaseState(id) => format!("release request={}", id.0),
        Action::CancelAttempt { id, attempt } => {
            format!("cancel request={} attempt={attempt}", id.0)
        }
        Action::Reject { id, retry_after } => {
            format!("reject request={} retry_after={retry_after}", id.0)
        }
        Action::Fail(id) => format!("fail request={}", id.0),
        Action::Migrate(id) => format!("migrate request={}", id.0),
        Action::SetTimer { at, key } => format!("timer at={} key={}", at - start, key.encode()),
        Action::HealthCheck(endpoint) => format!("probe server={}", endpoint.0),
        Action::Gossip { to, payload } => format!("gossip to={to:?} bytes={payload:?}"),
        Action::SubscribeEndpoints(wanted) => format!("subscribe wanted={wanted}"),
    }
}
