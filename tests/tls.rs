//! Encrypted connections of callers, and certificates that change.

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

/// Asks for encryption.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// Puts one of the certificates of the tests in place.
fn put(dir: &TempDir, name: &str) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tls");
    for part in ["crt", "key"] {
        fs::copy(from.join(format!("{name}.{part}")), dir.path().join(part)).unwrap();
    }
}

async fn start(dir: &TempDir) -> System {
    put(dir, "first");
    let file = |part: &str| dir.path().join(part).display().to_string();
    let host_args =
        vec![format!("--tls-cert={}", file("crt")), format!("--tls-key={}", file("key"))];
    let system = System::start(Plan { hosts: 1, host_args, ..Plan::default() }).await.unwrap();
    // Without encryption, which stays possible.
    let plain = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&plain, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    system
}

async fn asked(system: &System, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(system.addresses[0].callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'S');
    stream
}

/// Connects with encryption and trusts one of the certificates only.
async fn connect(system: &System, trusted: &str) -> anyhow::Result<RawCaller> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/tls/{trusted}.crt"));
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(file)?)?;
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let stream = asked(system, &SSL_REQUEST).await;
    let name = ServerName::try_from("entry.test")?;
    let encrypted = TlsConnector::from(Arc::new(config)).connect(name, stream).await?;
    RawCaller::from_stream(Box::new(encrypted)).start("baobab").await
}

async fn serves(caller: &mut RawCaller) -> bool {
    caller.send(&Query::new("SELECT id FROM visit".into())).await.unwrap();
    caller.until_ready().await.unwrap().iter().all(|frame| frame.tag != b'E')
}

/// A certificate is replaced while callers are connected: new connections get
/// the new one, and those that are there go on. With a file that cannot be read
/// the host keeps what it has.
#[tokio::test]
async fn a_certificate_is_replaced_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let system = start(&dir).await;
    let mut early = connect(&system, "first").await.unwrap();
    assert!(serves(&mut early).await);
    assert!(connect(&system, "second").await.is_err());

    put(&dir, "second");
    system.hosts[0].signal(libc::SIGHUP).unwrap();
    let deadline = std::time::Instant::now() + system::WAIT_TIMEOUT;
    let mut late = loop {
        match connect(&system, "second").await {
            Ok(caller) => break caller,
            Err(error) => assert!(std::time::Instant::now() < deadline, "{error:#}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(serves(&mut late).await && serves(&mut early).await);

    fs::write(dir.path().join("crt"), "no certificate").unwrap();
    system.hosts[0].signal(libc::SIGHUP).unwrap();
    while !system.hosts[0].log().contains("the old certificate stays") {
        assert!(std::time::Instant::now() < deadline, "nothing was logged");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(serves(&mut connect(&system, "second").await.unwrap()).await);
}

/// Somebody between a caller and the host puts a message behind the caller's
/// wish for encryption. Taken for the caller's own, it would run encrypted.
#[tokio::test]
async fn what_comes_before_the_encryption_is_not_taken() {
    let dir = tempfile::tempdir().unwrap();
    let system = start(&dir).await;
    let bytes = [&SSL_REQUEST[..], b"\0\0\0\x08\0\x03\0\0"].concat();
    let mut stream = asked(&system, &bytes).await;
    let mut rest = Vec::new();
    // Closed, by an end or a reset.
    let read = tokio::time::timeout(system::WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok() && rest.is_empty(), "{rest:?}");
}
