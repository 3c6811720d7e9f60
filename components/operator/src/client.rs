//! Client of the pages, used by the commands.

use std::{net::SocketAddr, time::Duration};

use bergamottrack_platform::http::{self, HttpError};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::api::{ErrorPage, Verdict};

/// Timeout of a request; a submit waits for the platform and the fleet.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a request to a page.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The host could not be reached, or its reply could not be read.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The host replied with an error page.
    #[error("{}", .0.message)]
    Reported(ErrorPage),
    /// The host replied with something other than a page.
    #[error("{address} answered {status}, which no host of this version does")]
    Unexpected {
        /// Address of the host.
        address: SocketAddr,
        /// Status of the reply.
        status: StatusCode,
    },
}

impl ClientError {
    /// Returns the outcome of the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Http(HttpError::Unreachable { .. }) => Verdict::Refused,
            Self::Reported(page) => page.verdict,
            Self::Http(HttpError::NoAnswer { .. }) | Self::Unexpected { .. } => Verdict::Unknown,
        }
    }
}

/// Client of one host's pages.
pub struct Client {
    address: SocketAddr,
    authorization: Box<str>,
}

impl Client {
    /// Creates a client that authenticates with the operator key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { address, authorization: format!("Bearer {key}").into() }
    }

    /// Requests a page.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Requests an action.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, ClientError> {
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let headers = [("authorization", &*self.authorization)];
        let call = http::Call { method, path, headers: &headers, body };
        let response = http::call(self.address, call, ANSWER_TIMEOUT).await?;
        let unexpected = ClientError::Unexpected { address: self.address, status: response.status };
        if response.status == StatusCode::OK {
            return serde_json::from_slice(&response.body).map_err(|_| unexpected);
        }
        let page = serde_json::from_slice(&response.body);
        Err(page.map_or(unexpected, ClientError::Reported))
    }
}
