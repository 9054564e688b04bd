//! The soak's checks of retries, on histories that break a bound or just keep to it.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;
#[path = "soak/retries.rs"]
mod retries;

use entry_site::RetryBounds;
use retries::{Run, Timed, Window, fullest_window, late_deadlines, overruns};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window_s: 10,
    slack: 2.0,
};

/// Times with a pause of `pause_s`, which binary fractions hold without an error.
fn times(count: u32, from_s: f64, pause_s: f64) -> Vec<f64> {
    (0..count)
        .map(|index| from_s + f64::from(index) * pause_s)
        .collect()
}

fn window(requests: &[f64], retries: &[f64]) -> Window {
    fullest_window(BOUNDS, requests, retries).expect("a window")
}

#[test]
fn retries_at_the_bound_of_a_window_are_allowed_and_one_more_is_reported() {
    // 80 in each window, for which 16 and 2 are allowed.
    let requests = times(320, 0.0, 0.125);
    assert!(!window(&requests, &times(18, 20.0, 0.125)).is_over());
    let found = window(&requests, &times(19, 20.0, 0.125));
    assert!(found.is_over());
    assert_eq!((found.retries, found.requests), (19, 80));
}

#[test]
fn windows_slide() {
    // 40 in each window, for which 8 and 2 are allowed.
    let requests = times(240, 0.0, 0.25);
    // Half of them each side of a multiple of the window's length.
    let retries = [times(6, 28.0, 0.25), times(6, 31.0, 0.25)].concat();
    assert!(window(&requests, &retries).is_over());
    let apart = [times(6, 25.0, 0.25), times(6, 37.0, 0.25)].concat();
    assert!(!window(&requests, &apart).is_over());
}

#[test]
fn requests_of_the_window_before_count() {
    let requests = times(160, 0.0, 0.125);
    assert!(!window(&requests, &times(18, 20.0, 0.125)).is_over());
    assert!(window(&requests, &times(18, 25.0, 0.125)).is_over());
}

#[test]
fn requests_of_half_a_window_before_count() {
    let requests = times(80, 5.0, 0.125);
    let retries = [[10.0; 9], [19.875; 9]].concat();
    assert!(!window(&requests, &retries).is_over());
    let more = [&[10.0; 9][..], &[19.875; 10]].concat();
    assert!(window(&requests, &more).is_over());
}

#[test]
fn retries_without_requests_are_allowed_up_to_the_slack() {
    assert!(!window(&[], &[1.0, 2.0]).is_over());
    assert!(window(&[], &[1.0, 2.0, 3.0]).is_over());
    assert_eq!(fullest_window(BOUNDS, &[], &[]), None);
}

/// Runs of `requests`, each on `endpoints` of them.
fn runs<'a>(requests: &[&'a str], endpoints: &[&'a str]) -> Vec<Run<'a>> {
    let of_request = |request: &&'a str| {
        let request = *request;
        endpoints.iter().map(move |endpoint| Run {
            request,
            endpoint,
            is_excused: false,
        })
    };
    requests.iter().flat_map(of_request).collect()
}

#[test]
fn more_than_three_requests_on_too_many_endpoints_are_reported() {
    let three = ["a", "b", "c"];
    let four = ["a", "b", "c", "d"];
    assert!(overruns(&runs(&three, &["x", "y", "z"]), 2).is_empty());
    assert_eq!(overruns(&runs(&four, &["x", "y", "z"]), 2), four);
    assert!(overruns(&runs(&four, &["x", "y"]), 2).is_empty());
}

#[test]
fn endpoints_that_ended_and_second_runs_on_one_endpoint_do_not_count() {
    let four = ["a", "b", "c", "d"];
    let mut excused = runs(&four, &["x", "y", "z"]);
    for run in excused.iter_mut().filter(|run| run.endpoint == "z") {
        run.is_excused = true;
    }
    assert!(overruns(&excused, 2).is_empty());
    assert!(overruns(&runs(&four, &["x", "y", "x"]), 2).is_empty());
}

/// Arrivals of different requests, whose callers wait until 3 s.
fn arrivals(count: usize, at_s: f64, given_s: Option<f64>) -> Vec<Timed<'static>> {
    const NAMES: [&str; 25] = [
        "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r",
        "s", "t", "u", "v", "w", "x", "y",
    ];
    let names = NAMES[..count].iter();
    let arrivals = names.map(|request| Timed {
        request,
        at_s,
        caller_end_s: 3.0,
        given_s,
    });
    arrivals.collect()
}

#[test]
fn more_than_twenty_deadlines_that_are_missing_or_too_late_are_reported() {
    assert_eq!(late_deadlines(&arrivals(21, 1.0, None)).len(), 21);
    assert!(late_deadlines(&arrivals(20, 1.0, None)).is_empty());
    assert_eq!(late_deadlines(&arrivals(21, 1.0, Some(2.6))).len(), 21);
    assert!(late_deadlines(&arrivals(21, 1.0, Some(2.5))).is_empty());
}

#[test]
fn late_deadlines_are_reported_above_a_fifth_of_those_and_of_late_retries() {
    let first = arrivals(25, 0.0, Some(3.0));
    let late = |count| arrivals(count, 1.0, Some(3.0));
    let sound = |at_s| arrivals(25, at_s, Some(0.5));
    // 21 of 21 late retries, of 96 and of 121.
    assert_eq!(
        late_deadlines(&[first.clone(), late(21)].concat()).len(),
        21
    );
    let few = [first, late(21), sound(1.0), sound(1.5), sound(2.0)].concat();
    assert_eq!(late_deadlines(&few).len(), 21);
    let fewer = [few, sound(2.2)].concat();
    assert!(late_deadlines(&fewer).is_empty());
}
