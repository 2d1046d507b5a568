//! A small certificate authority for the entry instances of one workspace.

use crate::Error;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// The server name in every instance's certificate.  Peers are addressed by IP address and
/// trusted by the authority's signature, so they share one name.
pub const SERVER_NAME: &str = "entry.celerythread";

/// A certificate and its private key as PEM texts.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Creates a new authority with a self-signed certificate.
///
/// # Errors
/// `Key` if the key or certificate cannot be generated.
pub fn create(workspace: &str) -> Result<Pair, Error> {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, format!("{workspace} entry authority"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().map_err(key_error)?;
    let certificate = params.self_signed(&key).map_err(key_error)?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Creates a key and certificate for an instance, signed by the authority.
///
/// # Errors
/// `Key` if the authority's PEM texts cannot be used.
pub fn issue(authority: &Pair, instance: &str) -> Result<Pair, Error> {
    let authority_key = KeyPair::from_pem(&authority.key).map_err(key_error)?;
    let issuer =
        Issuer::from_ca_cert_pem(&authority.certificate, authority_key).map_err(key_error)?;
    let mut params = CertificateParams::new(vec![SERVER_NAME.into()]).map_err(key_error)?;
    params.distinguished_name.push(DnType::CommonName, instance);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(key_error)?;
    let certificate = params.signed_by(&key, &issuer).map_err(key_error)?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}

fn key_error(error: rcgen::Error) -> Error {
    Error::Key { what: "the authority".into(), reason: error.to_string() }
}
