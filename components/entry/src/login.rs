//! Start-up and authentication of callers' connections.
//!
//! The texts of all errors in this module are sent to the caller.

use std::{collections::BTreeMap, fmt};

use anyhow::{Context, bail};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use bergamottrack_contract::Verifier;
use bergamottrack_coordination::{AccountId, GroupId, KeyId};
use bergamottrack_pg::{
    PgReader, PgWriter,
    answer::{self, Severity},
    frame,
    scram::{self, Exchange},
};
use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    PgWireFrontendMessage, SslNegotiationMetaMessage,
    cancel::CancelRequest,
    startup::{Authentication, PasswordMessageFamily, SASLInitialResponse},
};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::context::Entry;

/// Number of random bytes in the server's nonce of the SCRAM exchange.
const NONCE_LEN: usize = 18;

/// Identity claimed by a caller, and its start-up parameters.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Client account.
    pub account: AccountId,
    /// Key with which the caller authenticates.
    pub key: KeyId,
    /// Database group, given as the `database` parameter.
    pub group: GroupId,
    /// All parameters of the start-up message, including `user` and `database`.
    pub parameters: BTreeMap<String, String>,
}

/// Error: the caller did not prove possession of its key, or its account or key is unknown.
#[derive(Clone, Copy, Debug)]
struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key was not proved")
    }
}

/// First message of a new connection.
pub enum FirstMessage {
    /// Start-up message of a caller, with its parameters.
    Startup(BTreeMap<String, String>),
    /// Request to cancel the running request of another connection.
    Cancel(CancelRequest),
    /// TLS request, which has been accepted.
    StartTls,
}

/// Reads the first message of a connection.
///
/// TLS requests are accepted if `tls_offered` is set. Otherwise they are refused with `N`, after
/// which the caller may continue without encryption.
pub async fn read_first_message<R, W>(
    reader: &mut PgReader<R>,
    writer: &mut PgWriter<W>,
    tls_offered: bool,
) -> anyhow::Result<FirstMessage>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    loop {
        match reader.startup(false).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_))
                if tls_offered =>
            {
                writer.send(b"S").await?;
                return Ok(FirstMessage::StartTls);
            }
            PgWireFrontendMessage::SslNegotiation(_) => writer.send(b"N").await?,
            PgWireFrontendMessage::CancelRequest(cancel) => {
                return Ok(FirstMessage::Cancel(cancel));
            }
            PgWireFrontendMessage::Startup(startup) => {
                return Ok(FirstMessage::Startup(startup.parameters));
            }
            _ => bail!("the connection does not begin with a start-up message"),
        }
    }
}

/// Parses the identity that a caller claims: the `user` parameter is `ACCOUNT.KEY`, the `database`
/// parameter the database group.
pub fn identify(parameters: BTreeMap<String, String>) -> anyhow::Result<Caller> {
    let user = parameters.get("user").context("the start-up names no user")?;
    let (account, key) =
        user.split_once('.').context("the user must be an account and a key: ACCOUNT.KEY")?;
    let group = parameters.get("database").context("the start-up names no database")?;
    Ok(Caller {
        account: account.parse().context("the account's name")?,
        key: key.parse().context("the key's name")?,
        group: group.parse().context("the group's name")?,
        parameters,
    })
}

/// Authenticates a caller by SCRAM, in which the key itself is never transmitted.
///
/// The exchange has the same steps for unknown accounts and keys, so that clients without a key
/// cannot find out which names exist.
pub async fn authenticate<R, W>(
    entry: &Entry,
    caller: &Caller,
    reader: &mut PgReader<R>,
    writer: &mut PgWriter<W>,
) -> anyhow::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let verifier = verifier(entry, caller);
    let offer = Authentication::SASL(vec![scram::MECHANISM.to_owned()]);
    writer.send(&frame::bytes(&offer)).await?;
    let PasswordMessageFamily::Raw(body) = read_password(reader).await? else {
        bail!("the key exchange did not begin")
    };
    let first = parse_sasl_initial(body)?;
    anyhow::ensure!(first.auth_method == scram::MECHANISM, "only {} is offered", scram::MECHANISM);
    let nonce = STANDARD_NO_PAD.encode(rand::random::<[u8; NONCE_LEN]>());
    let data = first.data.context("the key exchange began with nothing")?;
    let exchange = Exchange::begin(&data, verifier, &nonce)?;
    let challenge = Bytes::copy_from_slice(exchange.challenge().as_bytes());
    writer.send(&frame::bytes(&Authentication::SASLContinue(challenge))).await?;
    let PasswordMessageFamily::Raw(body) = read_password(reader).await? else {
        bail!("the key exchange broke off")
    };
    let proof = exchange.finish(&body).context(InvalidKey)?;
    writer.send(&frame::bytes(&Authentication::SASLFinal(Bytes::from(proof)))).await
}

/// Returns the verifier of the caller's key; for an unknown key a verifier of random bytes, with a
/// salt derived from the user name.
fn verifier(entry: &Entry, caller: &Caller) -> Verifier {
    let doc = entry.check_key(&caller.account, &caller.key).ok();
    let config = doc.as_ref().and_then(|doc| doc.config.as_ref());
    let key = config.and_then(|c| c.account(&caller.account)).and_then(|a| a.key(&caller.key));
    match key {
        Some(key) => key.verifier.clone(),
        None => {
            let user = format!("{}.{}", caller.account, caller.key);
            let salt = entry.secret.sign(&[b"no such key", user.as_bytes()]);
            Verifier::new(&STANDARD_NO_PAD.encode(rand::random::<[u8; 32]>()), &salt[..16])
        }
    }
}

async fn read_password<R: AsyncRead + Unpin>(
    reader: &mut PgReader<R>,
) -> anyhow::Result<PasswordMessageFamily> {
    let frame = reader.next().await?.context("the caller left during the key exchange")?;
    match frame.frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => bail!("a key was expected"),
    }
}

fn parse_sasl_initial(body: BytesMut) -> anyhow::Result<SASLInitialResponse> {
    Ok(PasswordMessageFamily::Raw(body).into_sasl_initial_response()?)
}

/// Returns the error message to a caller whose start-up failed.
pub fn error_response(error: &anyhow::Error) -> Bytes {
    let text = format!("{error:#}");
    let code = if error.is::<InvalidKey>() { "28P01" } else { "28000" };
    answer::error(Severity::Fatal, code, &text, Some("not run"), None)
}
