//! The start of a caller's connection: who it is and what it wants.

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

/// Random bytes of the server's part of the key exchange.
const NONCE_LEN: usize = 18;

/// Who a caller is and what it wants.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The client account.
    pub account: AccountId,
    /// The key it proved.
    pub key: KeyId,
    /// The database group it asked for.
    pub group: GroupId,
    /// All start-up settings.
    pub settings: BTreeMap<String, String>,
}

/// The caller did not prove the key that it names, or there is no such key.
#[derive(Clone, Copy, Debug)]
struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key was not proved")
    }
}

/// What a new connection turned out to be.
pub enum FirstMessage {
    /// A caller that wants statements run.
    Startup(BTreeMap<String, String>),
    /// A request to cancel what another connection runs.
    Cancel(CancelRequest),
    /// A caller that wants to be encrypted and has been answered with a yes.
    StartTls,
}

/// Reads up to the start-up message; encryption that is not offered is refused
/// with a plain `N`, after which the caller may go on without.
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

/// Reads who the caller says it is: user `account.key`, database the group.
pub fn identify(settings: BTreeMap<String, String>) -> anyhow::Result<Caller> {
    let user = settings.get("user").context("the start-up names no user")?;
    let (account, key) =
        user.split_once('.').context("the user must be an account and a key: ACCOUNT.KEY")?;
    let group = settings.get("database").context("the start-up names no database")?;
    Ok(Caller {
        account: account.parse().context("the account's name")?,
        key: key.parse().context("the key's name")?,
        group: group.parse().context("the group's name")?,
        settings,
    })
}

/// Lets the caller prove its key; the key itself never crosses the wire.
///
/// An unknown account or key goes through the same steps, so that a stranger
/// cannot tell which names exist.
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

/// What a caller whose start-up failed is told.
pub fn error_response(error: &anyhow::Error) -> Bytes {
    let text = format!("{error:#}");
    let code = if error.is::<InvalidKey>() { "28P01" } else { "28000" };
    answer::error(Severity::Fatal, code, &text, Some("not run"), None)
}
