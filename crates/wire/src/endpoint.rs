//! QUIC endpoint that accepts links from peers and dials them.

use crate::authority::SERVER_NAME;
use crate::channel::Channel;
use crate::error;
use crate::{Error, Identity};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Protocol name (ALPN) in the TLS handshake.
const ALPN: &[u8] = b"celerythread/1";

/// Timeouts and limits of links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time without a packet after which a link is considered lost.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets on an idle link.
    pub keep_alive_interval: Duration,
    /// Maximum number of exchanges that a peer may have open at once.
    pub max_exchanges: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(4),
            keep_alive_interval: Duration::from_millis(1500),
            max_exchanges: 4096,
        }
    }
}

/// A socket that accepts links from peers and dials them.
pub struct Endpoint {
    inner: quinn::Endpoint,
    client: ClientConfig,
}

/// A connection to a peer.
#[derive(Clone)]
pub struct Link {
    connection: quinn::Connection,
    /// The socket of a dialled link; dropping it closes the socket.
    _socket: Option<quinn::Endpoint>,
}

impl Endpoint {
    /// Listens at `address`.
    ///
    /// # Errors
    /// `Key` if the identity cannot be used, `Unreachable` if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        identity: &Identity,
        settings: &Settings,
    ) -> Result<Self, Error> {
        let transport = Arc::new(transport(settings));
        let server = server_config(identity, transport.clone())?;
        let client = client_config(identity, transport)?;
        let inner = quinn::Endpoint::server(server, address).map_err(unreachable)?;
        Ok(Self { inner, client })
    }

    /// The address it listens at.
    ///
    /// # Errors
    /// `Unreachable` if the socket is closed.
    pub fn local_address(&self) -> Result<SocketAddr, Error> {
        self.inner.local_addr().map_err(unreachable)
    }

    /// Dials a peer from a new socket.
    ///
    /// A middlebox between two instances can drop a flow permanently while new flows work.  A new
    /// socket is a new flow, so dialling again recovers from that.
    ///
    /// # Errors
    /// `Unreachable` if the peer does not answer or its certificate is not signed by the
    /// authority.
    pub async fn dial(&self, address: SocketAddr) -> Result<Link, Error> {
        let any: IpAddr = match address {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let socket = quinn::Endpoint::client(SocketAddr::new(any, 0)).map_err(unreachable)?;
        let connecting =
            socket.connect_with(self.client.clone(), address, SERVER_NAME).map_err(unreachable)?;
        let connection = connecting.await.map_err(unreachable)?;
        Ok(Link { connection, _socket: Some(socket) })
    }

    /// Accepts the next link of an authenticated peer; none once the endpoint is closed.
    pub async fn accept(&self) -> Option<Result<Link, Error>> {
        let incoming = self.inner.accept().await?;
        Some(match incoming.await {
            Ok(connection) => Ok(Link { connection, _socket: None }),
            Err(error) => Err(unreachable(error)),
        })
    }

    /// Closes all links.
    pub fn close(&self) {
        self.inner.close(VarInt::from_u32(0), b"stopping");
    }
}

impl Link {
    /// Opens an exchange.
    ///
    /// # Errors
    /// `Unreachable` if the link is lost.
    pub async fn open(&self) -> Result<Channel, Error> {
        self.connection.open_bi().await.map(Channel::new).map_err(unreachable)
    }

    /// Accepts the next exchange that the peer opens.
    ///
    /// # Errors
    /// `Unreachable` if the link is lost.
    pub async fn accept(&self) -> Result<Channel, Error> {
        self.connection.accept_bi().await.map(Channel::new).map_err(unreachable)
    }

    /// Whether the link is closed or lost.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Bytes sent and received over UDP so far.
    pub fn traffic(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Closes the link.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"given up");
    }
}

fn transport(settings: &Settings) -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = VarInt::from_u32(settings.idle_timeout.as_millis() as u32);
    transport.max_idle_timeout(Some(idle.into()));
    transport.keep_alive_interval(Some(settings.keep_alive_interval));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(settings.max_exchanges));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}

fn roots(identity: &Identity) -> Result<Arc<RootCertStore>, Error> {
    let mut roots = RootCertStore::empty();
    roots.add(identity.authority.clone()).map_err(|e| key_error("the authority", e))?;
    Ok(Arc::new(roots))
}

fn server_config(
    identity: &Identity,
    transport: Arc<TransportConfig>,
) -> Result<ServerConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(identity)?, provider.clone())
        .build()
        .map_err(|e| key_error("the authority", e))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| key_error("TLS", e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![identity.certificate.clone()], identity.key.clone_key())
        .map_err(|e| key_error("the certificate", e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| key_error("TLS", e))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport);
    Ok(config)
}

fn client_config(
    identity: &Identity,
    transport: Arc<TransportConfig>,
) -> Result<ClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| key_error("TLS", e))?
        .with_root_certificates(roots(identity)?)
        .with_client_auth_cert(vec![identity.certificate.clone()], identity.key.clone_key())
        .map_err(|e| key_error("the certificate", e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| key_error("TLS", e))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport);
    Ok(config)
}

fn key_error(what: &str, error: impl ToString) -> Error {
    Error::Key { what: what.into(), reason: error.to_string() }
}

fn unreachable(error: impl ToString) -> Error {
    error::UnreachableSnafu { reason: error.to_string() }.build()
}
