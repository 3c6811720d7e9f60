//! The client of the pages, for the commands.

use std::{net::SocketAddr, time::Duration};

use bergamottrack_platform::http::{self, HttpError};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::api::{ErrorPage, Verdict};

/// How long a host may take to answer: a submit waits for the platform and the fleet.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The host could not be reached, or what it answers can't be read.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The host did not carry it out.
    #[error("{}", .0.message)]
    Reported(ErrorPage),
    /// The host answered something else.
    #[error("{address} answered {status}, which no host of this version does")]
    Unexpected {
        /// The host.
        address: SocketAddr,
        /// What it answered.
        status: StatusCode,
    },
}

impl ClientError {
    /// What became of the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Http(HttpError::Unreachable { .. }) => Verdict::Refused,
            Self::Reported(page) => page.verdict,
            Self::Http(HttpError::NoAnswer { .. }) | Self::Unexpected { .. } => Verdict::Unknown,
        }
    }
}

/// A client of one host's pages.
pub struct Client {
    address: SocketAddr,
    authorization: Box<str>,
}

impl Client {
    /// A client that shows the operator key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { address, authorization: format!("Bearer {key}").into() }
    }

    /// Reads a page.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Has something done.
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
