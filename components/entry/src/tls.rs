//! Encryption towards callers.

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

/// The certificate that a host shows to its callers.
pub struct Tls {
    certificate: PathBuf,
    key: PathBuf,
    config: RefCell<Arc<ServerConfig>>,
}

impl Tls {
    /// Reads a certificate chain and its key, both in PEM.
    pub fn read(certificate: &Path, key: &Path) -> anyhow::Result<Self> {
        let config = RefCell::new(read(certificate, key)?);
        Ok(Self { certificate: certificate.into(), key: key.into(), config })
    }

    /// Reads the files again, for connections from now on; on an error the old
    /// certificate stays.
    pub fn reload(&self) -> anyhow::Result<()> {
        *self.config.borrow_mut() = read(&self.certificate, &self.key)?;
        Ok(())
    }

    /// Encrypts a connection whose caller has asked for it and got a yes.
    ///
    /// Bytes that came before the encryption are refused: whoever stands between
    /// could have put them in front of what the caller says.
    pub async fn accept(
        &self,
        reader: Reader,
        writer: Writer,
        max: usize,
    ) -> anyhow::Result<(Reader, Writer)> {
        anyhow::ensure!(reader.is_empty(), "bytes came before the encryption");
        let plain = reader.into_inner().unsplit(writer.into_inner());
        let acceptor = TlsAcceptor::from(self.config.borrow().clone());
        let encrypted = acceptor.accept(plain).await.context("encrypting a connection")?;
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
    Ok(Arc::new(config.context("the certificate and its key")?))
}
