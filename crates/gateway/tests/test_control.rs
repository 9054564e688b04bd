//! Decisions of the control thread, step by step.

mod common;

use common::{Desk, ask};
use flamingolock_gateway::chain::is_too_late;
use flamingolock_gateway::control::{Effect, Event, FollowedTopic, Refusal, RunEnd};
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_wire::gossip::Run;

#[test]
fn configuration_never_goes_back() {
    let mut desk = Desk::new();
    for (version, expected) in [(4, 4), (2, 4), (4, 4), (9, 9)] {
        desk.catalog(version, 0);
        let view = desk.view.load();
        assert_eq!(
            view.catalog.as_ref().map(|catalog| catalog.version),
            Some(expected)
        );
    }
}

#[test]
fn leaving_removed_and_unreadable_endpoints_get_nothing() {
    for value in [
        Some(
            r#"{"Service":"engines","Address":"10.0.0.1:80","Zone":"z","Slots":1,"State":"draining","born":1}"#,
        ),
        Some(r#"{"Service":"engines","Address":7,"Zone":"z","Slots":1,"State":"ready","born":1}"#),
        Some(
            r#"{"Service":"engines","Address":"10.0.0.1:80","Zone":"z","Slots":1,"State":"ready","born":1.5}"#,
        ),
        Some(
            r#"{"Service":"engines","Address":"10.0.0.1:80","Zone":"z","Slots":1,"State":"asleep","born":1}"#,
        ),
        Some("not json"),
        None,
    ] {
        let mut desk = Desk::with_engines(1, 0);
        desk.entry("e0", value, 10);
        let placed = desk.place(ask(None, 1), 20).expect("an answer at once");
        assert_eq!(placed.err(), Some(Refusal::NoEndpoint), "{value:?}");
    }
}

#[test]
fn old_entry_of_an_earlier_life_is_ignored() {
    let mut desk = Desk::with_engines(0, 0);
    desk.engine("e0", 50, "ready", 0);
    desk.engine("e0", 40, "draining", 10);
    assert!(desk.place(ask(None, 1), 20).expect("an answer").is_ok());
}

#[test]
fn entry_that_lapsed_while_the_store_was_away_may_come_back() {
    for comes_back in [true, false] {
        let mut desk = Desk::with_engines(1, 0);
        desk.control.handle(Event::StoreFailed, 1_000);
        desk.control.handle(Event::StoreAnswered, 5_000);
        desk.entry("e0", None, 5_010);
        desk.control.tick(5_020);
        assert!(desk.place(ask(None, 1), 5_020).expect("an answer").is_ok());
        if comes_back {
            desk.engine("e0", 1, "ready", 6_500);
        }
        desk.control.tick(8_000);
        assert_eq!(
            desk.place(ask(None, 1), 8_000).expect("an answer").is_ok(),
            comes_back
        );
    }
}

#[test]
fn entry_removed_while_the_store_answers_is_gone_at_once() {
    let mut desk = Desk::with_engines(1, 0);
    desk.control.handle(Event::StoreAnswered, 4_000);
    desk.entry("e0", None, 5_010);
    assert!(desk.place(ask(None, 1), 5_020).expect("an answer").is_err());
}

#[test]
fn isolated_workspaces_and_versions_have_name_spaces_of_their_own() {
    let mut desk = Desk::with_engines(1, 0);
    let mut salt = |wall| {
        desk.place(ask(wall, 1), 10)
            .expect("an answer")
            .expect("a place")
            .salt
    };
    let (shared, again, one, two) = (salt(None), salt(None), salt(Some("w1")), salt(Some("w2")));
    assert_eq!(shared, again);
    assert!(shared != one && one != two && shared != two);
}

#[test]
fn prompt_that_an_engine_reads_is_not_read_at_another() {
    let mut desk = Desk::with_engines(4, 0);
    let first = desk
        .place(ask(None, 1), 10)
        .expect("an answer")
        .expect("a place");
    let second = desk
        .place(ask(None, 1), 12)
        .expect("an answer")
        .expect("a place");
    assert_eq!(first.endpoint.id, second.endpoint.id);
}

#[test]
fn known_part_is_fetched_from_the_engine_that_holds_it() {
    let mut desk = Desk::with_engines(2, 0);
    let first = desk
        .place(ask(None, 1), 10)
        .expect("an answer")
        .expect("a place");
    let key = first.endpoint.key();
    let event = Event::FirstToken {
        endpoint: key,
        run_number: first.run_number,
        weights: Some(1),
        model: Some("m".to_owned()),
    };
    desk.control.handle(event, 200);
    let mut second = ask(None, 1);
    second.tried = vec![key];
    let second = desk
        .place(second, 210)
        .expect("an answer")
        .expect("a place");
    assert_ne!(second.endpoint.id, first.endpoint.id);
    assert_eq!(second.fetch_from, Some(first.endpoint.address));
}

#[test]
fn second_tries_stop_when_the_budget_is_used_up() {
    let mut desk = Desk::with_engines(3, 0);
    let mut granted = 0;
    for _ in 0..200 {
        let mut again = ask(None, 1);
        again.tried = vec![Endpoint::key_of("e0")];
        again.is_retry = true;
        granted += usize::from(desk.place(again, 10).expect("an answer").is_ok());
    }
    // Nothing was asked for the first time, so only the slack is there.
    assert!((1..=58).contains(&granted), "{granted}");
}

#[test]
fn try_after_an_endpoint_that_was_not_reached_is_no_repeat() {
    let mut desk = Desk::with_engines(3, 0);
    for _ in 0..200 {
        let mut again = ask(None, 1);
        again.tried = vec![Endpoint::key_of("e0")];
        assert!(desk.place(again, 10).expect("an answer at once").is_ok());
    }
}

#[test]
fn failing_endpoint_is_avoided_until_its_time_is_over() {
    let mut desk = Desk::with_engines(2, 0);
    let bad = Endpoint::key_of("e0");
    let end = Event::RunEnded {
        endpoint: bad,
        run_number: 0,
        end: RunEnd::NeverConnected,
        model: None,
    };
    desk.control.handle(end, 10);
    for place in 0..20 {
        let grant = desk
            .place(ask(None, place * 10), 20)
            .expect("an answer")
            .expect("a place");
        assert_eq!(&*grant.endpoint.id, "e1");
    }
}

/// The engine's weights are used at one time and no more at the other.
fn assert_weights_end(desk: &mut Desk, used: u64, unused: u64) {
    assert!(desk.place(ask(None, 1), used).expect("an answer").is_ok());
    assert_eq!(
        desk.place(ask(None, 1), unused).expect("an answer").err(),
        Some(Refusal::AllReloading)
    );
}

#[test]
fn replaced_weights_are_not_used_past_their_bound() {
    let mut desk = Desk::with_engines(1, 0);
    desk.weights(2, 1_000);
    assert_weights_end(&mut desk, 1_100, 7_000);
}

/// Another version that is named meanwhile does not make the old weights younger.
#[test]
fn weights_replaced_twice_are_not_used_past_the_first_bound() {
    let mut desk = Desk::with_engines(1, 0);
    desk.weights(2, 1_000);
    desk.weights(3, 5_000);
    assert_weights_end(&mut desk, 6_000, 6_900);
}

/// The weights may have been named long before this node started.
#[test]
fn node_that_starts_uses_replaced_weights_for_a_short_time_only() {
    let mut desk = Desk::with_engines(1, 10_000);
    desk.weights_before_start(2, 10_000);
    assert_weights_end(&mut desk, 10_500, 13_100);
}

/// Weights that were named while the node stood still are as old as that may be.
#[test]
fn weights_named_while_the_node_stood_still_are_taken_to_be_old() {
    let mut desk = Desk::with_engines(1, 10_000);
    desk.effects(10_000);
    desk.weights(2, 14_000);
    assert_weights_end(&mut desk, 15_000, 15_300);
}

/// The same of a node whose copy was old for another reason.
#[test]
fn weights_that_a_node_learns_late_are_taken_to_be_old() {
    let mut desk = Desk::with_engines(1, 10_000);
    desk.control.handle(
        Event::TopicRead {
            topic: FollowedTopic::Operator,
            end: 1,
            at: 10_000,
        },
        10_000,
    );
    for now in (10_000..14_000).step_by(50) {
        desk.effects(now);
    }
    desk.weights(2, 14_000);
    assert_weights_end(&mut desk, 15_000, 15_300);
}

#[test]
fn orders_need_the_lease_and_some_engines_always_serve() {
    let mut desk = Desk::with_engines(12, 0);
    desk.weights(2, 1_000);
    let effects = desk.effects(1_001);
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::LeaseRead(0)))
    );
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::SendOrder(_)))
    );
    desk.control.handle(Event::LeaseRead(0, None), 1_010);
    assert!(
        desk.effects(1_011)
            .iter()
            .any(|effect| matches!(effect, Effect::LeaseAppend(0)))
    );
    desk.control.handle(Event::LeaseAppended(0), 1_020);
    let reports = desk
        .effects(1_021)
        .iter()
        .filter(|effect| matches!(effect, Effect::RequestReport(_)))
        .count();
    assert_eq!(reports, 2, "the count of orders is asked for first");
}

