//! Engines that are brittle, which nodes must not make fall over.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::{Fall, Room};
use tokio::time::sleep;

use crate::soak::callers::RequestRecord;
use crate::soak::cluster::{Cluster, ENDPOINTS, Scope};
use crate::soak::crashes::write_entries;

/// Refusals for want of room in a second that engines bear.
const REFUSALS: usize = 4;

/// Slots of an engine: all engines together run fewer requests than there are callers.
const SLOTS: usize = 3;

/// Requests that wait at an engine from [`CONTACT`] on.
const QUEUE: usize = 1;

/// Time within which all nodes have to know that engines are brittle, `ContactMs` of the
/// platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which engines let fewer requests wait at least.
const MIN_TIME: Duration = Duration::from_secs(3);

/// Interval at which entries of engines that are back are written.
const ENTRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of falls in one time that are allowed.
const MAX_FALLS: usize = 2 + ENDPOINTS / 10;

/// A time in which engines were brittle.
#[derive(Clone, Copy, Debug)]
pub struct BrittleTime {
    from: Instant,
    to: Instant,
}

/// Makes all engines brittle for a while. Does nothing while a culprit is under test or an
/// endpoint drains, which write entries as well.
pub async fn state(cluster: Arc<Cluster>, time: Duration) {
    let Ok(_alone) = cluster.culprits.try_write() else {
        return;
    };
    let faults: Vec<usize> = (0..ENDPOINTS)
        .map(|index| cluster.begin_fault(Scope::Endpoint(index)))
        .collect();
    let from = Instant::now();
    for backend in engines(&cluster) {
        backend.engine.set_brittle(Some(REFUSALS));
    }
    set_room(&cluster, 2 * SLOTS);
    sleep_and_write_entries(&cluster, CONTACT).await;
    set_room(&cluster, QUEUE);
    sleep_and_write_entries(&cluster, MIN_TIME + time).await;
    let to = Instant::now();
    for backend in engines(&cluster) {
        backend.engine.set_brittle(None);
        backend.engine.lift_room();
    }
    write_entries(&cluster, engines(&cluster));
    for fault in faults {
        cluster.end_fault(fault);
    }
    let time = BrittleTime { from, to };
    let mut times = cluster.brittle_times.lock().expect("no panic before");
    times.push(time);
}

fn engines(cluster: &Cluster) -> &[crate::soak::cluster::Backend] {
    &cluster.backends[..ENDPOINTS]
}

fn set_room(cluster: &Cluster, queue: usize) {
    for backend in engines(cluster) {
        let slots = SLOTS;
        backend.engine.set_room(Room { slots, queue });
    }
}

async fn sleep_and_write_entries(cluster: &Cluster, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        write_entries(cluster, engines(cluster));
        sleep(ENTRY_INTERVAL).await;
    }
}

/// Checks how often engines fell over. A fall counts if most of what was refused came from
/// nodes in touch.
pub fn check(cluster: &Cluster, records: &[RequestRecord]) {
    let nodes: BTreeMap<&str, usize> = records
        .iter()
        .map(|record| (record.id.as_str(), record.node))
        .collect();
    let times = cluster
        .brittle_times
        .lock()
        .expect("no panic before")
        .clone();
    for time in times {
        let falls = engines(cluster)
            .iter()
            .flat_map(|backend| backend.engine.falls())
            .filter(|fall| (time.from..time.to).contains(&fall.at))
            .filter(|fall| is_by_nodes_in_touch(cluster, fall, time, &nodes));
        let falls = falls.count();
        let served = records
            .iter()
            .filter(|record| record.served && (time.from..time.to).contains(&record.sent_at));
        cluster.record_event(format!(
            "brittle engines: {falls} falls, {} served",
            served.count()
        ));
        if falls > MAX_FALLS {
            cluster.record_violation(format!("brittle engines fell over {falls} times"));
        }
    }
}

fn is_by_nodes_in_touch(
    cluster: &Cluster,
    fall: &Fall,
    time: BrittleTime,
    nodes: &BTreeMap<&str, usize>,
) -> bool {
    let refused = fall.refused.iter();
    let in_touch = refused.filter(|id| {
        let concerns = |node: usize| {
            move |scope| {
                matches!(scope, Scope::Store)
                    || [Scope::Node(node), Scope::Planned(node), Scope::Links(node)]
                        .contains(&scope)
            }
        };
        let node = nodes.get(id.as_str());
        node.is_some_and(|node| !cluster.any_fault_between(concerns(*node), time.from, fall.at))
    });
    2 * in_touch.count() > fall.refused.len()
}
