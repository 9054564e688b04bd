//! Endpoints that are written byte by byte, for responses that no HTTP library sends.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A request as an endpoint reads it.
pub struct Request {
    pub path: String,
    pub id: String,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Stated length of the body.
    length: usize,
}

impl Request {
    /// True if the node itself asks for something.
    pub fn is_own_call(&self) -> bool {
        self.path.starts_with("/kv-") || self.path == "/report"
    }

    /// Reads the body; false if the connection ends before.
    pub fn read_body(&self, reader: &mut BufReader<TcpStream>) -> bool {
        reader.read_exact(&mut vec![0; self.length]).is_ok()
    }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let request = read_head(reader)?;
    request.read_body(reader).then_some(request)
}

/// Reads the head of a request; none at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut id = None;
    let mut last_event = None;
    let mut length = 0;
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let path = first.split(' ').nth(1)?.to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        match (name, value.trim()) {
            ("request-id", value) => id = Some(value.to_owned()),
            ("last-event-id", value) => last_event = value.parse().ok(),
            ("content-length", value) => length = value.parse().ok()?,
            _ => {}
        }
    }
    Some(Request {
        path,
        id: id.unwrap_or_default(),
        last_event,
        length,
    })
}

/// Serves each connection to a new port on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}
