//! How a server left the connection that ended a response without a marked end.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use flamingolock_gateway::connection_end::ConnectionEnd;
use flamingolock_gateway::http_client::{CallLimits, Connection, call};
use flamingolock_gateway::payload::Payload;
use http::Request;
use http_body_util::BodyExt;
use tokio::time::sleep;

/// Sizes of request bodies, in bytes. Buffers of both sides hold even the last one unread.
const UPLOADS: [usize; 4] = [700, 20_000, 72_000, 150_000];

/// Requests of each size.
const REQUESTS: usize = 4;

/// Times for which a connection stays half open that are longer than a reply of the server's
/// system takes.
const CLOSE_PAUSES: [Duration; 3] = [
    Duration::from_millis(3),
    Duration::from_millis(20),
    Duration::from_millis(200),
];

/// Time after which a server that closes a connection at once has done so, also beside load.
const CLOSE_TIME: Duration = Duration::from_millis(50);

const TIMEOUT: Duration = Duration::from_secs(1);

/// What a server does before it closes the connection.
#[derive(Clone, Copy, Debug)]
struct Behavior {
    /// It reads the whole request, not only its head.
    reads_body: bool,
    /// Time for which the connection is half open; none if both sides end at once.
    half_open: Option<Duration>,
}

/// Sends a response without a marked end.
fn serve(stream: TcpStream, behavior: Behavior) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    // Small, so that little of the body is read with the head.
    let mut reader = BufReader::with_capacity(16, stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().ok()?;
        }
    }
    if behavior.reads_body {
        reader.read_exact(&mut vec![0; length]).ok()?;
    }
    writer.write_all(b"HTTP/1.1 200 OK\r\n\r\nresponse").ok()?;
    if let Some(pause) = behavior.half_open {
        writer.shutdown(Shutdown::Write).ok()?;
        std::thread::sleep(pause);
    }
    Some(())
}

fn start(behavior: Behavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream, behavior));
        }
    });
    address
}

/// How a response to an upload of this size ended.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    /// The client reported an error.
    Failed,
    Ended(Option<ConnectionEnd>),
}

/// Uploads so many bytes, and looks at the connection this long after the end of the response.
async fn upload(address: SocketAddr, size: usize, pause: Duration) -> Seen {
    let mut connection = Connection::open(address, TIMEOUT)
        .await
        .expect("a connection");
    let request = Request::post("/")
        .header("content-length", size)
        .body(Payload::from(Bytes::from(vec![b'x'; size])))
        .expect("a request");
    let Ok(response) = connection.send(request).await else {
        return Seen::Failed;
    };
    if response.into_body().collect().await.is_err() || !connection.has_written() {
        return Seen::Failed;
    }
    sleep(pause).await;
    Seen::Ended(connection.end().await)
}

/// Uploads of each size to a server; none must be seen in another way than `expected` allows.
async fn check(behavior: Behavior, pause: Duration, expected: fn(&Seen) -> bool) {
    let address = start(behavior);
    for size in UPLOADS {
        for _ in 0..REQUESTS {
            let seen = upload(address, size, pause).await;
            assert!(expected(&seen), "{size} bytes, {behavior:?}: {seen:?}");
        }
    }
}

#[tokio::test]
async fn connection_closed_by_a_server_that_has_read_the_request_is_closed() {
    for half_open in [None, Some(Duration::ZERO)] {
        let behavior = Behavior {
            reads_body: true,
            half_open,
        };
        check(behavior, CLOSE_TIME, |seen| {
            *seen == Seen::Ended(Some(ConnectionEnd::Closed))
        })
        .await;
    }
}

#[tokio::test]
async fn connection_that_ends_as_a_whole_before_the_request_is_read_fails() {
    let behavior = Behavior {
        reads_body: false,
        half_open: None,
    };
    check(behavior, CLOSE_TIME, |seen| *seen == Seen::Failed).await;
}

#[tokio::test]
async fn connection_closed_at_once_before_the_request_is_read_is_reset() {
    let behavior = Behavior {
        reads_body: false,
        half_open: Some(Duration::ZERO),
    };
    check(behavior, CLOSE_TIME, |seen| {
        matches!(seen, Seen::Failed | Seen::Ended(Some(ConnectionEnd::Reset)))
    })
    .await;
}

/// Guards against taking the late reset of an unread request for the reply of a server that had
/// closed the connection, also if the reply itself waits for room in the server's buffer.
#[tokio::test]
async fn connection_closed_later_is_not_closed() {
    for pause in CLOSE_PAUSES {
        let behavior = Behavior {
            reads_body: false,
            half_open: Some(pause),
        };
        check(behavior, Duration::ZERO, |seen| {
            // Beside load the server may have closed the connection before.
            matches!(
                seen,
                Seen::Failed | Seen::Ended(Some(ConnectionEnd::HalfOpen | ConnectionEnd::Reset))
            )
        })
        .await;
    }
}

#[tokio::test]
async fn end_says_nothing_of_a_request_without_a_body() {
    let behavior = Behavior {
        reads_body: true,
        half_open: None,
    };
    let address = start(behavior);
    let seen = upload(address, 0, Duration::ZERO).await;
    assert_eq!(seen, Seen::Ended(None));
}

/// Guards against taking a part of the answer to an order for the whole answer.
#[tokio::test]
async fn call_whose_response_ends_before_its_request_is_read_fails() {
    for half_open in [Duration::ZERO, Duration::from_millis(200)] {
        let address = start(Behavior {
            reads_body: false,
            half_open: Some(half_open),
        });
        let request = Request::post("/")
            .header("content-length", UPLOADS[0])
            .body(Bytes::from(vec![b'x'; UPLOADS[0]]))
            .expect("a request");
        let limits = CallLimits::within(TIMEOUT, 1_000);
        let response = call(&mut None, address, request, limits).await;
        assert!(
            response.is_err(),
            "half open for {half_open:?}: {response:?}"
        );
    }
}
