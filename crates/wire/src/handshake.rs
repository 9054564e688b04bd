//! Mutual proof of the fleet key at the start of a connection.
//!
//! Both sides send a hello with a random nonce, then an HMAC over both hellos as
//! proof that they hold the fleet key. The acceptor sends its proof first, so a dialer
//! never sends a proof to an unauthenticated peer. The HMAC covers the prover's role,
//! so a proof cannot be reflected to its sender, and both nonces, so a recorded
//! handshake cannot be replayed. Frames after the handshake are not authenticated
//! individually.

use std::fmt;
use std::io;

use flamingolock_core::ids::{Incarnation, InstanceId};
use hmac::{Hmac, Mac};
use prost::{Enumeration, Message, Oneof};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the protocol between nodes. Both sides must use the same version.
pub const PROTOCOL_VERSION: u32 = 1;

/// Minimum length of a fleet key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 32;

/// Maximum size of a handshake message in bytes. The limit is small because messages
/// are read from peers that are not authenticated yet.
const MAX_HANDSHAKE_BYTES: usize = 1024;

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed or was closed.
    #[error("connection failed during the handshake")]
    Io(#[from] io::Error),
    /// The peer sent a message that exceeds the size limit.
    #[error("handshake message of {0} bytes exceeds {MAX_HANDSHAKE_BYTES}")]
    TooLarge(usize),
    /// The peer sent bytes that do not decode as a handshake message.
    #[error("handshake message is malformed")]
    Malformed(#[from] prost::DecodeError),
    /// The peer sent an unexpected or empty message.
    #[error("unexpected handshake message")]
    OutOfOrder,
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {theirs}, this node uses {PROTOCOL_VERSION}")]
    Version {
        /// The peer's version.
        theirs: u32,
    },
    /// The peer's nonce has the wrong length.
    #[error("nonce has {0} bytes instead of {NONCE_BYTES}")]
    Nonce(usize),
    /// The peer's hello has an empty name.
    #[error("peer sent an empty name")]
    Unnamed,
    /// The peer's nonce equals this node's own.
    #[error("peer reflected this node's nonce")]
    Reflected,
    /// The peer's proof does not match: its fleet key differs, or it replays a
    /// recorded handshake.
    #[error("peer sent an invalid proof of the fleet key")]
    WrongKey,
    /// The peer refused this node.
    #[error("peer refused the handshake: {0}")]
    Refused(Refusal),
}

/// Why a node refuses a handshake, as sent to its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// A reason that the receiver does not know.
    Unspecified = 0,
    /// The protocol versions differ.
    Version = 1,
    /// The proof does not match.
    WrongKey = 2,
    /// The hello is invalid.
    BadHello = 3,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Unspecified => "unspecified reason",
            Refusal::Version => "protocol versions differ",
            Refusal::WrongKey => "fleet keys differ",
            Refusal::BadHello => "hello is invalid",
        })
    }
}

/// Secret that all nodes of a fleet share.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

/// The fleet key is shorter than [`MIN_KEY_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("fleet key has {0} bytes, at least {MIN_KEY_BYTES} are needed")]
pub struct KeyTooShort(pub usize);

