//! Token buckets of workspaces' quotas that this node owns.
//!
//! Each workspace has a bucket in each of two slots, with half of its quota. A bucket starts
//! empty when the node becomes its owner and is dropped when it stops being that. Whatever an
//! earlier owner granted, successive owners therefore grant no more than the rate times the
//! time and one capacity.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::workspaces::Quota;

/// Number of buckets of a workspace, each with an owner of its own.
pub const SLOTS: u32 = 2;

/// Time from the gain of a bucket until it begins to fill, in ms. The earlier owner learns
/// only from gossip that it is replaced, and may grant until then.
const TAKEOVER_DELAY_MS: Millis = 1_000;

/// Length of the intervals in which grants are summed, in ms.
const INTERVAL_MS: Millis = 250;

/// Time in which a datagram may arrive a second time, in ms.
const REPEAT_MS: Millis = 500;

/// Share of the nodes that must be heard for a bucket to go below zero: the owners on both
/// sides of a partition would do so for the same quota.
const MIN_OVERDRAFT_SHARE: f64 = 0.9;

/// Smallest capacity of a bucket: the cost of one request that is counted as such.
const MIN_CAPACITY: f64 = 1.0;

/// Maximum time after which a refused client is asked to return, in ms.
const MAX_RETURN_MS: f64 = 10_000.0;

/// Part of a bucket's capacity up to which a request's cost is small.
const SMALL_SHARE: f64 = 0.25;

/// A bucket: name of the workspace and slot.
pub type BucketKey = (String, u32);

/// An ask: address of its node and number of the ask there.
pub type AskKey = (SocketAddr, u64);

/// What an ask is for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Slot of the bucket.
    pub slot: u32,
    /// Cost of the request, in the unit of the quota.
    pub cost: u32,
    /// Longest time until the grant is usable, in ms.
    pub max_wait: Millis,
}

/// Answer to an ask for quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be sent after this time, in ms.
    Granted(Millis),
    /// There is quota for the request after this time, in ms.
    Refused(Millis),
    /// This node does not own the bucket.
    NotOwner,
    /// The ask was decided before.
    Repeated,
}

/// Bound of what the requests of a workspace may cost, as the platform states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Time in which the costs are summed, in ms.
    pub window: Millis,
    /// Cost units that a window may hold in addition to the quota.
    pub slack: f64,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    bound: QuotaBound,
    share: f64,
    gained_at: Millis,
    filled_at: Millis,
    /// Cost units that may be granted; below zero if future ones are reserved.
    balance: f64,
    /// Sums granted in the last window, by the start of their interval.
    granted: VecDeque<(Millis, f64)>,
    /// When the last refused client is asked to return, in ms.
    return_at: f64,
}

impl Bucket {
    fn new(quota: Quota, bound: QuotaBound, share: f64, now: Millis) -> Self {
        Self {
            quota,
            bound,
            share,
            gained_at: now,
            filled_at: now + TAKEOVER_DELAY_MS,
            balance: 0.0,
            granted: VecDeque::new(),
            return_at: 0.0,
        }
    }

    /// Capacity while all nodes are heard.
    fn full_capacity(&self) -> f64 {
        self.quota.capacity(SLOTS, self.bound.slack)
    }

    /// Never less than the smallest cost, so that a silent node does not shut out a workspace
    /// with a small quota.
    fn capacity(&self) -> f64 {
        (self.full_capacity() * self.share).max(MIN_CAPACITY)
    }

    /// Cost units that are added each ms.
    fn rate(&self) -> f64 {
        self.quota.per_second * self.share / f64::from(SLOTS) / 1_000.0
    }

    fn fill(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let filled = self.balance + passed as f64 * self.rate();
        self.balance = filled.min(self.capacity());
        while self
            .granted
            .front()
            .is_some_and(|(start, _)| start + INTERVAL_MS + self.bound.window <= now)
        {
            self.granted.pop_front();
        }
    }

    fn update(&mut self, quota: &Quota, share: f64, now: Millis) {
        self.fill(now);
        if self.quota != *quota {
            // The sums were granted under another limit.
            self.granted.clear();
            self.quota = quota.clone();
        }
        self.share = share;
        self.fill(now);
    }

    /// Cost units that may be granted without exceeding what a window allows. The balance
    /// alone does not ensure that, as returned grants add to it later than they were made.
    fn left_in_window(&self) -> f64 {
        let granted: f64 = self.granted.iter().map(|(_, sum)| sum).sum();
        let rate = self.quota.per_second / f64::from(SLOTS) / 1_000.0;
        self.full_capacity() + rate * self.bound.window as f64 - granted
    }

    /// Balance that a request of this cost needs.
    fn needed(&self, cost: f64, now: Millis) -> f64 {
        let is_settled = now >= self.gained_at + TAKEOVER_DELAY_MS + self.bound.window;
        if is_settled && self.share >= MIN_OVERDRAFT_SHARE {
            cost.min(self.capacity())
        } else {
            cost
        }
    }

