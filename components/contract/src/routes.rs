//! Address translation for outgoing connections of a host.

use std::{collections::HashMap, net::SocketAddr, str::FromStr};

/// Error for a text that is not a pair of addresses.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a pair of addresses such as 10.0.0.1:5432=192.0.2.1:5432")]
pub struct RouteError(Box<str>);

/// An address and the one to which this host connects instead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address in the configuration.
    pub address: SocketAddr,
    /// Address to which this host connects instead.
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

/// Routes of a host by address, such as for address translation (NAT).
#[derive(Clone, Debug, Default)]
pub struct Routes(HashMap<SocketAddr, SocketAddr>);

impl Routes {
    /// Creates a table of the given routes.
    pub fn new(routes: &[Route]) -> Self {
        Self(routes.iter().map(|route| (route.address, route.via)).collect())
    }

    /// Returns the address to connect to; `address` itself if it has no route.
    pub fn to(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}
