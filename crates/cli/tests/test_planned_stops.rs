//! Nodes are stopped as planned while callers send requests.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use entry_site::{Answer, Site, call, draft};

/// Callers that send one request after the other.
const CALLERS: usize = 12;

/// A request that an endpoint has run was answered: the node took it, so its stop is no
/// reason to cut it off.
#[test]
fn requests_that_were_accepted_just_before_a_stop_are_answered() {
    let site = Site::start(Duration::from_millis(20));
    let mut node = site.node("node-1");
    let stopped = AtomicBool::new(false);
    let answers: Vec<(String, Answer)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (node, stopped) = (&node, &stopped);
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    for number in 0.. {
                        let id = format!("c{caller}-{number}");
                        let answer = match caller % 3 {
                            0 => call(node, "/look/a", &id, &[]),
                            1 => call(node, "/book/a", &id, &[]),
                            _ => draft(node, caller, &id, &[]),
                        };
                        let refused = answer.status == 0;
                        answers.push((id, answer));
                        if refused && stopped.load(Ordering::Relaxed) {
                            return answers;
                        }
                    }
                    answers
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(700));
        node.signal("TERM");
        stopped.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller ends"))
            .collect()
    });
    assert!(node.wait_exit());
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in site.engines.iter().chain(&site.app_servers) {
        runs.extend(endpoint.runs());
    }
    let mut answered = 0;
    for (id, answer) in &answers {
        let has_run = runs.contains_key(id);
        let is_whole = answer.complete && answer.status == 200;
        let is_refused = answer.status == 503 && !has_run;
        let was_not_taken = answer.status == 0 && !has_run;
        assert!(
            is_whole || is_refused || was_not_taken,
            "{id}: {answer:?}, run: {has_run}"
        );
        answered += usize::from(is_whole);
    }
    assert!(answered > 100, "{answered} of {} answered", answers.len());
}
