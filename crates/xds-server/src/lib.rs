//! An xDS control plane for other proxies. Serves clusters and weighted endpoints over the
//! aggregated discovery service (ADS) in its state-of-the-world variant. The caller computes health
//! and weights.

mod resources;
mod stream;

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::codegen::tokio_stream::Stream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

pub use resources::{CLUSTER_TYPE_URL, ENDPOINTS_TYPE_URL};

/// The health of an endpoint, which tells a proxy whether to send it requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The endpoint accepts new requests.
    Healthy,
    /// The endpoint finishes the requests that it has and accepts no new ones.
    Draining,
    /// The endpoint should receive no new requests for now, for example because it is ejected.
    Unhealthy,
}

/// An endpoint of a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The zone of the endpoint.
    pub zone: String,
    /// The cell of the endpoint within the zone.
    pub cell: String,
    /// The health of the endpoint.
    pub health: Health,
    /// The weight of the endpoint relative to the other endpoints; at least 1.
    pub weight: u32,
}

/// The endpoints of each cluster, by the cluster's name.
pub type Snapshot = BTreeMap<String, Vec<ClusterEndpoint>>;

/// Serves the latest snapshot and each change of it to subscribers until `shutdown` completes.
pub async fn serve(
    listener: TcpListener,
    snapshots: watch::Receiver<Snapshot>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    tonic::transport::Server::builder()
        .add_service(AggregatedDiscoveryServiceServer::new(DiscoveryService {
            snapshots,
        }))
        .serve_with_incoming_shutdown(
            TcpIncoming::from(listener).with_nodelay(Some(true)),
            shutdown,
        )
        .await
}

struct DiscoveryService {
    snapshots: watch::Receiver<Snapshot>,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl AggregatedDiscoveryService for DiscoveryService {
    type StreamAggregatedResourcesStream = ResponseStream<DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = ResponseStream<DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let responses = stream::respond(request.into_inner(), self.snapshots.clone());
        Ok(Response::new(Box::pin(responses)))
    }

    async fn delta_aggregated_resources(
        &self,
        _: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        Err(Status::unimplemented(
            "only the state of the world is served: use api_type GRPC",
        ))
    }
}
