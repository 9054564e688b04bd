//! Asks of this node for quota, and the grants that it holds.
//!
//! A request asks the owners of its workspace's buckets one after the other. What it knows
//! of its asks is kept with the request while it waits. A grant belongs to that request:
//! unless the request runs, the grant is returned when it is dropped.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crossbeam::channel::{Receiver, Sender, unbounded};

use crate::clock::Millis;
use crate::control::quota_buckets::{QuotaDecision, SLOTS};

/// Time in which an owner answers, in ms.
const ASK_TIMEOUT_MS: Millis = 150;

/// Time for which a grant may be used after it becomes usable, in ms.
const GRANT_TTL_MS: Millis = 250;

/// Time for which an owner that did not answer is asked last, in ms.
const SILENT_OWNER_MS: Millis = 500;

/// Time after which a request asks again that found no owner, in ms.
const NO_OWNER_PAUSE_MS: Millis = 100;

/// Time after which no answer to an ask is expected any more, in ms.
const LATE_ANSWER_MS: Millis = 5_000;

/// A grant that is to be returned: its owner and its number.
pub type UnusedGrant = (SocketAddr, u64);

/// Right to send one request. It is returned to its owner when it is dropped.
#[derive(Debug)]
pub struct QuotaGrant {
    owner: SocketAddr,
    number: u64,
    usable_at: Millis,
    expires_at: Millis,
    returns: Option<Sender<UnusedGrant>>,
}

impl QuotaGrant {
    /// Keeps the grant from being returned, as its request ran.
    pub fn use_up(mut self) {
        self.returns = None;
    }
}

impl Drop for QuotaGrant {
    fn drop(&mut self) {
        if let Some(returns) = self.returns.take() {
            // The receiver ends with the process only.
            let _ = returns.send((self.owner, self.number));
        }
    }
}

/// What is known of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SlotState {
    #[default]
    NotAsked,
    /// Nobody owns the bucket, or its owner did not answer.
    NoAnswer,
    /// There is quota at this time; the request would not wait for it.
    RefusedNow(Millis),
    /// There is quota at this time, later than the request would wait.
    Refused(Millis),
}

#[derive(Clone, Copy, Debug)]
struct OwnAsk {
    number: u64,
    slot: u32,
    waits: bool,
    at: Millis,
}

/// What a waiting request knows of its asks.
#[derive(Debug, Default)]
pub struct RequestQuota {
    slots: [SlotState; SLOTS as usize],
    ask: Option<OwnAsk>,
    grant: Option<QuotaGrant>,
    /// When it may ask again after it found no owner.
    paused_until: Millis,
    /// Number of times that it found no owner.
    pauses: u32,
}

/// How a request goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskStep {
    /// It may be sent.
    Send,
    /// It waits for an answer, for its grant to become usable, or to ask again.
    Wait,
    /// It asks one of these slots for a grant.
    Ask([bool; SLOTS as usize]),
    /// The quota is used up until this time.
    Refused(Millis),
    /// The owner did not answer this ask.
    Unanswered(u64),
    /// Its grant has expired.
    Expired,
}

impl RequestQuota {
    /// Returns the next step.
    pub fn next_step(&mut self, now: Millis) -> AskStep {
        if let Some(grant) = &self.grant {
            if now < grant.usable_at {
                return AskStep::Wait;
            }
            if now < grant.expires_at {
                return AskStep::Send;
            }
            *self = Self::default();
            return AskStep::Expired;
        }
        if let Some(ask) = self.ask {
            if now < ask.at + ASK_TIMEOUT_MS {
                return AskStep::Wait;
            }
            self.ask = None;
            self.slots[ask.slot as usize] = SlotState::NoAnswer;
            return AskStep::Unanswered(ask.number);
        }
        if now < self.paused_until {
            return AskStep::Wait;
        }
        let not_asked = self.slots.map(|slot| slot == SlotState::NotAsked);
        if not_asked.contains(&true) {
            return AskStep::Ask(not_asked);
        }
        let may_wait = self
            .slots
            .map(|slot| matches!(slot, SlotState::RefusedNow(_)));
        if may_wait.contains(&true) {
            return AskStep::Ask(may_wait);
        }
        if let Some(until) = self.refused_until() {
            return AskStep::Refused(until);
        }
        self.slots = <[SlotState; SLOTS as usize]>::default();
        self.paused_until = now + NO_OWNER_PAUSE_MS;
        self.pauses += 1;
        AskStep::Wait
    }

