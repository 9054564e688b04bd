//! Addresses for the processes of a test.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use flamingolock_testutils::fleet::free_address;

/// Addresses that the test binds.
const ADDRESSES: usize = 3_000;

#[test]
fn address_can_be_bound_while_other_threads_start_processes() {
    let done = AtomicBool::new(false);
    let start_processes = || {
        while !done.load(Ordering::Relaxed) {
            Command::new("true").status().expect("true can be run");
        }
    };
    let failed = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(start_processes);
        }
        let cannot_bind = |_: &usize| TcpListener::bind(free_address()).is_err();
        let failed = (0..ADDRESSES).filter(cannot_bind).count();
        done.store(true, Ordering::Relaxed);
        failed
    });
    assert_eq!(failed, 0, "of {ADDRESSES} addresses");
}