#[test]
fn shutdown_takes_streams_for_a_while_only() {
    let mut desk = Desk::with_engines(1, 0);
    assert!(!is_too_late(&desk.view.load(), 60_000));
    desk.control.handle(Event::ShutdownStarted, 10_000);
    assert!(!is_too_late(&desk.view.load(), 11_000));
    assert!(is_too_late(&desk.view.load(), 12_500));
}

#[test]
fn requests_of_a_node_that_fell_silent_no_longer_count() {
    let mut desk = Desk::with_engines(2, 0);
    let busy = Endpoint::key_of("e0");
    desk.gossip(
        9,
        &[Run {
            number: 1,
            endpoint: busy,
            read_us: 60_000_000,
            ..Run::default()
        }],
        1_000,
    );
    desk.control.tick(1_001);
    for place in 0..10 {
        let grant = desk
            .place(ask(None, place * 10), 1_010)
            .expect("an answer")
            .expect("a place");
        assert_eq!(
            &*grant.endpoint.id, "e1",
            "the other node reads for a minute at e0"
        );
    }
    desk.control.tick(3_500);
    let places = (0..10).filter(|place| {
        let grant = desk
            .place(ask(None, 1_000 + place * 10), 3_510)
            .expect("an answer")
            .expect("a place");
        &*grant.endpoint.id == "e0"
    });
    assert!(places.count() > 0, "e0 is free again");
}

