//! Encrypted connections of callers, and replacement of certificates.

use std::{fs, path::Path, sync::Arc, time::Duration};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::simplequery::Query;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::{
    TlsConnector,
    rustls::{
        ClientConfig, RootCertStore,
        pki_types::{CertificateDer, ServerName, pem::PemObject},
    },
};

/// `SSLRequest` message, which requests encryption.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// Copies a certificate of `tests/tls` and its key to the host's paths.
fn install_certificate(dir: &TempDir, name: &str) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tls");
    for part in ["crt", "key"] {
        fs::copy(from.join(format!("{name}.{part}")), dir.path().join(part)).unwrap();
    }
}

/// Starts one host with the first certificate and creates the table.
async fn start(dir: &TempDir) -> System {
    install_certificate(dir, "first");
    let file = |part: &str| dir.path().join(part).display().to_string();
    let host_args =
        vec![format!("--tls-cert={}", file("crt")), format!("--tls-key={}", file("key"))];
    let system = System::start(Plan { hosts: 1, host_args, ..Plan::default() }).await.unwrap();
    // Unencrypted connections remain possible.
    let plain = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&plain, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    system
}

/// Sends bytes that start with an `SSLRequest` and returns the stream once the host agrees.
async fn request_encryption(system: &System, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(system.addresses[0].callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'S');
    stream
}

/// Connects with encryption, trusting only one of the certificates.
async fn connect(system: &System, trusted: &str) -> anyhow::Result<RawCaller> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/tls/{trusted}.crt"));
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(file)?)?;
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let stream = request_encryption(system, &SSL_REQUEST).await;
    let name = ServerName::try_from("entry.test")?;
    let encrypted = TlsConnector::from(Arc::new(config)).connect(name, stream).await?;
    RawCaller::from_stream(Box::new(encrypted)).start("baobab").await
}

/// Runs a statement and returns whether it succeeded.
async fn runs_statement(caller: &mut RawCaller) -> bool {
    caller.send(&Query::new("SELECT id FROM visit".into())).await.unwrap();
    caller.until_ready().await.unwrap().iter().all(|frame| frame.tag != b'E')
}

/// A certificate is replaced while callers are connected. Guards against new connections with the
/// old certificate, against existing connections that end, and against a host that stops using
/// its certificate when the new file cannot be read.
#[tokio::test]
async fn a_replaced_certificate_is_used_by_new_connections_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let system = start(&dir).await;
    let mut old_caller = connect(&system, "first").await.unwrap();
    assert!(runs_statement(&mut old_caller).await);
    assert!(connect(&system, "second").await.is_err());

    install_certificate(&dir, "second");
    system.hosts[0].signal(libc::SIGHUP).unwrap();
    let deadline = std::time::Instant::now() + system::WAIT_TIMEOUT;
    let mut new_caller = loop {
        match connect(&system, "second").await {
            Ok(caller) => break caller,
            Err(error) => assert!(std::time::Instant::now() < deadline, "{error:#}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(runs_statement(&mut new_caller).await && runs_statement(&mut old_caller).await);

    fs::write(dir.path().join("crt"), "no certificate").unwrap();
    system.hosts[0].signal(libc::SIGHUP).unwrap();
    while !system.hosts[0].log().contains("the old certificate stays") {
        assert!(std::time::Instant::now() < deadline, "the unreadable certificate was not logged");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(runs_statement(&mut connect(&system, "second").await.unwrap()).await);
}

/// An attacker between caller and host appends a plaintext message to the caller's `SSLRequest`.
/// Guards against a host that processes it as a message of the caller's encrypted session.
#[tokio::test]
async fn plaintext_behind_an_ssl_request_is_not_processed() {
    let dir = tempfile::tempdir().unwrap();
    let system = start(&dir).await;
    let bytes = [&SSL_REQUEST[..], b"\0\0\0\x08\0\x03\0\0"].concat();
    let mut stream = request_encryption(&system, &bytes).await;
    let mut rest = Vec::new();
    // Closed, by an end or a reset.
    let read = tokio::time::timeout(system::WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok() && rest.is_empty(), "{rest:?}");
}
