//! Stand-in of one of the platform's endpoints as a process of its own, for tests that kill,
//! stop and start endpoints. It is no part of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use flamingolock_platform_standin::{Engine, EngineMode, Life};

/// Serves requests as one endpoint of the platform.
#[derive(Debug, Parser)]
struct Arguments {
    /// Id of the endpoint.
    #[arg(long)]
    id: String,
    /// Address to listen on; a free port if the port is 0.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Software version, which each event states.
    #[arg(long, default_value = "v1")]
    build: String,
    /// Start time that it reports, in Unix milliseconds.
    #[arg(long, default_value_t = 1000)]
    born: u64,
    /// Number of events of a response; 0 for an application server.
    #[arg(long, default_value_t = 10)]
    events: u64,
    /// Time before each event, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pause_ms: u64,
    /// How the end of a response is marked.
    #[arg(long, value_enum, default_value_t = Framing::Chunked)]
    framing: Framing,
    /// Time after which it exits by itself, in seconds.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
}

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Framing {
    /// By its last chunk.
    Chunked,
    /// By its length.
    Length,
    /// By the end of the connection.
    Close,
}

fn main() {
    let arguments = Arguments::parse();
    let pause = Duration::from_millis(arguments.pause_ms);
    // All of it holds before the process listens: what it reports between would be that of
    // another process.
    let life = Life {
        build: arguments.build.leak(),
        start_time_ms: arguments.born,
        mode: match arguments.framing {
            Framing::Chunked => EngineMode::Healthy,
            Framing::Length => EngineMode::Sized,
            Framing::Close => EngineMode::Unframed,
        },
    };
    let engine = Engine::start_at(
        arguments.address,
        &arguments.id,
        arguments.events,
        pause,
        life,
    );
    println!("listening on {}", engine.address());
    std::thread::sleep(Duration::from_secs(arguments.seconds));
}
