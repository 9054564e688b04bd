//! Which states of nodes a hub tells, and when.

use flamingolock_gateway::control::told_states::Telling::{self, Alive, Nothing, State};
use flamingolock_gateway::control::told_states::ToldStates;
use flamingolock_wire::gossip::NodeState;

fn node(leaving: bool) -> NodeState {
    NodeState {
        incarnation: 5,
        leaving,
        ..NodeState::default()
    }
}

#[test]
fn state_that_stays_is_told_once_a_second() {
    let mut told = ToldStates::default();
    let tellings: Vec<_> = (0..=8)
        .map(|step| told.tell(&node(false), 1_000 + step * 125))
        .collect();
    assert_eq!(
        tellings,
        [
            State, Nothing, Alive, Nothing, Alive, Nothing, Alive, Nothing, State
        ]
    );
}

#[test]
fn state_that_changes_is_told_at_once() {
    let mut told = ToldStates::default();
    assert_eq!(told.tell(&node(false), 1_000), Telling::State);
    assert_eq!(told.tell(&node(true), 1_060), Telling::State);
    assert_eq!(told.tell(&node(true), 1_070), Telling::Nothing);
}

#[test]
fn state_that_changes_all_the_time_is_told_at_intervals() {
    let mut told = ToldStates::default();
    let states = (0..100).map(|step| told.tell(&node(step % 2 == 0), 1_000 + step));
    assert_eq!(states.filter(|told| *told == Telling::State).count(), 2);
}

#[test]
fn node_that_was_gone_is_told_anew() {
    let mut told = ToldStates::default();
    told.tell(&node(false), 1_000);
    told.forget_old(2_000);
    assert_eq!(told.tell(&node(false), 2_001), Telling::State);
}
