//! Addresses that a host reaches under another one.

use std::{collections::HashMap, net::SocketAddr, str::FromStr};

/// A text is not a pair of addresses.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a pair of addresses such as 10.0.0.1:5432=192.0.2.1:5432")]
pub struct RouteError(Box<str>);

/// One address and the one under which this host reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// The address as the configuration names it.
    pub address: SocketAddr,
    /// The address to connect to instead.
    pub via: SocketAddr,
}

impl FromStr for Route {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, RouteError> {
        let parse = || {
            let (address, via) = text.split_once('=')?;
            Some(Self { address: address.parse().ok()?, via: via.parse().ok()? })
        };
        parse().ok_or_else(|| RouteError(text.into()))
    }
}

/// Addresses that a host reaches under another one, as behind an address translation.
#[derive(Clone, Debug, Default)]
pub struct Routes(HashMap<SocketAddr, SocketAddr>);

impl Routes {
    /// The given routes.
    pub fn new(routes: &[Route]) -> Self {
        Self(routes.iter().map(|route| (route.address, route.via)).collect())
    }

    /// The address to connect to.
    pub fn to(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}