/// What another node tells is taken as far as it is newer, and never goes back.
#[test]
fn node_is_taught_by_another_while_the_store_is_away() {
    let knowledge = |desk: &mut Desk, now| {
        let (reply, mut answer) = tokio::sync::oneshot::channel();
        desk.control.handle(Event::PeerSyncRequested(reply), now);
        Box::new(answer.try_recv().expect("an answer"))
    };
    let mut teacher = Desk::with_engines(2, 10_000);
    let early = knowledge(&mut teacher, 10_000);
    teacher.catalog(2, 10_100);
    teacher.weights(2, 10_100);
    let late = knowledge(&mut teacher, 10_200);
    assert_eq!((late.operator.len(), late.endpoints.len()), (2, 2));

    let mut pupil = Desk::new();
    pupil.control.handle(Event::StoreFailed, 20_000);
    let asks = |desk: &mut Desk, now| {
        let effects = desk.effects(now);
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::SyncFromPeers(nodes) if nodes.len() == 1))
    };
    assert!(asks(&mut pupil, 20_000), "it knows nothing");
    assert!(!asks(&mut pupil, 20_100), "not again at once");
    for knowledge in [late, early] {
        pupil
            .control
            .handle(Event::PeerSyncReceived(knowledge), 20_200);
    }
    let version = pupil
        .view
        .load()
        .catalog
        .as_ref()
        .map(|known| known.version);
    assert_eq!(version, Some(2));
    assert!(
        pupil
            .place(ask(None, 1), 20_300)
            .expect("an answer")
            .is_ok()
    );
    assert!(!asks(&mut pupil, 21_000), "it knows enough");
}
