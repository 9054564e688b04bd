//! What the checks of retries look at, from the records of callers and endpoints.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::entry_site::MAX_ATTEMPTS;
use crate::soak::callers::{RESPONSE_TIMEOUT, RequestRecord};
use crate::soak::cluster::{Backend, Cluster, Scope};
use crate::soak::retries::{self, Run, Timed};

/// Services, and whether their requests are streams, whose deadlines do not count.
const SERVICES: [(&str, bool); 2] = [("engines", true), ("desk", false)];

/// A request as it was sent to a node.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: String,
    pub service: &'static str,
    pub node: usize,
    pub at: Instant,
    /// The deadline that it bears.
    pub time_limit: Duration,
    pub ended_at: Instant,
}

impl Sent {
    fn of(record: &RequestRecord) -> Self {
        Self {
            request: record.id.clone(),
            service: record.kind.service(),
            node: record.node,
            at: record.sent_at,
            time_limit: RESPONSE_TIMEOUT,
            ended_at: record.ended_at,
        }
    }

    /// A request of the checks, sent now. It counts as open until its deadline.
    pub fn probe(request: &str, service: &'static str, node: usize, time_limit: Duration) -> Self {
        let at = Instant::now();
        Self {
            request: request.to_owned(),
            service,
            node,
            at,
            time_limit,
            ended_at: at + time_limit,
        }
    }
}

/// Checks the retries of each service.
pub fn check(cluster: &Cluster, records: &[RequestRecord]) {
    let probes = cluster.probes.lock().expect("no panic before").clone();
    let all: Vec<Sent> = records.iter().map(Sent::of).chain(probes).collect();
    for (service, is_stream) in SERVICES {
        let sent = all.iter().filter(|sent| sent.service == service);
        let sent = sent.map(|sent| (sent.request.as_str(), sent)).collect();
        check_budget(cluster, service, &sent);
        if !is_stream {
            check_deadlines(cluster, service, &sent);
        }
    }
    let sent = all.iter().map(|sent| (sent.request.as_str(), sent));
    check_attempts(cluster, &sent.collect());
}

type SentById<'a> = BTreeMap<&'a str, &'a Sent>;

fn backends<'a>(cluster: &'a Cluster, service: &str) -> impl Iterator<Item = (usize, &'a Backend)> {
    let all = cluster.backends.iter().enumerate();
    all.filter(move |(_, backend)| backend.service == service)
}

/// Time since the start of the run, in seconds.
fn seconds(cluster: &Cluster, at: Instant) -> f64 {
    at.saturating_duration_since(cluster.started).as_secs_f64()
}

fn check_budget(cluster: &Cluster, service: &'static str, sent: &SentById) {
    let mut arrivals: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (_, backend) in backends(cluster, service) {
        let known = backend.engine.arrivals().into_iter();
        for arrival in known.filter(|arrival| sent.contains_key(arrival.request.as_str())) {
            let times = arrivals.entry(arrival.request).or_default();
            times.push(seconds(cluster, arrival.at));
        }
    }
    let beyond_first = arrivals.into_values().flat_map(|mut times| {
        times.sort_by(f64::total_cmp);
        times.into_iter().skip(1)
    });
    let mut beyond_first: Vec<f64> = beyond_first.collect();
    beyond_first.sort_by(f64::total_cmp);
    let mut requests: Vec<f64> = sent
        .values()
        .map(|sent| seconds(cluster, sent.at))
        .collect();
    requests.sort_by(f64::total_cmp);
    let Some(window) = retries::fullest_window(cluster.retry_bounds, &requests, &beyond_first)
    else {
        return;
    };
    let what = format!(
        "retry budget of {service}: {} retries in the {} s from {:.3} s, {:.1} allowed for {} requests",
        window.retries,
        cluster.retry_bounds.window_s,
        window.from_s,
        window.allowed,
        window.requests
    );
    cluster.record_event(&what);
    if window.is_over() {
        cluster.record_violation(what);
    }
}

/// Counts the requests of all services together.
fn check_attempts(cluster: &Cluster, sent: &SentById) {
    let all = cluster.backends.iter().enumerate();
    let started: Vec<_> = all
        .flat_map(|(index, backend)| {
            let runs = backend.engine.started_runs().into_iter();
            runs.map(move |run| (index, run))
        })
        .collect();
    let runs = started.iter().filter_map(|(index, run)| {
        let sent = sent.get(run.request.as_str())?;
        Some(Run {
            request: &run.request,
            endpoint: &run.endpoint,
            is_excused: has_ended(cluster, *index, sent, run.at),
        })
    });
    let runs: Vec<Run> = runs.collect();
    let excused = runs.iter().filter(|run| run.is_excused).count();
    cluster.record_event(format!(
        "runs: {}, of which {excused} are excused",
        runs.len()
    ));
    let over = retries::overruns(&runs, MAX_ATTEMPTS);
    if !over.is_empty() {
        cluster.record_violation(format!(
            "{} requests ran on more than {MAX_ATTEMPTS} endpoints: {over:?}",
            over.len()
        ));
    }
}

/// True if the endpoint ended or was cut off between the start of the run and the end of the
/// request.
fn has_ended(cluster: &Cluster, index: usize, sent: &Sent, from: Instant) -> bool {
    let engine = &cluster.backends[index].engine;
    let times = from..=sent.ended_at;
    let is_cut = |scope| scope == Scope::Ended(index) || scope == Scope::Links(sent.node);
    cluster.any_fault_during(is_cut, from, sent.ended_at)
        || engine
            .crashes()
            .iter()
            .any(|crash| times.contains(&crash.at))
        || engine.falls().iter().any(|fall| times.contains(&fall.at))
}

/// Counts the requests of nodes in touch, at endpoints without a fault.
fn check_deadlines(cluster: &Cluster, service: &'static str, sent: &SentById) {
    let arrivals: Vec<_> = backends(cluster, service)
        .flat_map(|(index, backend)| {
            let arrivals = backend.engine.arrivals().into_iter();
            arrivals.map(move |arrival| (index, arrival))
        })
        .collect();
    let timed = arrivals.iter().filter_map(|(index, arrival)| {
        let sent = sent.get(arrival.request.as_str())?;
        let concerns = |scope| {
            scope == Scope::Endpoint(*index)
                || scope == Scope::Links(sent.node)
                || scope == Scope::Node(sent.node)
                || scope == Scope::Planned(sent.node)
                || scope == Scope::Store
        };
        let is_excused = cluster.any_fault_between(concerns, arrival.at, arrival.at);
        (!is_excused).then(|| Timed {
            request: &arrival.request,
            at_s: seconds(cluster, arrival.at),
            caller_end_s: seconds(cluster, sent.at + sent.time_limit),
            given_s: arrival.deadline.map(|left| left.as_secs_f64()),
        })
    });
    let timed: Vec<Timed> = timed.collect();
    cluster.record_event(format!(
        "deadlines at {service}: {} of {} arrivals count",
        timed.len(),
        arrivals.len()
    ));
    let late = retries::late_deadlines(&timed);
    if let Some(first) = late.first() {
        cluster.record_violation(format!(
            "{} of {} requests of {service} had a deadline that was missing or too late, as {first:?}",
            late.len(),
            timed.len()
        ));
    }
}
