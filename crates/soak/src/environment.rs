//! The test environment of a run: routers, fake servers, discovery servers and fault proxies.

use std::rc::Rc;

use crate::discovery_server::DiscoveryServer;
use crate::endpoint_list::EndpointList;
use crate::error::SoakError;
use crate::fault_proxy::FaultProxy;
use crate::model_server::ModelServer;
use crate::options::RunOptions;
use crate::oracle::{Oracle, Role};
use crate::ports::free_addresses;
use crate::router_process::RouterProcess;
use crate::router_settings::LIMITS;
use crate::run_state::RunState;

/// The components of a run.
pub struct TestEnvironment {
    /// State that all components share.
    pub state: Rc<RunState>,
    /// Endpoint list that the discovery servers serve.
    pub endpoints: Rc<EndpointList>,
    /// Fake servers: first the prefill servers, then the decode servers.
    pub servers: Vec<Rc<ModelServer>>,
    /// Fault proxies, by the index of the router, then by the index of the fake server.
    pub proxies: Vec<Vec<Rc<FaultProxy>>>,
    /// Discovery servers, by the index of the router.
    pub discovery_servers: Vec<Rc<DiscoveryServer>>,
    /// Whether the faults include crowds of misbehaving clients.
    pub has_crowds: bool,
    /// Routers under test.
    pub routers: Vec<Rc<RouterProcess>>,
}

impl TestEnvironment {
    /// Starts all components except the router processes.
    pub async fn build(options: &Rc<RunOptions>) -> Result<TestEnvironment, SoakError> {
        let state = RunState::new(
            Oracle::new(LIMITS),
            options.seed,
            options.injected_violation,
        );
        state.deadlines.set(options.deadlines);
        let mut roles = vec![Role::Prefill; options.prefill_servers];
        roles.extend(vec![Role::Decode; options.decode_servers]);
        let mut environment = TestEnvironment {
            endpoints: EndpointList::new(&roles),
            servers: Vec::new(),
            proxies: Vec::new(),
            discovery_servers: Vec::new(),
            has_crowds: options.has_crowds,
            routers: Vec::new(),
            state,
        };
        environment
            .start_servers(&roles)
            .await
            .map_err(SoakError::Listen)?;
        environment
            .prepare_routers(options)
            .await
            .map_err(SoakError::Listen)?;
        Ok(environment)
    }

    async fn start_servers(&mut self, roles: &[Role]) -> std::io::Result<()> {
        for (index, role) in roles.iter().enumerate() {
            let server = ModelServer::start(&self.state, index, *role).await?;
            self.servers.push(server);
        }
        Ok(())
    }

    async fn prepare_routers(&mut self, options: &Rc<RunOptions>) -> std::io::Result<()> {
        let addresses = free_addresses(&self.state, options.routers)?;
        let peers = free_addresses(&self.state, options.routers)?;
        for (index, address) in addresses.into_iter().enumerate() {
            let mut proxies = Vec::new();
            for server in &self.servers {
                let proxy = FaultProxy::start(self.state.clone(), index, server.clone()).await?;
                proxies.push(proxy);
            }
            let discovery =
                DiscoveryServer::start(&self.state, index, self.endpoints.clone(), proxies.clone())
                    .await?;
            let router = RouterProcess::new(
                index,
                address,
                discovery.clone(),
                peers.clone(),
                options.clone(),
            );
            self.routers.push(router);
            self.proxies.push(proxies);
            self.discovery_servers.push(discovery);
        }
        Ok(())
    }
}
