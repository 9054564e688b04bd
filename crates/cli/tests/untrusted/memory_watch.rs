//! Watches the memory of a node together with the bytes that it has received and not yet
//! read, which count toward the memory that its settings state.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::super::entry_site::Node;

/// Time between two samples.
const SAMPLE_PAUSE: Duration = Duration::from_millis(10);

/// State of a listening socket in `/proc/net/tcp`. Its receive queue counts connections.
const LISTENING: &str = "0A";

/// A thread that samples the memory of a process until it is dropped.
pub struct MemoryWatch {
    peak_kb: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    pub fn start(node: &Node) -> Self {
        let peak_kb = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (peak, stop) = (peak_kb.clone(), stopped.clone());
        let process = PathBuf::from(format!("/proc/{}", node.id()));
        let ports = [
            node.front,
            node.ready,
            node.directory,
            node.metrics,
            node.control,
        ];
        let ports = ports.map(|address| format!(":{:04X}", address.port()));
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                if let Some(resident) = resident_kb(&process) {
                    let held = resident + unread_bytes(&process, &ports) / 1024;
                    peak.fetch_max(held, Ordering::Relaxed);
                }
                std::thread::sleep(SAMPLE_PAUSE);
            }
        });
        Self {
            peak_kb,
            stopped,
            thread: Some(thread),
        }
    }

    /// Highest sum of resident memory and unread bytes so far, in kB.
    pub fn peak_kb(&self) -> u64 {
        self.peak_kb.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

fn resident_kb(process: &std::path::Path) -> Option<u64> {
    let text = std::fs::read_to_string(process.join("status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Sum of the receive queues of the process's sockets, in bytes: those that it has open, and
/// those that wait at its ports to be accepted.
fn unread_bytes(process: &std::path::Path, ports: &[String]) -> u64 {
    let open = socket_inodes(process);
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else {
            return None;
        };
        let is_own = ports.iter().any(|port| local.ends_with(port)) || open.contains(inode);
        if !is_own || state == LISTENING {
            return None;
        }
        let (_, unread) = queues.split_once(':')?;
        u64::from_str_radix(unread, 16).ok()
    });
    queues.sum()
}

/// Inodes of the sockets that the process has open.
fn socket_inodes(process: &std::path::Path) -> BTreeSet<String> {
    let Ok(entries) = std::fs::read_dir(process.join("fd")) else {
        return BTreeSet::new();
    };
    let links = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let inodes = links.filter_map(|link| {
        let inode = link.to_str()?.strip_prefix("socket:[")?;
        Some(inode.strip_suffix(']')?.to_owned())
    });
    inodes.collect()
}
