//! As much of HTTP/1.1 as the stand-ins speak.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response, as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// True if the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Path without its query.
    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or("/");
        target.split('?').next().unwrap_or("/")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if text.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
}

/// Reads the next piece of a chunked body; none at its end or if it breaks off, which `is_whole`
/// tells.
pub fn read_chunk(reader: &mut BufReader<TcpStream>, is_whole: &mut bool) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    if size == 0 {
        *is_whole = true;
        return None;
    }
    chunk.truncate(size);
    Some(chunk)
}

/// Reads the body behind a head.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) {
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        let mut is_whole = false;
        while let Some(chunk) = read_chunk(reader, &mut is_whole) {
            message.body.extend_from_slice(&chunk);
        }
        message.is_whole = is_whole;
        return;
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    message.is_whole = reader.read_exact(&mut message.body).is_ok();
}

/// Writes a response with a length. Returns false if the connection is gone.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
