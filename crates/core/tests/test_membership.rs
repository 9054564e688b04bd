//! Membership: dissemination, suspicion and refutation in simulated fleets.

mod fleet;

use flamingolock_core::heartbeat::{Heartbeat, Input, Output};
use flamingolock_core::members::{LIST_GRACE, MemberState, Report, Standing};
use flamingolock_core::membership::Membership;
use flamingolock_core::prelude::*;
use fleet::{Fleet, name, row};

fn secs(count: u64) -> Millis {
    Millis(count * 1000)
}

#[test]
fn a_quiet_fleet_suspects_nobody() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(60));
    assert_eq!(fleet.wrong_view(), None);
    assert_eq!(fleet.connections_opened, 0);
}

#[test]
fn a_dead_node_leaves_all_views_within_seconds() {
    for (count, limit) in [(3, 6), (9, 6), (340, 9)] {
        let mut fleet = Fleet::new(count);
        fleet.run(secs(30));
        fleet.kill(1);
        let took = fleet.run_until(secs(limit), |fleet| fleet.nodes_seeing_live(1).is_empty());
        println!("dead node out of all views, {count} nodes: {took:?}");
        assert!(
            took.is_some(),
            "{count} nodes: {:?}",
            fleet.nodes_seeing_live(1)
        );
    }
}

#[test]
fn a_leaving_flag_reaches_everybody_within_two_seconds() {
    for count in [3, 9, 340] {
        let mut fleet = Fleet::new(count);
        fleet.run(secs(30));
        fleet.leave(1);
        let took = fleet.run_until(secs(2), |fleet| fleet.nodes_seeing_live(1).is_empty());
        println!("leaving flag everywhere, {count} nodes: {took:?}");
        assert!(
            took.is_some(),
            "{count} nodes: {:?}",
            fleet.nodes_seeing_live(1)
        );
        assert!(fleet.nodes_suspecting(1).is_empty());
        for (_, machine) in fleet.running() {
            let view = machine.view();
            for engine in 0..50 {
                let engine = EngineId::from(format!("engine-{engine}"));
                assert_ne!(*view.home_of(&engine), name(1));
            }
        }
    }
}

#[test]
fn half_of_the_fleet_can_die_at_once() {
    let mut fleet = Fleet::new(100);
    fleet.run(secs(20));
    for index in 0..50 {
        fleet.kill(index * 2);
    }
    let took = fleet.run_until(secs(60), |fleet| fleet.wrong_view().is_none());
    println!("half of 100 nodes dead, views right: {took:?}");
    assert!(took.is_some(), "{:?}", fleet.wrong_view());
}

#[test]
fn a_silent_connection_alone_raises_no_suspicion() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(10));
    for a in 0..9 {
        for b in 0..a {
            fleet.silence(a, b);
        }
    }
    for _ in 0..100 {
        fleet.step();
        assert!((0..9).all(|index| fleet.nodes_suspecting(index).is_empty()));
    }
    assert!(
        fleet.connections_opened > 0,
        "silence leads to fresh connections"
    );
    assert_eq!(fleet.wrong_view(), None);
}

#[test]
fn a_node_stays_live_to_the_only_peer_that_reaches_it() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(10));
    for other in 1..9 {
        if other != 5 {
            fleet.cut(0, other);
        }
    }
    // Node 0 is reachable only from node 5. Node 5 should see it as live most of the
    // time, and all others receive its refutations through node 5.
    fleet.run(secs(30));
    let mut held = 0;
    for _ in 0..300 {
        fleet.step();
        held += usize::from(fleet.nodes_suspecting(0).contains(&5));
    }
    assert!(
        held < 30,
        "suspected in {held} of 300 steps by a node that reaches it"
    );
    fleet.cuts.clear();
    let took = fleet.run_until(secs(15), |fleet| fleet.wrong_view().is_none());
    assert!(took.is_some(), "{:?}", fleet.wrong_view());
}

