//! Pages of the HTTP interface, one file for each topic.

pub mod change;
pub mod config;
pub mod drain;
pub mod metrics;
pub mod outcome;
pub mod status;

use std::str::FromStr;

use hyper::{Method, StatusCode};

use crate::{
    api::Verdict,
    operator::Operator,
    serve::{Reply, Request},
};

/// Reply to a request; the error is an error page.
type PageResult = Result<Reply, Reply>;

/// Answers an authenticated request.
pub async fn answer(operator: &Operator, request: &Request) -> Reply {
    let result = match (&request.method, &*request.path) {
        (&Method::GET, "/config") => config::show(operator),
        (&Method::GET, "/history") => config::history(operator, request).await,
        (&Method::GET, "/revision") => config::revision(operator, request).await,
        (&Method::POST, "/submit") => change::submit(operator, request).await,
        (&Method::POST, "/rollback") => change::rollback(operator, request).await,
        (&Method::POST, "/withdraw") => change::withdraw(operator, request).await,
        (&Method::GET, "/status") => Ok(status::show(operator).await),
        (&Method::GET, "/outcome") => outcome::show(operator, request).await,
        (&Method::POST, "/drain") => Ok(drain::start(operator)),
        (_, path) => {
            let message = format!("there is no page {} {path}", request.method);
            Err(Reply::error(StatusCode::NOT_FOUND, Verdict::Faulty, message))
        }
    };
    result.unwrap_or_else(|error| error)
}

/// Returns a parameter of the query; `None` if it is missing.
fn query_param<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, Reply> {
    let pairs = request.query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.into_iter().find(|(known, _)| *known == name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| faulty(format!("{name}={text} can't be read")))
}

/// Returns a required parameter of the query.
fn required_param<T: FromStr>(request: &Request, name: &str) -> Result<T, Reply> {
    query_param(request, name)?.ok_or_else(|| faulty(format!("the setting {name} is missing")))
}

fn faulty(message: impl Into<Box<str>>) -> Reply {
    Reply::error(StatusCode::BAD_REQUEST, Verdict::Faulty, message)
}

fn refused(message: impl Into<Box<str>>) -> Reply {
    Reply::error(StatusCode::CONFLICT, Verdict::Refused, message)
}

fn unknown(message: impl Into<Box<str>>) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, Verdict::Unknown, message)
}
