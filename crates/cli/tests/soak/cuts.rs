//! Nodes that are cut off from endpoints, which have to serve through the other nodes.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::LinkState;
use tokio::time::sleep;

use crate::soak::callers::RequestRecord;
use crate::soak::cluster::{Cluster, ENDPOINTS, Scope};

/// Time for which a node is cut off at least.
const MIN_TIME: Duration = Duration::from_secs(5);

/// Time within which a cut node has to serve again, `ContactMs` of the platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Failures at cut nodes that are allowed beside one in [`FAILURE_SHARE`].
const FAILURES: usize = 10;
const FAILURE_SHARE: usize = 50;

/// How a node is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    pub state: LinkState,
    /// True if it is cut off from all endpoints; false if the first engine and the first
    /// application server are left.
    pub is_whole: bool,
}

impl Cut {
    /// Each state, whole and not.
    pub const ALL: [Self; 8] = [
        Self::whole(LinkState::Silent),
        Self::whole(LinkState::Reset),
        Self::whole(LinkState::NewRefused),
        Self::whole(LinkState::NewUnanswered),
        Self::partial(LinkState::Silent),
        Self::partial(LinkState::Reset),
        Self::partial(LinkState::NewRefused),
        Self::partial(LinkState::NewUnanswered),
    ];

    const fn whole(state: LinkState) -> Self {
        Self {
            state,
            is_whole: true,
        }
    }

    const fn partial(state: LinkState) -> Self {
        Self {
            state,
            is_whole: false,
        }
    }
}

/// A node that was cut off from all endpoints, and the requests that count.
#[derive(Clone, Debug)]
pub struct WholeCut {
    node: usize,
    cut: Cut,
    counted: RangeInclusive<Instant>,
}

/// Cuts a node off for a while.
pub async fn cut_off(cluster: Arc<Cluster>, node: usize, cut: Cut, time: Duration) {
    let fault = cluster.begin_fault(Scope::Links(node));
    let cut_at = Instant::now();
    set(&cluster, node, cut, cut.state);
    sleep(MIN_TIME + time).await;
    let counted = cut_at + CONTACT..=Instant::now();
    set(&cluster, node, cut, LinkState::Up);
    cluster.end_fault(fault);
    if cut.is_whole {
        let cut = WholeCut { node, cut, counted };
        cluster
            .whole_cuts
            .lock()
            .expect("no panic before")
            .push(cut);
    }
}

fn set(cluster: &Cluster, node: usize, cut: Cut, state: LinkState) {
    for (index, link) in cluster.links[node].iter().enumerate() {
        if cut.is_whole || !index.is_multiple_of(ENDPOINTS) {
            link.set(state);
        }
    }
}

/// Checks that requests at nodes that were cut off from all endpoints were served through
/// others, where that was the only trouble at the time.
pub fn check(cluster: &Cluster, records: &[RequestRecord]) {
    let cuts = cluster.whole_cuts.lock().expect("no panic before").clone();
    for cut in cuts {
        let counted: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.abandoned && cut.counted.contains(&record.sent_at))
            .filter(|record| is_only_trouble(cluster, &cut, record))
            .collect();
        check_shares(cluster, &cut, &counted);
    }
}

fn is_only_trouble(cluster: &Cluster, cut: &WholeCut, record: &RequestRecord) -> bool {
    let other = |scope| scope != Scope::Links(cut.node);
    !cluster.any_fault_between(other, record.sent_at, record.ended_at)
}

fn check_shares(cluster: &Cluster, cut: &WholeCut, records: &[&RequestRecord]) {
    let count = |is_cut: bool| {
        let counted = records
            .iter()
            .filter(|record| (record.node == cut.node) == is_cut);
        counted.fold((0, 0), |(sent, served), record| {
            (sent + 1, served + usize::from(record.served))
        })
    };
    let ((sent, served), (sent_else, served_else)) = (count(true), count(false));
    let what = format!(
        "{:?}: {served} of {sent} served at node {}, {served_else} of {sent_else} at the others",
        cut.cut, cut.node
    );
    cluster.record_event(&what);
    let is_seldom = 3 * served * sent_else < 2 * served_else * sent;
    let has_failures = sent - served > FAILURES + sent / FAILURE_SHARE;
    if is_seldom && has_failures {
        cluster.record_violation(what);
    }
}
