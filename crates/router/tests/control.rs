//! Tests the control service on loopback with a fake proxy that subscribes to it.

mod common;

use std::collections::BTreeMap;

use common::{endpoint_entry, run_test, Behaviour, FakeServer, TestRouter};
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{
    aggregated_discovery_service_client::AggregatedDiscoveryServiceClient, DiscoveryRequest,
    DiscoveryResponse,
};
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;

/// An xDS subscriber that acknowledges each response.
struct Proxy {
    requests: mpsc::UnboundedSender<DiscoveryRequest>,
    responses: Streaming<DiscoveryResponse>,
}

impl Proxy {
    async fn connect(router: &TestRouter) -> Proxy {
        let (requests, request_stream) = mpsc::unbounded_channel();
        let mut client =
            AggregatedDiscoveryServiceClient::connect(format!("http://{}", router.control))
                .await
                .unwrap();
        // The first request is sent with the call.
        requests
            .send(request(cranetack_xds_server::CLUSTER_TYPE_URL, &[]))
            .unwrap();
        let responses = client
            .stream_aggregated_resources(UnboundedReceiverStream::new(request_stream))
            .await
            .unwrap();
        Proxy {
            requests,
            responses: responses.into_inner(),
        }
    }

    async fn next_response(&mut self) -> DiscoveryResponse {
        self.responses
            .message()
            .await
            .unwrap()
            .expect("the discovery stream ended early")
    }

    /// Receives responses until the health of a cluster's endpoints, by port, is as expected.
    async fn wait_for_health(
        &mut self,
        name: &str,
        is_expected: impl Fn(&BTreeMap<u32, i32>) -> bool,
    ) {
        loop {
            let response = self.next_response().await;
            let mut acknowledgement = request(&response.type_url, &[name]);
            acknowledgement.version_info = response.version_info;
            acknowledgement.response_nonce = response.nonce;
            self.requests.send(acknowledgement).unwrap();
            let endpoints = response.resources.iter().flat_map(|any| {
                let assignment = ClusterLoadAssignment::decode(&*any.value).unwrap();
                assignment
                    .endpoints
                    .into_iter()
                    .flat_map(|locality| locality.lb_endpoints)
            });
            let health_by_port = endpoints.map(|lb_endpoint| {
                assert!(lb_endpoint.load_balancing_weight.unwrap().value >= 1);
                let Some(HostIdentifier::Endpoint(endpoint)) = lb_endpoint.host_identifier else {
                    panic!("an endpoint in a response has no address")
                };
                (port(&endpoint), lb_endpoint.health_status)
            });
            if is_expected(&health_by_port.collect()) {
                return;
            }
        }
    }
}

fn port(endpoint: &envoy_types::pb::envoy::config::endpoint::v3::Endpoint) -> u32 {
    use envoy_types::pb::envoy::config::core::v3::{
        address::Address, socket_address::PortSpecifier,
    };
    match endpoint.address.as_ref().and_then(|a| a.address.as_ref()) {
        Some(Address::SocketAddress(socket)) => match socket.port_specifier {
            Some(PortSpecifier::PortValue(port)) => port,
            _ => panic!("the port of an endpoint is not a number"),
        },
        _ => panic!("the address of an endpoint is not a socket address"),
    }
}

fn request(type_url: &str, names: &[&str]) -> DiscoveryRequest {
    DiscoveryRequest {
        type_url: type_url.to_owned(),
        resource_names: names.iter().map(|n| (*n).to_owned()).collect(),
        ..DiscoveryRequest::default()
    }
}

#[test]
fn a_subscriber_receives_endpoints_and_changes_of_their_health() {
    run_test(async {
        let a = FakeServer::start(1, Behaviour::Answer).await;
        let b = FakeServer::start(1, Behaviour::Answer).await;
        let router = TestRouter::start(vec![
            endpoint_entry(&a, "mixed", "up"),
            endpoint_entry(&b, "mixed", "up"),
        ])
        .await;
        let [a_port, b_port] = [&a, &b].map(|server| u32::from(server.address.port()));
        let mut proxy = Proxy::connect(&router).await;
        let clusters = proxy.next_response().await;
        assert_eq!(
            (clusters.type_url.as_str(), clusters.resources.len()),
            (cranetack_xds_server::CLUSTER_TYPE_URL, 3)
        );
        proxy
            .requests
            .send(request(
                cranetack_xds_server::ENDPOINTS_TYPE_URL,
                &["mixed"],
            ))
            .unwrap();
        let healthy = i32::from(HealthStatus::Healthy);
        proxy
            .wait_for_health("mixed", |health| {
                *health == BTreeMap::from([(a_port, healthy), (b_port, healthy)])
            })
            .await;
        router.discovery.publish(vec![
            endpoint_entry(&a, "mixed", "draining"),
            endpoint_entry(&b, "mixed", "up"),
        ]);
        let draining = i32::from(HealthStatus::Draining);
        proxy
            .wait_for_health("mixed", |health| {
                *health == BTreeMap::from([(a_port, draining), (b_port, healthy)])
            })
            .await;
        router
            .discovery
            .publish(vec![endpoint_entry(&b, "mixed", "up")]);
        proxy
            .wait_for_health("mixed", |health| {
                *health == BTreeMap::from([(b_port, healthy)])
            })
            .await;
    });
}
