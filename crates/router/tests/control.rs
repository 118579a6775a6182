//! The control service on loopback, with a stand-in for another proxy that subscribes to it.

mod common;

use std::collections::BTreeMap;

use common::{endpoint_entry, run, Bed, Behaviour, FakeServer};
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;

/// A proxy that takes whatever it is sent.
struct Proxy {
    requests: mpsc::UnboundedSender<DiscoveryRequest>,
    responses: Streaming<DiscoveryResponse>,
}

impl Proxy {
    async fn connect(bed: &Bed) -> Proxy {
        let (requests, rx) = mpsc::unbounded_channel();
        let mut client =
            AggregatedDiscoveryServiceClient::connect(format!("http://{}", bed.control))
                .await
                .unwrap();
        // The first request goes out with the call.
        requests
            .send(request(cranetack_xds_server::CLUSTER, &[]))
            .unwrap();
        let responses = client
            .stream_aggregated_resources(UnboundedReceiverStream::new(rx))
            .await
            .unwrap();
        Proxy {
            requests,
            responses: responses.into_inner(),
        }
    }

    async fn next(&mut self) -> DiscoveryResponse {
        self.responses
            .message()
            .await
            .unwrap()
            .expect("the stream goes on")
    }

    /// The servers of a cluster, by port, once they fit.
    async fn until(&mut self, name: &str, fits: impl Fn(&BTreeMap<u32, i32>) -> bool) {
        loop {
            let response = self.next().await;
            let mut taken = request(&response.type_url, &[name]);
            taken.version_info = response.version_info;
            taken.response_nonce = response.nonce;
            self.requests.send(taken).unwrap();
            let servers = response.resources.iter().flat_map(|any| {
                let assignment = ClusterLoadAssignment::decode(&*any.value).unwrap();
                assignment
                    .endpoints
                    .into_iter()
                    .flat_map(|l| l.lb_endpoints)
            });
            let servers = servers.map(|server| {
                assert!(server.load_balancing_weight.unwrap().value >= 1);
                let Some(HostIdentifier::Endpoint(endpoint)) = server.host_identifier else {
                    panic!()
                };
                (port(&endpoint), server.health_status)
            });
            if fits(&servers.collect()) {
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
            _ => panic!("a port is given as a number"),
        },
        _ => panic!("an endpoint is a socket"),
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
fn another_proxy_learns_of_servers_and_of_one_that_drains() {
    run(async {
        let (a, b) = (
            FakeServer::start(1, Behaviour::Answer).await,
            FakeServer::start(1, Behaviour::Answer).await,
        );
        let bed = Bed::start(vec![
            endpoint_entry(&a, "mixed", "up"),
            endpoint_entry(&b, "mixed", "up"),
        ])
        .await;
        let [a_port, b_port] = [&a, &b].map(|w| u32::from(w.address.port()));
        let mut proxy = Proxy::connect(&bed).await;
        let clusters = proxy.next().await;
        assert_eq!(
            (clusters.type_url.as_str(), clusters.resources.len()),
            (cranetack_xds_server::CLUSTER, 3)
        );
        proxy
            .requests
            .send(request(cranetack_xds_server::ENDPOINTS, &["mixed"]))
            .unwrap();
        let healthy = i32::from(HealthStatus::Healthy);
        proxy
            .until("mixed", |s| {
                *s == BTreeMap::from([(a_port, healthy), (b_port, healthy)])
            })
            .await;
        bed.discovery.publish(vec![
            endpoint_entry(&a, "mixed", "draining"),
            endpoint_entry(&b, "mixed", "up"),
        ]);
        let draining = i32::from(HealthStatus::Draining);
        proxy
            .until("mixed", |s| {
                *s == BTreeMap::from([(a_port, draining), (b_port, healthy)])
            })
            .await;
        bed.discovery
            .publish(vec![endpoint_entry(&b, "mixed", "up")]);
        proxy
            .until("mixed", |s| *s == BTreeMap::from([(b_port, healthy)]))
            .await;
    });
}