#[test]
fn views_converge_after_a_partition() {
    for count in [9, 100] {
        let mut fleet = Fleet::new(count);
        fleet.run(secs(20));
        for a in 0..count / 2 {
            for b in count / 2..count {
                fleet.cut(a, b);
            }
        }
        fleet.run(secs(60));
        assert!(!fleet.nodes_seeing_live(0).contains(&(count - 1)));
        fleet.cuts.clear();
        let took = fleet.run_until(secs(90), |fleet| fleet.wrong_view().is_none());
        println!("views right after a partition, {count} nodes: {took:?}");
        assert!(took.is_some(), "{count} nodes: {:?}", fleet.wrong_view());
    }
}

#[test]
fn views_recover_after_a_node_was_paused() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(10));
    fleet.nodes[4].paused = true;
    fleet.run(secs(30));
    assert!(fleet.nodes_seeing_live(4).is_empty());
    fleet.nodes[4].paused = false;
    let took = fleet.run_until(secs(5), |fleet| fleet.wrong_view().is_none());
    assert!(took.is_some(), "{:?}", fleet.wrong_view());
    assert!((0..9).all(|index| fleet.nodes_suspecting(index).is_empty()));
}

#[test]
fn a_restart_is_accepted_at_once_and_the_old_incarnation_never_again() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(10));
    fleet.leave(2);
    fleet.run(secs(3));
    fleet.kill(2);
    fleet.list[2].leaving = true;
    fleet.run(secs(20));
    fleet.start(2);
    let took = fleet.run_until(secs(3), |fleet| fleet.nodes_seeing_live(2).len() == 8);
    assert!(took.is_some(), "{:?}", fleet.wrong_view());
    // The list still shows the leaving flag of the old incarnation for a while.
    fleet.run(secs(20));
    assert_eq!(fleet.wrong_view(), None);
    fleet.check_incarnations();
}

#[test]
fn a_node_that_starts_without_the_list_learns_it_from_peers() {
    let mut fleet = Fleet::new(9);
    fleet.run(secs(10));
    fleet.list_down = true;
    fleet.kill(3);
    fleet.run(secs(3));
    fleet.start(3);
    let took = fleet.run_until(secs(5), |fleet| fleet.wrong_view().is_none());
    assert!(took.is_some(), "{:?}", fleet.wrong_view());
}

#[test]
fn delisted_instances_are_removed_and_instances_not_yet_listed_stay() {
    let mut fleet = Fleet::new(4);
    fleet.list.remove(3);
    fleet.run(secs(10));
    assert_eq!(
        fleet.nodes_seeing_live(3).len(),
        3,
        "the list may lag behind a start"
    );
    fleet.run(LIST_GRACE);
    assert!(fleet.nodes_seeing_live(3).is_empty());

    // An empty list is a platform failure and is ignored.
    fleet.list.clear();
    fleet.run(secs(60));
    assert_eq!(fleet.nodes_seeing_live(0).len(), 3);
}

fn heartbeat(
    incarnation: u64,
    counter: u32,
    standing: Standing,
    reports: Vec<Report>,
) -> Heartbeat {
    Heartbeat {
        state: state(incarnation, counter, standing),
        digest: 0,
        reports,
        wants_answer: true,
        check: None,
    }
}

fn state(incarnation: u64, counter: u32, standing: Standing) -> MemberState {
    MemberState {
        incarnation: Incarnation(incarnation),
        counter,
        standing,
    }
}

fn two_nodes() -> Membership {
    let mut machine = Membership::new(&row(0), Incarnation(5), Millis(1000));
    machine.step(Input::InstanceList(vec![row(0), row(1)]), Millis(1000));
    machine
}

fn said(heartbeat: Heartbeat) -> Input {
    Input::HeartbeatReceived {
        peer: name(1),
        heartbeat,
    }
}

#[test]
fn an_old_incarnation_is_not_answered_or_believed() {
    let mut machine = two_nodes();
    machine.step(said(heartbeat(8, 0, Standing::Live, vec![])), Millis(1100));
    let report = Report {
        instance: name(0),
        state: state(5, 0, Standing::Suspected),
    };
    let old = heartbeat(7, 9, Standing::Leaving, vec![report]);
    assert_eq!(machine.step(said(old), Millis(1200)), vec![]);
    let flag = Input::PeerLeaving {
        peer: name(1),
        incarnation: Incarnation(7),
    };
    assert_eq!(machine.step(flag, Millis(1300)), vec![]);
    assert_eq!(machine.view().live().count(), 2);
}