impl FleetKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is shorter than [`MIN_KEY_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyTooShort(bytes.len()));
        }
        Ok(Self(bytes.to_vec()))
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Which side of the connection this node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// This node opened the connection.
    Dialer,
    /// This node accepted the connection.
    Acceptor,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Role::Dialer => b"flamingolock dialer",
            Role::Acceptor => b"flamingolock acceptor",
        }
    }

    fn other(self) -> Self {
        match self {
            Role::Dialer => Role::Acceptor,
            Role::Acceptor => Role::Dialer,
        }
    }
}

/// Identity that this node presents to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name in the instance list.
    pub name: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Identity that the peer presented. The handshake proves only that the peer holds the
/// fleet key, not its name: a dialer has to compare the name with the one it expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name in the instance list.
    pub name: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

#[derive(Clone, PartialEq, Message)]
struct HandshakeFrame {
    #[prost(oneof = "HandshakeMessage", tags = "1, 2, 3, 4")]
    message: Option<HandshakeMessage>,
}

#[derive(Clone, PartialEq, Oneof)]
enum HandshakeMessage {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(bytes = "vec", tag = "2")]
    Proof(Vec<u8>),
    #[prost(bool, tag = "3")]
    Accepted(bool),
    #[prost(enumeration = "Refusal", tag = "4")]
    Refused(i32),
}

#[derive(Clone, PartialEq, Message)]
struct Hello {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(bytes = "vec", tag = "4")]
    nonce: Vec<u8>,
}

/// Performs the handshake on a new connection. Reads no bytes beyond the handshake, so
/// the stream can be framed afterwards. Has no timeout; the caller sets one.
///
/// # Errors
///
/// Fails if the connection fails or either side refuses the other.
pub async fn handshake<S>(
    stream: &mut S,
    role: Role,
    identity: &Identity,
    key: &FleetKey,
) -> Result<Peer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let result = exchange_messages(stream, role, identity, key).await;
    if let Err(error) = &result
        && let Some(refusal) = refusal(error)
    {
        // The peer may have disconnected; the error that is returned is the cause.
        let _ = send(stream, HandshakeMessage::Refused(refusal as i32)).await;
    }
    result
}

async fn exchange_messages<S>(
    stream: &mut S,
    role: Role,
    identity: &Identity,
    key: &FleetKey,
) -> Result<Peer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = Hello {
        version: PROTOCOL_VERSION,
        name: identity.name.to_string(),
        incarnation: identity.incarnation.0,
        nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
    };
    send(stream, HandshakeMessage::Hello(ours.clone())).await?;
    let HandshakeMessage::Hello(theirs) = receive(stream).await? else {
        return Err(HandshakeError::OutOfOrder);
    };
    check_hello(&ours, &theirs)?;
    let transcript = Transcript::new(role, &ours, &theirs);
    match role {
        Role::Acceptor => {
            send(stream, HandshakeMessage::Proof(transcript.proof(key, role))).await?;
            check_proof(stream, &transcript, key, role.other()).await?;
            send(stream, HandshakeMessage::Accepted(true)).await?;
        }
        Role::Dialer => {
            check_proof(stream, &transcript, key, role.other()).await?;
            send(stream, HandshakeMessage::Proof(transcript.proof(key, role))).await?;
            match receive(stream).await? {
                HandshakeMessage::Accepted(true) => {}
                _ => return Err(HandshakeError::OutOfOrder),
            }
        }
    }
    Ok(Peer {
        name: theirs.name.into(),
        incarnation: Incarnation(theirs.incarnation),
    })
}

fn check_hello(ours: &Hello, theirs: &Hello) -> Result<(), HandshakeError> {
    if theirs.version != PROTOCOL_VERSION {
        return Err(HandshakeError::Version {
            theirs: theirs.version,
        });
    }
    if theirs.nonce.len() != NONCE_BYTES {
        return Err(HandshakeError::Nonce(theirs.nonce.len()));
    }
    if theirs.name.is_empty() {
        return Err(HandshakeError::Unnamed);
    }
    if theirs.nonce == ours.nonce {
        return Err(HandshakeError::Reflected);
    }
    Ok(())
}

async fn check_proof<S>(
    stream: &mut S,
    transcript: &Transcript<'_>,
    key: &FleetKey,
    prover: Role,
) -> Result<(), HandshakeError>
where
    S: AsyncRead + Unpin,
{
    let HandshakeMessage::Proof(proof) = receive(stream).await? else {
        return Err(HandshakeError::OutOfOrder);
    };
    let expected = transcript.proof(key, prover);
    if bool::from(expected.ct_eq(&proof)) {
        Ok(())
    } else {
        Err(HandshakeError::WrongKey)
    }
}

/// Both hellos, in the same order on either side.
struct Transcript<'a> {
    dialer: &'a Hello,
    acceptor: &'a Hello,
}

impl<'a> Transcript<'a> {
    fn new(role: Role, ours: &'a Hello, theirs: &'a Hello) -> Self {
        let (dialer, acceptor) = match role {
            Role::Dialer => (ours, theirs),
            Role::Acceptor => (theirs, ours),
        };
        Self { dialer, acceptor }
    }

    fn proof(&self, key: &FleetKey, prover: Role) -> Vec<u8> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes keys of any length");
        mac.update(prover.label());
        for hello in [self.dialer, self.acceptor] {
            mac.update(&hello.version.to_be_bytes());
            // The length prefix separates the name from the following fields.
            mac.update(&(hello.name.len() as u64).to_be_bytes());
            mac.update(hello.name.as_bytes());
            mac.update(&hello.incarnation.to_be_bytes());
            mac.update(&hello.nonce);
        }
        mac.finalize().into_bytes().to_vec()
    }
}

/// Returns the refusal to send for an error; none if the connection failed or the peer
/// has refused already.
fn refusal(error: &HandshakeError) -> Option<Refusal> {
    match error {
        HandshakeError::Io(_) | HandshakeError::Refused(_) => None,
        HandshakeError::Version { .. } => Some(Refusal::Version),
        HandshakeError::WrongKey => Some(Refusal::WrongKey),
        _ => Some(Refusal::BadHello),
    }
}

async fn send<S>(stream: &mut S, message: HandshakeMessage) -> Result<(), HandshakeError>
where
    S: AsyncWrite + Unpin,
{
    let body = HandshakeFrame {
        message: Some(message),
    }
    .encode_to_vec();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(())
}

async fn receive<S>(stream: &mut S) -> Result<HandshakeMessage, HandshakeError>
where
    S: AsyncRead + Unpin,
{
    let length = stream.read_u32().await? as usize;
    if length > MAX_HANDSHAKE_BYTES {
        return Err(HandshakeError::TooLarge(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    match HandshakeFrame::decode(&body[..])?.message {
        None => Err(HandshakeError::OutOfOrder),
        Some(HandshakeMessage::Refused(reason)) => {
            let reason = Refusal::try_from(reason).unwrap_or(Refusal::Unspecified);
            Err(HandshakeError::Refused(reason))
        }
        Some(message) => Ok(message),
    }
}
