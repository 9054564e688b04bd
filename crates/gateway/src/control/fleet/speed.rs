//! Learned speed of an engine.

use std::collections::VecDeque;

/// Largest factor by which an engine may be slower, or faster, than the assumed rate.
const MAX_SLOWDOWN: f64 = 64.0;

/// Weight of the first guess, relative to one long prompt that met no queue. A single
/// outlier does not outweigh it.
const GUESS_WEIGHT: f64 = 1.0;

/// Weight of a prompt that met a queue: when its prefill began follows from the first token
/// before it, which may be that of another node and be known late.
const QUEUED_WEIGHT: f64 = 0.5;

/// Sum of the weights of the observations that count. A change is followed after half of
/// it, and fewer outliers than that have no effect.
const WINDOW_WEIGHT: f64 = 4.0;

/// Largest part of a wait that is taken for the first step. Engines may take less than
/// assumed, and a wait of little more than the step says little about the prefill.
const MAX_STEP_SHARE: f64 = 0.5;

/// Shortest interval between two first tokens from which speed is learned, in ms: the
/// clock has a resolution of 1 ms.
const MIN_INTERVAL_MS: f64 = 2.0;

/// Time to the first token of one request.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTime {
    /// Time from sending the request to its first token, in ms.
    pub took_ms: f64,
    /// Time from the first token of another request at the engine to this one, in ms, if
    /// that came after the request was sent.
    pub interval_ms: Option<f64>,
    /// Time to prefill its prompt at the assumed rate, in ms.
    pub prefill_ms: f64,
    /// Assumed time from the end of prefill to the first token, in ms.
    pub step_ms: f64,
    /// Number of requests without a first token when it was sent.
    pub ahead: usize,
}

impl PrefillTime {
    /// Time that the prefill took and the weight of this, if anything is known.
    fn observed(&self) -> Option<(f64, f64)> {
        let read_ms = (self.took_ms - self.step_ms).max(self.took_ms * (1.0 - MAX_STEP_SHARE));
        match (self.ahead, self.interval_ms) {
            (0, _) => Some((read_ms, 1.0)),
            // Several first tokens were reported at once, so the interval says nothing.
            (_, Some(interval)) if interval < MIN_INTERVAL_MS => None,
            // An engine prefills one prompt after the other, and both tokens take a step.
            (_, Some(interval)) => Some((interval, QUEUED_WEIGHT)),
            // It overtook those ahead of it, or their news is late.
            (_, None) => Some((read_ms, QUEUED_WEIGHT)),
        }
    }
}

/// Factor by which an engine's prefill is slower than the assumed rate: the weighted median
/// of recent observations.
#[derive(Clone, Debug)]
pub struct Speed {
    /// Observed factors and their weights, oldest first.
    observed: VecDeque<(f64, f64)>,
    slowdown: f64,
    is_learned: bool,
}

impl Speed {
    /// Speed of an engine of which nothing was observed.
    pub fn new(guess: f64) -> Self {
        Self {
            observed: VecDeque::from([(guess, GUESS_WEIGHT)]),
            slowdown: guess,
            is_learned: false,
        }
    }

    /// The factor; above 1 if the engine is slower than assumed.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The factor, if observations outweigh the first guess.
    pub fn learned(&self) -> Option<f64> {
        self.is_learned.then_some(self.slowdown)
    }

    /// Records the first token of a request.
    pub fn record(&mut self, time: &PrefillTime) {
        let Some((read_ms, trust)) = time.observed() else {
            return;
        };
        let PrefillTime {
            prefill_ms,
            step_ms,
            ..
        } = *time;
        if prefill_ms <= 0.0 {
            return;
        }
        // The unknown part of the first step matters less in a longer prompt.
        let weight = trust * prefill_ms / (prefill_ms + step_ms);
        let factor = (read_ms / prefill_ms).clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
        self.observed.push_back((factor, weight));
        self.drop_oldest();
        self.slowdown = weighted_median(self.observed.iter().copied());
        let seen: f64 = self.observed.iter().skip(1).map(|(_, weight)| weight).sum();
        self.is_learned |= seen > GUESS_WEIGHT;
    }

    /// Drops the observations that are not needed for a window of full weight.
    fn drop_oldest(&mut self) {
        let mut total: f64 = self.observed.iter().map(|(_, weight)| weight).sum();
        while let Some((_, oldest)) = self.observed.front()
            && total - oldest >= WINDOW_WEIGHT
        {
            total -= oldest;
            self.observed.pop_front();
        }
    }
}

/// The value below which half of the weight lies; 1 if there is none.
fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut sorted: Vec<_> = values.collect();
    sorted.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let half = sorted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let middle = sorted.iter().find(|(_, weight)| {
        below += weight;
        below >= half
    });
    middle.map_or(1.0, |(value, _)| *value)
}

/// First guess for a new engine: the median of the factors learned of others.
pub fn first_guess(learned: impl Iterator<Item = f64>) -> f64 {
    weighted_median(learned.map(|factor| (factor, 1.0)))
}