    /// When there is quota again, if an owner has refused it.
    pub fn refused_until(&self) -> Option<Millis> {
        let times = self.slots.iter().filter_map(|slot| match slot {
            SlotState::Refused(until) | SlotState::RefusedNow(until) => Some(*until),
            SlotState::NotAsked | SlotState::NoAnswer => None,
        });
        times.min()
    }

    /// Records that nobody owns the bucket of a slot.
    pub fn no_owner(&mut self, slot: u32) {
        self.slots[slot as usize] = SlotState::NoAnswer;
    }

    /// True if no owner could be found at least once.
    pub fn lacks_owner(&self) -> bool {
        self.pauses > 0
    }

    /// True if it waits for the answer to this ask.
    pub fn awaits(&self, number: u64) -> bool {
        self.ask.is_some_and(|ask| ask.number == number)
    }

    /// True if the request holds a grant.
    pub fn has_grant(&self) -> bool {
        self.grant.is_some()
    }

    /// Takes the grant of a request that is sent.
    pub fn take_grant(&mut self) -> Option<QuotaGrant> {
        self.grant.take()
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    owner: SocketAddr,
    at: Millis,
}

/// Asks of this node that have no answer yet.
#[derive(Debug)]
pub struct QuotaAsks {
    last_number: u64,
    open: BTreeMap<u64, OpenAsk>,
    /// Owners that did not answer, and until when they are asked last.
    silent: BTreeMap<SocketAddr, Millis>,
    returns: (Sender<UnusedGrant>, Receiver<UnusedGrant>),
}

impl QuotaAsks {
    /// Creates a list of no asks. The first number differs between the processes that run at
    /// one address, as an owner may hold grants of an earlier one.
    pub fn new(first_number: u64) -> Self {
        Self {
            last_number: first_number,
            open: BTreeMap::new(),
            silent: BTreeMap::new(),
            returns: unbounded(),
        }
    }

    /// Records that a request asks the owner of a slot, and whether it waits for future quota.
    /// Returns the number of the ask.
    pub fn begin(
        &mut self,
        request: &mut RequestQuota,
        (slot, waits): (u32, bool),
        owner: SocketAddr,
        now: Millis,
    ) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.open.insert(number, OpenAsk { owner, at: now });
        request.ask = Some(OwnAsk {
            number,
            slot,
            waits,
            at: now,
        });
        number
    }

    /// True if no answer to this ask of an owner has arrived yet.
    pub fn is_open(&self, number: u64, owner: SocketAddr) -> bool {
        let ask = self.open.get(&number);
        ask.is_some_and(|ask| ask.owner == owner)
    }

    /// Handles the only answer to an ask. Without a request that waits for it, a grant is
    /// returned.
    pub fn answered(
        &mut self,
        number: u64,
        decision: QuotaDecision,
        request: Option<&mut RequestQuota>,
        now: Millis,
    ) {
        let Some(ask) = self.open.remove(&number) else {
            return;
        };
        self.silent.remove(&ask.owner);
        let grant = match decision {
            QuotaDecision::Granted(after) => {
                let usable_at = ask.at.saturating_add(after);
                Some(QuotaGrant {
                    owner: ask.owner,
                    number,
                    usable_at,
                    expires_at: usable_at.saturating_add(GRANT_TTL_MS),
                    returns: Some(self.returns.0.clone()),
                })
            }
            _ => None,
        };
        let Some((request, own)) = request.and_then(|request| {
            let own = request.ask.take_if(|own| own.number == number)?;
            Some((request, own))
        }) else {
            return;
        };
        request.grant = grant;
        request.slots[own.slot as usize] = match decision {
            QuotaDecision::Refused(after) if own.waits => {
                SlotState::Refused(now.saturating_add(after))
            }
            QuotaDecision::Refused(after) => SlotState::RefusedNow(now.saturating_add(after)),
            _ => SlotState::NoAnswer,
        };
    }

    /// Records that the owner did not answer an ask in time. Its answer may still arrive.
    pub fn unanswered(&mut self, number: u64, now: Millis) {
        if let Some(ask) = self.open.get(&number) {
            self.silent.insert(ask.owner, now + SILENT_OWNER_MS);
        }
    }

    /// True if an owner did not answer lately.
    pub fn is_silent(&self, owner: SocketAddr, now: Millis) -> bool {
        self.silent.get(&owner).is_some_and(|until| now < *until)
    }

    /// Returns the grants that are to be returned.
    pub fn take_unused(&self) -> Vec<UnusedGrant> {
        self.returns.1.try_iter().collect()
    }

    /// Forgets asks to which no answer is expected any more.
    pub fn forget_old(&mut self, now: Millis) {
        self.open.retain(|_, ask| now < ask.at + LATE_ANSWER_MS);
        self.silent.retain(|_, until| now < *until);
    }
}