    fn decide(&mut self, ask: &Ask<'_>, now: Millis) -> QuotaDecision {
        self.fill(now);
        let cost = f64::from(ask.cost);
        let needed = self.needed(cost, now);
        let missing = (needed - self.balance).max(0.0);
        let wait = self.filled_at.saturating_sub(now) as f64 + missing / self.rate();
        // A bucket never holds more than its capacity.
        let is_possible = needed <= self.capacity().max(self.balance);
        let fits = self.balance >= needed || is_possible && wait <= ask.max_wait as f64;
        if fits && self.window_allows(cost) {
            self.balance -= cost;
            self.add_granted(cost, now);
            return QuotaDecision::Granted(wait.ceil() as Millis);
        }
        let earliest = now as f64 + wait.clamp(1.0, MAX_RETURN_MS);
        let latest = now as f64 + MAX_RETURN_MS;
        // One refused client after the other returns, as their costs become available.
        self.return_at = self.return_at.max(earliest).min(latest);
        let after = self.return_at - now as f64;
        self.return_at += (cost / self.rate()).min(MAX_RETURN_MS);
        QuotaDecision::Refused(after.ceil() as Millis)
    }

    fn window_allows(&self, cost: f64) -> bool {
        // A request that is larger than the capacity is granted by the balance alone.
        cost > self.full_capacity() || cost <= self.left_in_window()
    }

    fn add_granted(&mut self, cost: f64, now: Millis) {
        let start = now - now % INTERVAL_MS;
        match self.granted.back_mut() {
            Some((last, sum)) if *last == start => *sum += cost,
            _ => self.granted.push_back((start, cost)),
        }
    }

    fn take_back(&mut self, grant: &Granted, now: Millis) {
        self.fill(now);
        let start = grant.at - grant.at % INTERVAL_MS;
        if let Some((_, sum)) = self.granted.iter_mut().find(|(at, _)| *at == start) {
            *sum = (*sum - f64::from(grant.cost)).max(0.0);
        }
        self.balance = (self.balance + f64::from(grant.cost)).min(self.capacity());
    }
}

/// A grant that may be returned.
#[derive(Debug)]
struct Granted {
    bucket: BucketKey,
    cost: u32,
    at: Millis,
}

/// Buckets that this node owns, and the grants that it made from them.
#[derive(Debug)]
pub struct QuotaBuckets {
    bound: QuotaBound,
    buckets: BTreeMap<BucketKey, Bucket>,
    grants: BTreeMap<AskKey, Granted>,
    /// Asks that were refused lately. Granting a repeated datagram of one would cost quota
    /// that nobody uses.
    refused: BTreeMap<AskKey, Millis>,
}

impl QuotaBuckets {
    /// No buckets; their grants will keep to this bound.
    pub fn new(bound: QuotaBound) -> Self {
        Self {
            bound,
            buckets: BTreeMap::new(),
            grants: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Returns the slot that a request asks first. Small requests use up the first bucket
    /// before the second one, which therefore holds enough for a large one: of two half-full
    /// buckets, neither does.
    pub fn preferred_slot(&self, quota: &Quota, cost: u32) -> u32 {
        let capacity = quota.capacity(SLOTS, self.bound.slack);
        u32::from(f64::from(cost) > capacity * SMALL_SHARE)
    }

    /// Number of buckets.
    pub fn count(&self) -> usize {
        self.buckets.len()
    }

    /// Sets which buckets this node owns, with their quotas and the share of the nodes that
    /// it hears. Drops the others, and creates those that are new.
    pub fn own(&mut self, owned: &BTreeMap<BucketKey, Quota>, share: f64, now: Millis) {
        self.buckets.retain(|key, _| owned.contains_key(key));
        for (key, quota) in owned {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.update(quota, share, now);
            } else {
                let bucket = Bucket::new(quota.clone(), self.bound, share, now);
                self.buckets.insert(key.clone(), bucket);
            }
        }
        self.refused.retain(|_, at| now < *at + REPEAT_MS);
        let (buckets, window) = (&self.buckets, self.bound.window);
        self.grants
            .retain(|_, grant| buckets.contains_key(&grant.bucket) && now < grant.at + window);
    }

    /// Lets the buckets fill from now on, without waiting for earlier owners: there are none.
    pub fn fill_from(&mut self, now: Millis) {
        for bucket in self.buckets.values_mut() {
            bucket.filled_at = bucket.filled_at.min(now);
        }
    }

    /// Drops all buckets.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.grants.clear();
        self.refused.clear();
    }

    /// Decides on an ask.
    pub fn decide(&mut self, key: AskKey, ask: &Ask<'_>, now: Millis) -> QuotaDecision {
        if self.grants.contains_key(&key) || self.refused.contains_key(&key) {
            return QuotaDecision::Repeated;
        }
        let bucket_key = (ask.workspace.to_owned(), ask.slot);
        let Some(bucket) = self.buckets.get_mut(&bucket_key) else {
            return QuotaDecision::NotOwner;
        };
        let decision = bucket.decide(ask, now);
        if matches!(decision, QuotaDecision::Granted(_)) {
            let granted = Granted {
                bucket: bucket_key,
                cost: ask.cost,
                at: now,
            };
            self.grants.insert(key, granted);
        } else {
            self.refused.insert(key, now);
        }
        decision
    }

    /// Takes back a grant that was not used. Returns false if this node has not made it in
    /// this ownership, or got it back before.
    pub fn take_back(&mut self, key: AskKey, now: Millis) -> bool {
        let Some(grant) = self.grants.remove(&key) else {
            return false;
        };
        let Some(bucket) = self.buckets.get_mut(&grant.bucket) else {
            return false;
        };
        bucket.take_back(&grant, now);
        true
    }

    /// Balance of a bucket, for logs.
    pub fn balance(&self, workspace: &str, slot: u32) -> Option<i64> {
        let bucket = self.buckets.get(&(workspace.to_owned(), slot))?;
        Some(bucket.balance as i64)
    }
}
