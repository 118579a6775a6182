//! A control plane for other proxies: what is known of servers, as clusters and weighted endpoints, over the
//! aggregated discovery service of xDS (state of the world). It knows nothing of how weights come about.

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

pub use resources::{CLUSTER, ENDPOINTS};

/// Whether a server should be sent work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It takes work.
    Healthy,
    /// It completes what it has.
    Draining,
    /// It is set aside.
    Unhealthy,
}

/// A server of a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: String,
    /// Whether it should be sent work.
    pub health: Health,
    /// Its share of the work beside others; at least 1.
    pub weight: u32,
}

/// What is served at a time: the servers of each cluster, by its name.
pub type Snapshot = BTreeMap<String, Vec<Server>>;

/// Serves the snapshots to whoever subscribes, until `stop` completes.
pub async fn serve(
    listener: TcpListener,
    snapshots: watch::Receiver<Snapshot>,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    tonic::transport::Server::builder()
        .add_service(AggregatedDiscoveryServiceServer::new(Ads { snapshots }))
        .serve_with_incoming_shutdown(TcpIncoming::from(listener).with_nodelay(Some(true)), stop)
        .await
}

struct Ads {
    snapshots: watch::Receiver<Snapshot>,
}

type Responses<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl AggregatedDiscoveryService for Ads {
    type StreamAggregatedResourcesStream = Responses<DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = Responses<DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let responses = stream::answer(request.into_inner(), self.snapshots.clone());
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
