//! What the HTTP client says of requests whose server sends bytes before it has them.

use std::time::Duration;

use bytes::Bytes;
use flamingolock_gateway::http_client::{CallError, Connection};
use flamingolock_gateway::payload::Payload;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

#[tokio::test]
async fn request_is_not_written_once_the_server_has_sent_bytes_that_are_no_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = b"HTTP/1.1 200 OK\r\npadding: no response\r\n";
        stream.write_all(head).await.expect("the client reads");
        let mut received = Vec::new();
        // A reset ends the connection as well.
        let _ = stream.read_to_end(&mut received).await;
        received
    });
    let limit = Duration::from_secs(1);
    let mut connection = Connection::open(address, limit)
        .await
        .expect("a connection");
    sleep(Duration::from_millis(100)).await;
    let sent = connection
        .send(Request::new(Payload::from(Bytes::new())))
        .await;
    assert!(matches!(sent, Err(CallError::NotSent)), "{sent:?}");
    drop(connection);
    assert!(server.await.expect("the server ends").is_empty());
}
