//! An instance's key and certificate, and the authority that must have signed its peers'.

use crate::Error;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::fs;
use std::path::PathBuf;

/// Paths of an instance's PEM files.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The certificate of the authority.
    pub authority: PathBuf,
    /// The instance's certificate.
    pub certificate: PathBuf,
    /// The instance's private key.
    pub key: PathBuf,
}

/// A loaded key with its certificate and the authority's.
pub struct Identity {
    pub(crate) authority: CertificateDer<'static>,
    pub(crate) certificate: CertificateDer<'static>,
    pub(crate) key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Loads the files.
    ///
    /// # Errors
    /// `Key` with the file that cannot be read or is not PEM of its kind.
    pub fn load(settings: &Settings) -> Result<Self, Error> {
        Self::from_pem(
            &read(&settings.authority)?,
            &read(&settings.certificate)?,
            &read(&settings.key)?,
        )
    }

    /// Parses the PEM texts.
    ///
    /// # Errors
    /// `Key` with the text that is not PEM of its kind.
    pub fn from_pem(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Self, Error> {
        let authority =
            CertificateDer::from_pem_slice(authority).map_err(|e| key_error("the authority", e))?;
        let certificate = CertificateDer::from_pem_slice(certificate)
            .map_err(|e| key_error("the certificate", e))?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|e| key_error("the key", e))?;
        Ok(Self { authority, certificate, key })
    }
}

fn read(path: &PathBuf) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|error| key_error(&path.display().to_string(), error))
}

fn key_error(what: &str, error: impl ToString) -> Error {
    Error::Key { what: what.into(), reason: error.to_string() }
}
