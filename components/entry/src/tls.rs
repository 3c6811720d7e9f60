//! TLS for callers' connections.

use std::{
    cell::RefCell,
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::Context;
use bergamottrack_pg::stream;
use tokio_rustls::{
    TlsAcceptor,
    rustls::{
        ServerConfig,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    },
};

use crate::session::{Reader, Writer};

/// TLS configuration of a host, with the certificate for its callers.
pub struct Tls {
    certificate: PathBuf,
    key: PathBuf,
    config: RefCell<Arc<ServerConfig>>,
}

impl Tls {
    /// Reads a certificate chain and its private key, both in PEM.
    pub fn read(certificate: &Path, key: &Path) -> anyhow::Result<Self> {
        let config = RefCell::new(read(certificate, key)?);
        Ok(Self { certificate: certificate.into(), key: key.into(), config })
    }

    /// Reads the files again for new connections. On an error, the old certificate remains in use.
    pub fn reload(&self) -> anyhow::Result<()> {
        *self.config.borrow_mut() = read(&self.certificate, &self.key)?;
        Ok(())
    }

    /// Performs the TLS handshake with a caller whose TLS request was accepted.
    ///
    /// Plaintext bytes received before the handshake are refused: a man in the middle could have
    /// inserted them ahead of the caller's messages.
    pub async fn accept(
        &self,
        reader: Reader,
        writer: Writer,
        max: usize,
    ) -> anyhow::Result<(Reader, Writer)> {
        anyhow::ensure!(reader.is_empty(), "plaintext bytes received before the TLS handshake");
        let plain = reader.into_inner().unsplit(writer.into_inner());
        let acceptor = TlsAcceptor::from(self.config.borrow().clone());
        let encrypted = acceptor.accept(plain).await.context("TLS handshake with a caller")?;
        Ok(stream::split(Box::new(encrypted), max))
    }
}

fn read(certificate: &Path, key: &Path) -> anyhow::Result<Arc<ServerConfig>> {
    let chain = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("reading the certificate {}", certificate.display()))?;
    let key = PrivateKeyDer::from_pem_file(key)
        .with_context(|| format!("reading the key {}", key.display()))?;
    let config = ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key);
    Ok(Arc::new(config.context("loading the certificate and its key")?))
}
