//! Child processes that are killed when the test ends.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A running program. Dropping it kills the process that it started.
pub struct Process {
    child: Child,
    /// Address that the program printed.
    pub address: SocketAddr,
}

impl Process {
    /// Starts `program` and waits until it prints `listening on IP:PORT`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot start or prints something else.
    pub fn start<S: AsRef<str>>(program: &Path, arguments: &[S]) -> Self {
        let mut child = Command::new(program)
            .args(arguments.iter().map(AsRef::as_ref))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its address");
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("{} printed {line:?}", program.display()));
        Self { child, address }
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak resident memory of the process, in KiB.
    ///
    /// # Panics
    ///
    /// Panics if the value cannot be read.
    pub fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        text.lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.split_whitespace().next())
            .and_then(|number| number.parse().ok())
            .expect("the system counts memory")
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("kill can be run");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit by itself.
    ///
    /// # Panics
    ///
    /// Panics if it is still running after `limit`.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(started.elapsed() < limit, "still running after {limit:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