#[test]
fn a_suspicion_against_this_node_is_refuted_by_a_higher_counter() {
    let mut machine = two_nodes();
    let report = Report {
        instance: name(0),
        state: state(5, 3, Standing::Suspected),
    };
    let input = said(heartbeat(8, 0, Standing::Live, vec![report]));
    let outputs = machine.step(input, Millis(1100));
    let refuted = outputs.iter().any(|output| {
        matches!(output, Output::SendHeartbeat { heartbeat, .. }
            if heartbeat.state == state(5, 4, Standing::Live))
    });
    assert!(refuted, "{outputs:?}");
}

#[test]
fn an_unrequested_connection_failure_raises_no_suspicion() {
    let mut machine = two_nodes();
    let failed = || Input::FreshConnectionFailed(name(1));
    assert_eq!(machine.step(failed(), Millis(1100)), vec![]);
    let opened = machine.step(Input::ConnectionLost(name(1)), Millis(1200));
    assert_eq!(opened, vec![Output::OpenFreshConnection(name(1))]);
    let outputs = machine.step(failed(), Millis(1300));
    assert!(outputs.contains(&Output::Suspect(name(1))), "{outputs:?}");
    assert!(outputs.contains(&Output::ViewChanged));
}

#[test]
fn only_a_bounded_number_of_reports_per_heartbeat_is_applied() {
    let mut machine = two_nodes();
    let rows: Vec<_> = (0..50).map(row).collect();
    machine.step(Input::InstanceList(rows), Millis(1000));
    let reports = (2..50)
        .map(|index| Report {
            instance: name(index),
            state: state(1, 0, Standing::Suspected),
        })
        .collect();
    machine.step(said(heartbeat(8, 0, Standing::Live, reports)), Millis(1100));
    assert_eq!(machine.view().suspected().count(), 4);
}

#[test]
fn a_failure_from_before_a_pause_is_no_suspicion() {
    let mut machine = two_nodes();
    machine.step(Input::ConnectionLost(name(1)), Millis(1100));
    let outputs = machine.step(Input::FreshConnectionFailed(name(1)), Millis(31_100));
    assert_eq!(outputs, vec![]);
    assert_eq!(machine.view().live().count(), 2);
}

#[test]
fn a_suspected_peer_receives_the_suspicion_as_the_first_report() {
    let mut machine = two_nodes();
    let rows: Vec<_> = (0..50).map(row).collect();
    machine.step(Input::InstanceList(rows), Millis(1000));
    machine.step(Input::ConnectionLost(name(1)), Millis(1100));
    machine.step(Input::FreshConnectionFailed(name(1)), Millis(1200));
    // More urgent reports than fit in one heartbeat, relayed less often so far than
    // the suspicion of the peer.
    for index in 2..50 {
        let failed = name(index);
        machine.step(Input::ConnectionLost(failed.clone()), Millis(1300));
        machine.step(Input::FreshConnectionFailed(failed), Millis(1300));
    }
    let input = said(heartbeat(0, 0, Standing::Live, vec![]));
    let outputs = machine.step(input, Millis(1400));
    let Some(Output::SendHeartbeat { to, heartbeat }) = outputs.last() else {
        panic!("{outputs:?}");
    };
    assert_eq!(*to, name(1));
    assert_eq!(heartbeat.reports[0].instance, name(1));
    assert_eq!(heartbeat.reports[0].state.standing, Standing::Suspected);
}

#[test]
fn a_shutdown_is_not_revoked_within_one_incarnation() {
    let mut machine = two_nodes();
    machine.step(
        said(heartbeat(8, 0, Standing::Leaving, vec![])),
        Millis(1100),
    );
    machine.step(said(heartbeat(8, 1, Standing::Live, vec![])), Millis(1200));
    assert!(machine.view().leaving().any(|leaving| *leaving == name(1)));
    machine.step(said(heartbeat(9, 0, Standing::Live, vec![])), Millis(1300));
    assert_eq!(machine.view().leaving().count(), 0);
    assert_eq!(machine.view().live().count(), 2);
}
