//! Limits on what clients hold: the memory budget and the bound on connections.

use std::time::Duration;

use flamingolock_gateway::connection_limit::{ConnectionLimit, Entered, Slot};
use flamingolock_gateway::memory_budget::{BodyBuffer, BudgetExhausted, MemoryBudget};
use flamingolock_gateway::memory_plan::{MemoryPlan, Port, RECEIVE_BUFFER, UNREAD_FACTOR};
use tokio::time::timeout;

const MIB: usize = 1024 * 1024;
const LIMIT: usize = 4 * MIB;
const ORDINARY: usize = 72_000;

/// Size to which the read buffer of a connection may grow, in bytes.
const READ_BUFFER: usize = 32 * 1024;

/// Time within which something that is due at once happens.
const AT_ONCE: Duration = Duration::from_secs(5);

async fn is_refused(body: &BodyBuffer) -> bool {
    timeout(Duration::ZERO, body.refused()).await.is_ok()
}

/// Guards against memory that stays charged, or is released while a retry may need it.
#[tokio::test]
async fn body_counts_until_its_last_reference_is_dropped() {
    let budget = MemoryBudget::with_limit(8 * MIB);
    let mut body = budget.body(None);
    body.push(&vec![1; ORDINARY], LIMIT).await.expect("room");
    assert!(budget.used() >= ORDINARY);
    let bytes = body.finish();
    let retry = bytes.clone();
    drop(bytes);
    assert!(budget.used() >= ORDINARY);
    assert_eq!(retry.len(), ORDINARY);
    drop(retry);
    assert_eq!(budget.used(), 0);
}

/// Guards against the memory of a body that its client gave up.
#[tokio::test]
async fn body_that_is_given_up_is_released() {
    let budget = MemoryBudget::with_limit(8 * MIB);
    let mut body = budget.body(None);
    body.push(&vec![1; MIB], LIMIT).await.expect("room");
    drop(body);
    assert_eq!(budget.used(), 0);
}

/// Guards against a limit that refuses what clients inside the limits send at 110 MB.
#[tokio::test]
async fn bodies_inside_the_limits_find_room() {
    let budget = MemoryBudget::of_memory(110);
    let mut bodies = Vec::new();
    for size in [LIMIT; 4].into_iter().chain([ORDINARY; 100]) {
        let mut body = budget.body(None);
        for piece in vec![1; size].chunks(16 * 1024) {
            body.push(piece, LIMIT).await.expect("room");
        }
        bodies.push(body.finish());
    }
    assert_eq!(bodies.len(), 104);
}

/// Guards against refusing an ordinary body because others stall.
#[tokio::test]
async fn stalled_body_that_holds_the_most_is_refused() {
    let budget = MemoryBudget::with_limit(4 * MIB);
    let (mut small, mut large) = (budget.body(None), budget.body(None));
    small.push(&vec![1; ORDINARY], LIMIT).await.expect("room");
    large.push(&vec![1; 2 * MIB], LIMIT).await.expect("room");
    let mut next = budget.body(None);
    let data = vec![1; 2 * MIB];
    let large_end = async {
        large.refused().await;
        drop(large);
    };
    let ended = async { tokio::join!(next.push(&data, LIMIT), large_end).0 };
    let pushed = timeout(AT_ONCE, ended).await;
    assert_eq!(pushed, Ok(Ok(())));
    assert!(!is_refused(&small).await);
}

/// Guards against refusing a request that may have run.
#[tokio::test]
async fn whole_body_is_never_refused_in_favor_of_another() {
    let budget = MemoryBudget::with_limit(4 * MIB);
    let mut running = budget.body(None);
    running.push(&vec![1; 2 * MIB], LIMIT).await.expect("room");
    let running = running.finish();
    let mut next = budget.body(None);
    let data = vec![1; 2 * MIB];
    let pushed = timeout(AT_ONCE, next.push(&data, LIMIT)).await;
    assert_eq!(pushed, Ok(Err(BudgetExhausted)));
    assert_eq!(running.len(), 2 * MIB);
}

/// Guards against large bodies that keep out ordinary ones.
#[tokio::test]
async fn small_bodies_find_room_beside_large_ones() {
    let budget = MemoryBudget::with_limit(4 * MIB);
    let mut large = budget.body(None);
    large.push(&vec![1; 3 * MIB], LIMIT).await.expect("room");
    let _large = large.finish();
    let mut small = budget.body(None);
    small.push(&vec![1; ORDINARY], LIMIT).await.expect("room");
    assert_eq!(small.len(), ORDINARY);
}

