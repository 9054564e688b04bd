//! Minimal HTTP/1.1 client on a socket, for tests that check raw bytes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Read and write timeout of a connection.
const IO_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body, with chunked encoding removed.
    pub body: String,
}

impl HttpResponse {
    /// Parses the body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Formats a request with `connection: close`.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Connects with read and write timeouts.
///
/// # Panics
///
/// Panics if the connection fails.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap_or_else(|error| panic!("{address}: {error}"));
    stream.set_nodelay(true).expect("the option can be set");
    stream
        .set_read_timeout(Some(IO_TIMEOUT))
        .expect("the option can be set");
    stream
        .set_write_timeout(Some(IO_TIMEOUT))
        .expect("the option can be set");
    stream
}

/// Sends `text` and reads until the server closes the connection. Returns `None` if
/// there is no response.
pub fn exchange(address: SocketAddr, text: &str) -> Option<HttpResponse> {
    let mut stream = connect(address);
    // A server may respond and close before it has read the complete request.
    let _ = stream.write_all(text.as_bytes());
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

/// Sends a request and reads its response.
///
/// # Panics
///
/// Panics if there is no response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> HttpResponse {
    exchange(address, &request(method, path, headers, body))
        .unwrap_or_else(|| panic!("no response to {method} {path}"))
}

/// Parses a response from all received bytes.
pub fn parse(bytes: &[u8]) -> Option<HttpResponse> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let chunked = headers
        .get("transfer-encoding")
        .is_some_and(|value| value == "chunked");
    let body = if chunked {
        decode_chunks(rest)
    } else {
        rest.to_owned()
    };
    Some(HttpResponse {
        status,
        headers,
        body,
    })
}

fn decode_chunks(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or_default();
        if size == 0 || after.len() < size {
            break;
        }
        body.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    body
}

/// Reads server-sent events as they arrive.
pub struct EventReader {
    reader: BufReader<TcpStream>,
}

impl EventReader {
    /// Sends `text` on a new connection.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be sent.
    pub fn open(address: SocketAddr, text: &str) -> Self {
        let mut stream = connect(address);
        stream
            .write_all(text.as_bytes())
            .expect("the request is sent");
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Returns the data of the next event, or `None` at the end. Servers write whole
    /// events in each chunk, so the lines between events can be skipped.
    ///
    /// # Panics
    ///
    /// Panics if nothing arrives before the read timeout.
    pub fn next_data(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.reader.read_line(&mut line).expect("a line arrives");
            if read == 0 {
                return None;
            }
            if let Some(data) = line.strip_prefix("data:") {
                return Some(data.trim().to_owned());
            }
        }
    }
}
