//! Snapshots as xDS resources.

use std::collections::BTreeMap;

use envoy_types::pb::envoy::config::cluster::v3::cluster::common_lb_config::{
    LocalityConfigSpecifier, LocalityWeightedLbConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, CommonLbConfig, DiscoveryType, EdsClusterConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::config_source::ConfigSourceSpecifier;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{
    address, Address, AggregatedConfigSource, ApiVersion, ConfigSource, HealthStatus, Locality,
    SocketAddress,
};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LocalityLbEndpoints,
};
use envoy_types::pb::google::protobuf::{Any, Duration, UInt32Value};
use prost::Message;

use crate::{Health, Server, Snapshot};

/// The type of cluster resources.
pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// The type of the resources that list a cluster's endpoints.
pub const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// How long another proxy should wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration {
    seconds: 0,
    nanos: 250_000_000,
};

/// The resources of a type that are asked for; no names, or `*`, ask for all clusters. `None` for a type that
/// is not served here.
pub fn resources(snapshot: &Snapshot, type_url: &str, names: &[String]) -> Option<Vec<Any>> {
    let wildcard = type_url == CLUSTER && (names.is_empty() || names.iter().any(|n| n == "*"));
    let wanted = snapshot
        .iter()
        .filter(|(name, _)| wildcard || names.contains(name));
    let any = |value| Any {
        type_url: type_url.to_owned(),
        value,
    };
    match type_url {
        CLUSTER => Some(
            wanted
                .map(|(name, _)| any(cluster(name).encode_to_vec()))
                .collect(),
        ),
        ENDPOINTS => Some(
            wanted
                .map(|(name, servers)| any(assignment(name, servers).encode_to_vec()))
                .collect(),
        ),
        _ => None,
    }
}

fn cluster(name: &str) -> Cluster {
    let ads = ConfigSource {
        resource_api_version: ApiVersion::V3.into(),
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    };
    let weighted =
        LocalityConfigSpecifier::LocalityWeightedLbConfig(LocalityWeightedLbConfig::default());
    Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(ads),
            ..EdsClusterConfig::default()
        }),
        connect_timeout: Some(CONNECT_TIMEOUT),
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(weighted),
            ..CommonLbConfig::default()
        }),
        ..Cluster::default()
    }
}

fn assignment(name: &str, servers: &[Server]) -> ClusterLoadAssignment {
    let mut localities: BTreeMap<(&str, &str), Vec<&Server>> = BTreeMap::new();
    for server in servers {
        localities
            .entry((&server.zone, &server.cell))
            .or_default()
            .push(server);
    }
    let locality = |((zone, cell), servers): ((&str, &str), Vec<&Server>)| LocalityLbEndpoints {
        locality: Some(Locality {
            zone: zone.to_owned(),
            sub_zone: cell.to_owned(),
            ..Locality::default()
        }),
        load_balancing_weight: weight(
            servers
                .iter()
                .map(|s| s.weight)
                .fold(0, u32::saturating_add),
        ),
        lb_endpoints: servers.into_iter().map(endpoint).collect(),
        ..LocalityLbEndpoints::default()
    };
    ClusterLoadAssignment {
        cluster_name: name.to_owned(),
        endpoints: localities.into_iter().map(locality).collect(),
        ..ClusterLoadAssignment::default()
    }
}

fn endpoint(server: &Server) -> LbEndpoint {
    let socket = SocketAddress {
        address: server.address.ip().to_string(),
        port_specifier: Some(PortSpecifier::PortValue(server.address.port().into())),
        ..SocketAddress::default()
    };
    let address = Address {
        address: Some(address::Address::SocketAddress(socket)),
    };
    let health = match server.health {
        Health::Healthy => HealthStatus::Healthy,
        Health::Draining => HealthStatus::Draining,
        Health::Unhealthy => HealthStatus::Unhealthy,
    };
    LbEndpoint {
        health_status: health.into(),
        load_balancing_weight: weight(server.weight),
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(address),
            ..Endpoint::default()
        })),
        ..LbEndpoint::default()
    }
}

/// xDS has no weight of 0.
fn weight(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value {
        value: value.max(1),
    })
}
