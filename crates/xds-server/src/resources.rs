//! Encodes snapshots as xDS resources.

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

use crate::{ClusterEndpoint, Health, Snapshot};

/// The type URL of cluster resources.
pub const CLUSTER_TYPE_URL: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// The type URL of the resources that list the endpoints of a cluster.
pub const ENDPOINTS_TYPE_URL: &str =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// The connect timeout that proxies should apply to endpoints.
const CONNECT_TIMEOUT: Duration = Duration {
    seconds: 0,
    nanos: 250_000_000,
};

/// Encodes the resources of a type that have one of the names. For clusters, an empty list or a
/// name `*` selects all. Returns `None` for a type that this server does not serve.
pub(crate) fn encode(snapshot: &Snapshot, type_url: &str, names: &[String]) -> Option<Vec<Any>> {
    let is_wildcard =
        type_url == CLUSTER_TYPE_URL && (names.is_empty() || names.iter().any(|n| n == "*"));
    let encode: fn(&str, &[ClusterEndpoint]) -> Vec<u8> = match type_url {
        CLUSTER_TYPE_URL => |name, _| cluster(name).encode_to_vec(),
        ENDPOINTS_TYPE_URL => |name, endpoints| assignment(name, endpoints).encode_to_vec(),
        _ => return None,
    };
    let mut resources = Vec::new();
    for (name, endpoints) in snapshot {
        if is_wildcard || names.contains(name) {
            resources.push(Any {
                type_url: type_url.to_owned(),
                value: encode(name, endpoints),
            });
        }
    }
    Some(resources)
}

fn cluster(name: &str) -> Cluster {
    let ads_source = ConfigSource {
        resource_api_version: ApiVersion::V3.into(),
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    };
    let weighted_localities =
        LocalityConfigSpecifier::LocalityWeightedLbConfig(LocalityWeightedLbConfig::default());
    Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(ads_source),
            ..EdsClusterConfig::default()
        }),
        connect_timeout: Some(CONNECT_TIMEOUT),
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(weighted_localities),
            ..CommonLbConfig::default()
        }),
        ..Cluster::default()
    }
}

fn assignment(cluster_name: &str, endpoints: &[ClusterEndpoint]) -> ClusterLoadAssignment {
    let mut localities: BTreeMap<(&str, &str), Vec<&ClusterEndpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        localities
            .entry((&endpoint.zone, &endpoint.cell))
            .or_default()
            .push(endpoint);
    }
    ClusterLoadAssignment {
        cluster_name: cluster_name.to_owned(),
        endpoints: localities
            .into_iter()
            .map(|((zone, cell), endpoints)| locality(zone, cell, &endpoints))
            .collect(),
        ..ClusterLoadAssignment::default()
    }
}

/// Encodes the endpoints of one cell. The weight of the locality is the sum of the endpoints'
/// weights.
fn locality(zone: &str, cell: &str, endpoints: &[&ClusterEndpoint]) -> LocalityLbEndpoints {
    let total_weight = endpoints
        .iter()
        .map(|endpoint| endpoint.weight)
        .fold(0, u32::saturating_add);
    LocalityLbEndpoints {
        locality: Some(Locality {
            zone: zone.to_owned(),
            sub_zone: cell.to_owned(),
            ..Locality::default()
        }),
        load_balancing_weight: weight(total_weight),
        lb_endpoints: endpoints
            .iter()
            .map(|endpoint| lb_endpoint(endpoint))
            .collect(),
        ..LocalityLbEndpoints::default()
    }
}

fn lb_endpoint(endpoint: &ClusterEndpoint) -> LbEndpoint {
    let socket = SocketAddress {
        address: endpoint.address.ip().to_string(),
        port_specifier: Some(PortSpecifier::PortValue(endpoint.address.port().into())),
        ..SocketAddress::default()
    };
    let address = Address {
        address: Some(address::Address::SocketAddress(socket)),
    };
    let health = match endpoint.health {
        Health::Healthy => HealthStatus::Healthy,
        Health::Draining => HealthStatus::Draining,
        Health::Unhealthy => HealthStatus::Unhealthy,
    };
    LbEndpoint {
        health_status: health.into(),
        load_balancing_weight: weight(endpoint.weight),
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(address),
            ..Endpoint::default()
        })),
        ..LbEndpoint::default()
    }
}

/// Encodes a weight. A weight of 0 becomes 1, because xDS requires weights of at least 1.
fn weight(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value {
        value: value.max(1),
    })
}
