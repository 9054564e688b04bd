//! Results of a run, as tables and JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use flamingolock_core::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::outcome::{End, Outcome};

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Computes the percentiles of durations in microseconds.
    pub fn from_micros(times: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for time in times {
            // The histogram resizes automatically, so no duration is out of range.
            let _ = histogram.record(time);
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |percentile| histogram.value_at_percentile(percentile) as f64 / 1000.0;
        Self {
            p50: at(50.0),
            p95: at(95.0),
            p99: at(99.0),
        }
    }
}

/// Results of one workspace and request kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Request kind.
    pub kind: KindName,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Time to the first token of completions, or to the answer of calls.
    pub ttft_ms: Percentiles,
    /// Fraction of prompt tokens that were cached.
    pub prefix_hit_rate: f64,
}

/// Results of a run over all requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused explicitly, including calls reported as not run.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Streams that ended with an explicit error.
    pub failed: u64,
    /// Time to the first token of completions.
    pub ttft_ms: Percentiles,
    /// Time to the answer of calls.
    pub call_ms: Percentiles,
    /// Fraction of prompt tokens that were cached.
    pub prefix_hit_rate: f64,
    /// Prompt tokens that were computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Requests without an outcome.
    pub lost: u64,
    /// Calls that were executed more than once although they must not be.
    pub doubled: u64,
    /// Answers that don't match their request, and calls that were answered but never
    /// executed.
    pub mixed: u64,
    /// Answers that are incomplete and ended without an error.
    pub incomplete: u64,
    /// Calls that were reported as not run but were executed.
    pub false_not_run: u64,
    /// Number of requests by machine-readable reason, if they were not answered.
    pub codes: BTreeMap<String, u64>,
    /// Incorrect cache hits: on blocks of another workspace, of older weights or of an
    /// earlier incarnation of the engine.
    pub bad_hits: u64,
}

/// Counts of the endpoints, which callers cannot observe.
#[derive(Clone, Debug, Default)]
pub struct EndpointCounts {
    /// Number of executions by body of the call.
    pub executions: BTreeMap<String, u64>,
    /// Prompt tokens that were computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Incorrect cache hits.
    pub bad_hits: u64,
}

impl Summary {
    /// Summarises `outcomes` and checks them against the counts of the endpoints.
    pub fn new(outcomes: &[Outcome], counts: &EndpointCounts) -> Self {
        let mut summary = Self {
            requests: outcomes.len() as u64,
            recomputed_tokens: counts.recomputed_tokens,
            bad_hits: counts.bad_hits,
            ttft_ms: Percentiles::from_micros(answered_latencies(outcomes, false)),
            call_ms: Percentiles::from_micros(answered_latencies(outcomes, true)),
            prefix_hit_rate: hit_rate(outcomes),
            ..Self::default()
        };
        for outcome in outcomes {
            summary.count_end(&outcome.end);
            summary.check_call(outcome, counts);
        }
        summary
    }

    fn count_end(&mut self, end: &End) {
        if let Some(code) = end.code() {
            *self.codes.entry(code.to_owned()).or_default() += 1;
        }
        let counter = match end {
            End::Answered => &mut self.answered,
            End::Refused { .. } | End::NotRun { .. } => &mut self.refused,
            End::Unknown { .. } => &mut self.unknown,
            End::Failed { .. } => &mut self.failed,
            End::Mixed => &mut self.mixed,
            End::Incomplete => &mut self.incomplete,
            End::Lost => &mut self.lost,
        };
        *counter += 1;
    }

    fn check_call(&mut self, outcome: &Outcome, counts: &EndpointCounts) {
        let Some(body) = &outcome.at_most_once_body else {
            return;
        };
        let runs = counts.executions.get(body).copied().unwrap_or_default();
        if runs > 1 {
            self.doubled += 1;
        }
        if runs > 0 && matches!(outcome.end, End::NotRun { .. }) {
            self.false_not_run += 1;
        }
        if runs == 0 && outcome.end == End::Answered {
            self.mixed += 1;
        }
    }

    /// Returns true if no guarantee was violated.
    pub fn guarantees_held(&self) -> bool {
        let broken = self.lost
            + self.doubled
            + self.mixed
            + self.incomplete
            + self.false_not_run
            + self.bad_hits;
        broken == 0
    }
}

/// Returns the results by workspace and request kind.
pub fn rows(outcomes: &[Outcome]) -> Vec<Row> {
    let mut groups: BTreeMap<(&WorkspaceId, &KindName), Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        groups
            .entry((&outcome.workspace, &outcome.kind))
            .or_default()
            .push(outcome);
    }
    groups
        .into_iter()
        .map(|((workspace, kind), group)| Row {
            workspace: workspace.clone(),
            kind: kind.clone(),
            requests: group.len() as u64,
            answered: group
                .iter()
                .filter(|outcome| outcome.end == End::Answered)
                .count() as u64,
            ttft_ms: Percentiles::from_micros(
                group
                    .iter()
                    .filter(|outcome| outcome.end == End::Answered)
                    .map(|outcome| outcome.response_us),
            ),
            prefix_hit_rate: hit_rate(group.iter().copied()),
        })
        .collect()
}

/// Formats the results as a table for a terminal.
pub fn table(rows: &[Row], summary: &Summary) -> String {
    let mut text = String::new();
    let header = [
        "workspace",
        "kind",
        "requests",
        "answered",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "hits",
    ];
    let _ = writeln!(
        text,
        "{:<14} {:<16} {:>8} {:>8} {:>9} {:>9} {:>9} {:>6}",
        header[0], header[1], header[2], header[3], header[4], header[5], header[6], header[7],
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{:<14} {:<16} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>6.2}",
            row.workspace.as_str(),
            row.kind.as_str(),
            row.requests,
            row.answered,
            row.ttft_ms.p50,
            row.ttft_ms.p95,
            row.ttft_ms.p99,
            row.prefix_hit_rate,
        );
    }
    let _ = writeln!(
        text,
        "\nfirst token p50/p95/p99: {:.1} / {:.1} / {:.1} ms; prefix hit rate {:.3}; recomputed tokens {}",
        summary.ttft_ms.p50,
        summary.ttft_ms.p95,
        summary.ttft_ms.p99,
        summary.prefix_hit_rate,
        summary.recomputed_tokens,
    );
    let _ = writeln!(
        text,
        "requests {}, answered {}, refused {}, unknown {}, failed {}; \
         lost {}, doubled {}, mixed {}, incomplete {}, false not-run {}, bad hits {}",
        summary.requests,
        summary.answered,
        summary.refused,
        summary.unknown,
        summary.failed,
        summary.lost,
        summary.doubled,
        summary.mixed,
        summary.incomplete,
        summary.false_not_run,
        summary.bad_hits,
    );
    text
}

fn answered_latencies(outcomes: &[Outcome], calls: bool) -> impl Iterator<Item = u64> {
    outcomes
        .iter()
        .filter(move |outcome| (outcome.prompt_tokens == 0) == calls)
        .filter(|outcome| outcome.end == End::Answered)
        .map(|outcome| outcome.response_us)
}

fn hit_rate<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> f64 {
    let (mut cached, mut all) = (0_u64, 0_u64);
    for outcome in outcomes {
        cached += u64::from(outcome.cached_tokens);
        all += u64::from(outcome.prompt_tokens);
    }
    if all == 0 {
        0.0
    } else {
        cached as f64 / all as f64
    }
}
