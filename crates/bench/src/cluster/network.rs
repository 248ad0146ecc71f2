//! Simulates network partitions of a cluster with proxies between its failure domains.

use crate::bench_error::BenchError;
use stand::{Proxy, ProxyFault, ProxySettings};
use std::net::SocketAddr;

/// Proxy from the daemons of one failure domain to one address outside of it.
#[derive(Debug)]
struct Route {
    from: String,
    /// Failure domain of the target, or `None` for the platform.
    to: Option<String>,
    target: SocketAddr,
    proxy: Proxy,
}

/// Proxies between the failure domains of a cluster, and from each of them to the platform, which simulate network
/// partitions. They run in this process.
#[derive(Debug, Default)]
pub struct Network {
    routes: Vec<Route>,
}

impl Network {
    /// Starts a proxy from a failure domain to `target`; `to` is the target's failure domain, or `None` for the
    /// platform.
    ///
    /// # Errors
    ///
    /// The proxy could not bind its address.
    pub async fn add(
        &mut self,
        from: &str,
        to: Option<&str>,
        target: SocketAddr,
    ) -> Result<(), BenchError> {
        let proxy = Proxy::start(ProxySettings::new(target)).await?;
        let to = to.map(str::to_owned);
        self.routes.push(Route { from: from.to_owned(), to, target, proxy });
        Ok(())
    }

    /// Returns the peer addresses of the daemons in other failure domains, each with the address of the proxy through
    /// which daemons in `from` reach that daemon.
    pub fn address_translations(&self, from: &str) -> Vec<(SocketAddr, SocketAddr)> {
        let routes = self.routes.iter().filter(|route| route.from == from && route.to.is_some());
        routes.map(|route| (route.target, route.proxy.addr())).collect()
    }

    /// Returns the address of the proxy through which daemons in `from` reach the platform; `None` without such a
    /// proxy.
    pub fn platform_addr(&self, from: &str) -> Option<SocketAddr> {
        let route = self.routes.iter().find(|route| route.from == from && route.to.is_none());
        route.map(|route| route.proxy.addr())
    }

    /// Injects a fault into all proxies between two failure domains, in both directions.
    pub fn inject_fault_between(&self, a: &str, b: &str, fault: ProxyFault) {
        for route in &self.routes {
            let to = route.to.as_deref();
            if (route.from == a && to == Some(b)) || (route.from == b && to == Some(a)) {
                route.proxy.inject_fault(fault);
            }
        }
    }

    /// Injects a fault into the proxy from a failure domain to the platform.
    pub fn inject_fault_to_platform(&self, from: &str, fault: ProxyFault) {
        for route in self.routes.iter().filter(|route| route.from == from && route.to.is_none()) {
            route.proxy.inject_fault(fault);
        }
    }
}
