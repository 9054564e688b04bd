//! Endpoints that send a second copy of a response on a connection that is in use again.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use entry_site::{Site, call, wait_for};

/// Time after a response at which its copy follows.
const COPY_DELAYS_MS: [u64; 4] = [0, 2, 10, 40];

/// Reads the head of a request and returns its id; none at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut id = None;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("request-id:") {
            id = Some(value.trim().to_owned());
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    std::io::Read::read_exact(reader, &mut body).ok()?;
    Some(id.unwrap_or_default())
}

fn serve_connection(stream: TcpStream, copy_delay: Duration) {
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(id) = read_request(&mut reader) {
        let body = format!("done {id}");
        let response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
        let mut copies = writer.try_clone().expect("another handle");
        std::thread::spawn(move || {
            std::thread::sleep(copy_delay);
            // The node may have closed the connection.
            let _ = copies.write_all(response.as_bytes());
        });
    }
}

/// Starts an application server that sends each response twice.
fn start_repeating(copy_delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve_connection(stream, copy_delay));
        }
    });
    address
}

#[test]
fn callers_never_get_the_copy_of_another_response() {
    for delay_ms in COPY_DELAYS_MS {
        let site = Site::start(Duration::from_millis(5));
        let node = site.node("node-1");
        let address = start_repeating(Duration::from_millis(delay_ms));
        let entry = serde_json::json!({
            "Service": "desk", "Address": address.to_string(), "Zone": "zone-a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1000,
        });
        site.store
            .put("keyed.servers", "servers/repeating", &entry.to_string());
        for server in &site.app_servers {
            site.put_entry(server, "desk", "draining");
        }
        wait_for("the repeating server", || {
            let log = node.log();
            log.contains("repeating") && log.matches("endpoint is leaving").count() == 2
        });
        let mut served = 0;
        for number in 0..60 {
            let id = format!("d{delay_ms}-{number}");
            let path = if number % 2 == 0 {
                "/look/a"
            } else {
                "/book/a"
            };
            let answer = call(&node, path, &id, &[]);
            if answer.status == 200 {
                assert_eq!(answer.body, format!("done {id}"), "{delay_ms} ms");
                served += 1;
            }
        }
        assert!(served > 0, "{delay_ms} ms: none was served\n{}", node.log());
    }
}