/// Guards against parts that are lost or change places when a body is kept in several.
#[tokio::test]
async fn body_is_whole_however_it_arrives() {
    let data: Vec<u8> = (0..LIMIT).map(|index| (index % 251) as u8).collect();
    for (length, piece) in [(LIMIT, 1_460), (LIMIT, LIMIT), (ORDINARY, 70_000), (1, 1)] {
        let budget = MemoryBudget::with_limit(8 * MIB);
        let mut body = budget.body(None);
        body.start_reading(READ_BUFFER).await.expect("room");
        for piece in data[..length].chunks(piece) {
            body.push(piece, LIMIT).await.expect("room");
        }
        assert_eq!(body.len(), length);
        let payload = body.finish();
        assert_eq!(payload.len(), length);
        let parts: Vec<&[u8]> = payload.parts().collect();
        assert!(parts.concat() == data[..length], "{length} in {piece}");
        assert!(budget.used() < length + 32 * 1024, "{}", budget.used());
        drop(payload);
        assert_eq!(budget.used(), 0);
    }
}

/// Guards against bodies that hold buffers of their connections without being counted.
#[tokio::test]
async fn buffers_from_which_bodies_are_read_count() {
    let budget = MemoryBudget::with_limit(3 * READ_BUFFER);
    let mut bodies = [(); 4].map(|()| budget.body(None));
    for body in &mut bodies[..3] {
        body.start_reading(READ_BUFFER).await.expect("room");
    }
    let started = timeout(AT_ONCE, bodies[3].start_reading(READ_BUFFER)).await;
    assert_eq!(started, Ok(Err(BudgetExhausted)), "nothing was released");
    let mut refused = 0;
    for body in &bodies[..3] {
        refused += u32::from(is_refused(body).await);
    }
    assert_eq!(refused, 1);
    drop(bodies);
    assert_eq!(budget.used(), 0);
}

/// Guards against parts of the memory that add up to more than there is.
#[test]
fn what_clients_may_hold_is_less_than_the_memory() {
    for memory_mb in [40, 48, 88, 110, 160, 260, 512, 4_000] {
        for read_buffer in [16 * 1024, READ_BUFFER, 4 * READ_BUFFER] {
            let plan = MemoryPlan::of_memory(memory_mb);
            let port_bytes = |port: Port| {
                let unaccepted = port.unaccepted_buffer() * UNREAD_FACTOR;
                let accepted = match port {
                    Port::Callers | Port::Nodes => RECEIVE_BUFFER * UNREAD_FACTOR,
                    Port::Directory | Port::Internal => unaccepted,
                };
                plan.backlog(port) * unaccepted
                    + plan.connections(port, read_buffer) * (read_buffer + accepted)
            };
            let ports = [
                Port::Callers,
                Port::Nodes,
                Port::Directory,
                Port::Internal,
                Port::Internal,
            ];
            let held =
                plan.bodies() + plan.wide_buffers() + ports.map(port_bytes).iter().sum::<usize>();
            let memory = memory_mb as usize * 1_000_000;
            assert!(held < memory * 9 / 10, "{held} of {memory} bytes");
        }
    }
}

/// A port with a bound of ten connections.
fn ten_connections() -> ConnectionLimit {
    ConnectionLimit::of(Port::Internal, 200 + 10 * 32, 0)
}

fn enter(limit: &ConnectionLimit) -> Slot {
    match limit.enter(READ_BUFFER) {
        Entered::Free(slot) => slot,
        other => panic!("{other:?}"),
    }
}

async fn is_closed(slot: &Slot) -> bool {
    timeout(Duration::ZERO, slot.closed()).await.is_ok()
}

/// Guards against closing a connection that is in use while another one is idle.
#[tokio::test]
async fn longest_idle_connection_is_closed_first() {
    let limit = ten_connections();
    let slots: Vec<Slot> = (0..10).map(|_| enter(&limit)).collect();
    slots[0].request(None).running();
    slots[1].request(None).progress();
    assert!(matches!(limit.enter(READ_BUFFER), Entered::Replaced(_)));
    assert!(is_closed(&slots[2]).await);
    for open in [0, 1, 3] {
        assert!(!is_closed(&slots[open]).await, "{open}");
    }
}

/// Guards against closing connections whose requests may have run.
#[tokio::test]
async fn connections_with_running_requests_stay_open() {
    let limit = ten_connections();
    let slots: Vec<Slot> = (0..10).map(|_| enter(&limit)).collect();
    for slot in &slots {
        slot.request(None).running();
    }
    assert!(matches!(limit.enter(READ_BUFFER), Entered::Full));
    slots[4].request(None).ended();
    assert!(matches!(limit.enter(READ_BUFFER), Entered::Replaced(_)));
    assert!(is_closed(&slots[4]).await);
}

/// Guards against a place that stays taken after its connection has closed.
#[test]
fn closed_connection_gives_up_its_place() {
    let limit = ten_connections();
    for _ in 0..30 {
        drop(enter(&limit));
    }
}

/// Guards against limits on nodes whose settings state none.
#[test]
fn settings_without_limits_bound_no_connections() {
    let limit = ConnectionLimit::of(Port::Callers, 0, 0);
    let slots: Vec<Slot> = (0..5_000).map(|_| enter(&limit)).collect();
    assert_eq!(slots.len(), 5_000);
}
