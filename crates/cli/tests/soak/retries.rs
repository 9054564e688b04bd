//! Checks of retries: how many reach endpoints, on how many endpoints a request runs, and
//! how much time endpoints are given. Times are in seconds since the start of the run.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry_site::RetryBounds;

/// Number of requests that may run on too many endpoints.
const MAX_OVERRUNS: usize = 3;

/// Time by which the deadline of an endpoint may be later than its caller's.
const DEADLINE_TOLERANCE_S: f64 = 0.5;

/// Number of deadlines that may be too late in any case, and what part of them and of the
/// late retries.
const MAX_LATE: usize = 20;
const MAX_LATE_PART: usize = 5;

/// Retries of a service in a window, and what the requests for it allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub from_s: f64,
    pub retries: usize,
    /// Requests in this window, the one before it or half a window before it, whichever has
    /// most.
    pub requests: usize,
    pub allowed: f64,
}

impl Window {
    /// Retries for each that is allowed.
    fn used(&self) -> f64 {
        self.retries as f64 / self.allowed.max(f64::MIN_POSITIVE)
    }

    pub fn is_over(&self) -> bool {
        self.retries as f64 > self.allowed
    }
}

/// The window that uses most of its bound, or exceeds it by the greatest factor. Both lists
/// are in order of time.
pub fn fullest_window(bounds: RetryBounds, requests: &[f64], retries: &[f64]) -> Option<Window> {
    let length = bounds.window_s as f64;
    // The counts change only where a window begins or ends at one of the times, or half a
    // window from it.
    let of_retries = retries.iter().flat_map(|at| [*at, at - length]);
    let steps = [-1.0, -0.5, 0.0, 0.5, 1.0];
    let of_requests = requests
        .iter()
        .flat_map(|at| steps.map(|step| at + step * length));
    let windows = of_retries.chain(of_requests).map(|from_s| {
        let most = [from_s, from_s - length / 2.0, from_s - length]
            .map(|from_s| count_between(requests, from_s, from_s + length));
        let requests = most.into_iter().max().unwrap_or_default();
        Window {
            from_s,
            retries: count_between(retries, from_s, from_s + length),
            requests,
            allowed: bounds.ratio * requests as f64 + bounds.slack,
        }
    });
    windows.max_by(|one, other| one.used().total_cmp(&other.used()))
}

fn count_between(times: &[f64], from_s: f64, to_s: f64) -> usize {
    let before = |limit: f64| times.partition_point(|at| *at < limit);
    before(to_s).saturating_sub(before(from_s))
}

/// A request that an endpoint began to run.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    pub request: &'a str,
    pub endpoint: &'a str,
    /// True if the endpoint ended or was cut off before the request ended.
    pub is_excused: bool,
}

/// The requests that ran on more than `max_attempts` endpoints; empty if that is allowed for
/// so few.
pub fn overruns<'a>(runs: &[Run<'a>], max_attempts: usize) -> Vec<&'a str> {
    let mut endpoints: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for run in runs.iter().filter(|run| !run.is_excused) {
        endpoints
            .entry(run.request)
            .or_default()
            .insert(run.endpoint);
    }
    let over = endpoints
        .into_iter()
        .filter(|(_, endpoints)| endpoints.len() > max_attempts);
    let over: Vec<&str> = over.map(|(request, _)| request).collect();
    if over.len() > MAX_OVERRUNS {
        over
    } else {
        Vec::new()
    }
}

/// A request at an endpoint, and its deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Timed<'a> {
    pub request: &'a str,
    pub at_s: f64,
    /// When its caller's time is over.
    pub caller_end_s: f64,
    /// Time that the endpoint was given; none if it was not told.
    pub given_s: Option<f64>,
}

impl Timed<'_> {
    fn is_late(&self) -> bool {
        self.given_s
            .is_none_or(|given_s| self.at_s + given_s > self.caller_end_s + DEADLINE_TOLERANCE_S)
    }
}

/// The arrivals whose endpoints were given no deadline or one that is too late; empty if
/// that is allowed for so few.
pub fn late_deadlines<'a>(arrivals: &[Timed<'a>]) -> Vec<Timed<'a>> {
    let mut first: BTreeMap<&str, f64> = BTreeMap::new();
    for arrival in arrivals {
        let at_s = first.entry(arrival.request).or_insert(arrival.at_s);
        *at_s = at_s.min(arrival.at_s);
    }
    let is_late_retry =
        |arrival: &Timed| arrival.at_s > first[arrival.request] + DEADLINE_TOLERANCE_S;
    let late: Vec<Timed> = arrivals
        .iter()
        .filter(|arrival| arrival.is_late())
        .copied()
        .collect();
    let counted = arrivals
        .iter()
        .filter(|arrival| arrival.is_late() || is_late_retry(arrival));
    if late.len() > MAX_LATE && MAX_LATE_PART * late.len() > counted.count() {
        late
    } else {
        Vec::new()
    }
}
