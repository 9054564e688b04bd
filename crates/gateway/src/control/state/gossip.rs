//! Gossip between nodes.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingolock_wire::gossip::{Gossip, NodeState, Reload, Run};
use prost::Message;

use super::{Control, GOSSIP_INTERVAL_MS};
use crate::clock::Millis;
use crate::control::Effect;
use crate::control::begun_streams::StreamSource;
use crate::control::load::Load;
use crate::control::suspect::Subject;

/// Maximum number of runs per datagram, which keeps it below the usual packet size.
const MAX_DATAGRAM_RUNS: usize = 24;

/// Maximum number of streams per datagram, for the same reason.
const MAX_DATAGRAM_STREAMS: usize = 24;

/// Maximum number of limits per datagram, for the same reason.
const MAX_DATAGRAM_LIMITS: usize = 24;

/// Maximum number of suspects of each kind per datagram, for the same reason.
const MAX_DATAGRAM_SUSPECTS: usize = 8;

/// Maximum number of node states, endpoint faults and loads of weights per datagram. A hub
/// tells all of its fleet's; with more they don't fit into the buffer of a receiver.
const MAX_DATAGRAM_STATES: usize = 48;

/// Takes from a message what does not fit into one datagram.
fn split_off_rest(gossip: &mut Gossip) -> Option<Gossip> {
    let rest = Gossip {
        sender: gossip.sender.clone(),
        relayed: gossip.relayed,
        is_history: gossip.is_history,
        runs: split_off(&mut gossip.runs, MAX_DATAGRAM_RUNS),
        streams: split_off(&mut gossip.streams, MAX_DATAGRAM_STREAMS),
        suspects: split_off(&mut gossip.suspects, MAX_DATAGRAM_SUSPECTS),
        suspect_requests: split_off(&mut gossip.suspect_requests, MAX_DATAGRAM_SUSPECTS),
        limits: split_off(&mut gossip.limits, MAX_DATAGRAM_LIMITS),
        heard: split_off(&mut gossip.heard, MAX_DATAGRAM_STATES),
        faults: split_off(&mut gossip.faults, MAX_DATAGRAM_STATES),
        reloads: split_off(&mut gossip.reloads, MAX_DATAGRAM_STATES),
        brittle: split_off(&mut gossip.brittle, MAX_DATAGRAM_LIMITS),
        full: split_off(&mut gossip.full, MAX_DATAGRAM_LIMITS),
        ..Gossip::default()
    };
    let is_empty = rest.runs.is_empty()
        && rest.heard.is_empty()
        && rest.faults.is_empty()
        && rest.reloads.is_empty()
        && rest.streams.is_empty()
        && rest.suspects.is_empty()
        && rest.suspect_requests.is_empty()
        && rest.limits.is_empty()
        && rest.brittle.is_empty()
        && rest.full.is_empty();
    (!is_empty).then_some(rest)
}

fn split_off<T>(list: &mut Vec<T>, most: usize) -> Vec<T> {
    list.split_off(list.len().min(most))
}

impl Control {
    pub(super) fn queue_run_update(&mut self, run: Run, now: Millis) {
        self.outgoing_runs.push(run);
        self.gossip_pending_at.get_or_insert(now);
    }

    pub(super) fn own_state(&self, now: Millis) -> NodeState {
        NodeState {
            incarnation: self.incarnation,
            callers: self.settings.callers.to_string(),
            zone: self.settings.zone.clone(),
            leaving: self.shutdown_at.is_some(),
            ready: self.catalog.is_some(),
            lease_end: self.lease.own_end(),
            name: self.settings.node.clone(),
            gossip: self.settings.gossip.to_string(),
            capacity: self.settings.capacity,
            store_reachable: !self.store_unreachable,
            control_port: self
                .settings
                .control
                .map_or(0, |address| address.port().into()),
            issues_permits: self.issues_permits(now),
            takes_requests: self.settings.control.is_some(),
            grants_quota: self.grants_quota(now),
            just_started: self.has_just_started(now),
            deferred: self.deferred_count(),
            several_hubs: true,
            cut_off: self
                .reach
                .cut_services()
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }

    pub(super) fn send_gossip(&mut self, now: Millis) {
        self.gossip_pending_at = None;
        self.gossip_sent_at = now;
        let own_state = self.own_state(now);
        let mut targets = self.peers.targets(&own_state, now);
        self.role = targets.role;
        let is_hub = targets.role.is_hub();
        targets.local.append(&mut self.introduce_to);
        let mut reloads = self.own_reloads(now);
        let loaded = std::mem::take(&mut self.rollout.loaded);
        reloads.extend(loaded.into_iter().map(|endpoint| Reload {
            endpoint,
            is_done: true,
            ..Reload::default()
        }));
        if std::mem::take(&mut self.rollout.has_learnt) {
            self.outgoing_load_times = self.rollout.load_times.list(now);
        }
        reloads.append(&mut self.outgoing_reloads);
        let (heard, alive) = self.tell_members(&targets.members, now);
        let (operator, endpoints) = self.copy_reports(now);
        let local = Gossip {
            sender: Some(own_state.clone()),
            operator,
            endpoints,
            runs: std::mem::take(&mut self.outgoing_runs),
            reloads,
            faults: std::mem::take(&mut self.outgoing_faults),
            streams: std::mem::take(&mut self.outgoing_streams),
            relayed: is_hub,
            heard,
            alive,
            suspects: self.suspect_parts.take_news(now),
            suspect_requests: self.suspect_requests.take_news(now),
            limits: self.limits.take_news(now),
            brittle: self.brittle.take_news(now),
            full: std::mem::take(&mut self.outgoing_full),
            load_times: std::mem::take(&mut self.outgoing_load_times),
            ..Gossip::default()
        };
        let relayed = std::mem::take(&mut self.relayed);
        self.send_in_datagrams(local, &targets.local, now);
        if !relayed.is_empty() {
            self.send_in_datagrams(relayed.into_message(own_state), &targets.members, now);
        }
    }

    /// Sends a message, split into as many datagrams as its lists require.
    pub(super) fn send_in_datagrams(
        &mut self,
        mut gossip: Gossip,
        addresses: &[SocketAddr],
        now: Millis,
    ) {
        if addresses.is_empty() {
            return;
        }
        loop {
            let rest = split_off_rest(&mut gossip);
            gossip.sent_at_ms = now;
            let bytes = Bytes::from(gossip.encode_to_vec());
            self.effects
                .push(Effect::SendDatagram(addresses.to_vec(), bytes));
            match rest {
                Some(rest) => gossip = rest,
                None => return,
            }
        }
    }

    /// Logs that datagrams of other nodes are late, and that they no longer are.
    pub(super) fn report_late_datagrams(&mut self, now: Millis) {
        if let Some(report) = self.transits.take_report(now) {
            log::info!(late = report.late, datagrams = report.datagrams, max_delay_ms = report.max_delay,
                nodes = self.peers.alive(now).count(), is_hub = self.role.is_hub();
                "datagrams of other nodes in the last second");
        }
    }

    /// Returns the reloads that this node drives as the lease holder.
    pub(super) fn own_reloads(&self, now: Millis) -> Vec<Reload> {
        if !self.lease.held_by_me() {
            return Vec::new();
        }
        let mut reloads = Vec::new();
        for (key, state) in &self.fleet {
            if now >= state.loading_until && now >= state.reserved_until {
                continue;
            }
            for (model, version) in &state.weights {
                reloads.push(Reload {
                    endpoint: *key,
                    model: model.clone(),
                    version: *version,
                    remaining_ms: state.loading_until.saturating_sub(now) as u32,
                    elapsed_ms: state.load.as_ref().map_or(0, |load| load.elapsed(now)) as u32,
                    concurrent: state.load.as_ref().map_or(0, |load| load.concurrent) as u32,
                    sure_ms: state.load.as_ref().map_or(0, |load| load.sure_ms) as u32,
                    is_done: false,
                });
            }
        }
        reloads
    }

    pub(super) fn handle_datagram(&mut self, from: SocketAddr, bytes: Bytes, now: Millis) {
        let mut gossip = match Gossip::decode(bytes) {
            Ok(gossip) => gossip,
            Err(error) => {
                log::warn!(from:% = from, error:% = error; "cannot decode gossip datagram");
                return;
            }
        };
        let others = |sender: &&NodeState| sender.incarnation != self.incarnation;
        let sender = gossip.sender.as_ref().filter(others);
        let sender = sender.map(|sender| sender.incarnation);
        let delay = sender.map_or(0, |sender| {
            self.datagram_delay(sender, gossip.sent_at_ms, now)
        });
        // Ages count from when the message was written.
        let written_at = now.saturating_sub(delay);
        self.merge_limits(&gossip.limits, written_at);
        self.merge_brittleness(&gossip.brittle, written_at);
        self.merge_full(&gossip.full, now);
        if let Some(request) = gossip.permit_request {
            self.answer_permit_request(from, request, now);
        }
        if let Some(answer) = gossip.permit_answer {
            self.permit_answer_received(answer, now);
        }
        self.handle_quota_messages(from, &gossip, now);
        let Some(sender) = &gossip.sender else {
            return;
        };
        if sender.incarnation == self.incarnation {
            return;
        }
        let was_alive = self.peers.is_alive_at(from, now);
        if !was_alive {
            // The sender may not know this node yet.
            self.introduce_to.push(from);
            self.gossip_pending_at.get_or_insert(now);
        }
        let last_news = self.peers.last_news_of(from, sender.incarnation);
        self.update_peer(from, sender, false, now);
        if !was_alive || last_news.is_none() {
            self.send_history(from, last_news, now);
        }
        for stream in &gossip.streams {
            self.record_stream(stream, StreamSource::Node, now);
        }
        if let Some(builds) = &gossip.builds {
            self.learn_builds(builds, now);
        }
        let is_holder = self.lease.held_by_me();
        self.rollout
            .load_times
            .merge(&gossip.load_times, is_holder, written_at);
        self.merge_named_weights(&gossip.named_weights, now);
        self.merge_suspects(Subject::Part, &gossip.suspects, now);
        self.merge_suspects(Subject::Request, &gossip.suspect_requests, now);
        self.compare_copies(from, &gossip, delay, now);
        for incarnation in &gossip.alive {
            self.peers.confirm(*incarnation, now);
        }
        for state in &gossip.heard {
            if let Ok(address) = state.gossip.parse()
                && state.incarnation != self.incarnation
            {
                self.update_peer(address, state, true, now);
            }
        }
        let (node, zone) = (sender.incarnation, sender.zone.clone());
        for run in &mut gossip.runs {
            let late_ms = u32::try_from(delay).unwrap_or(u32::MAX);
            run.late_ms = run.late_ms.saturating_add(late_ms);
            let node = if run.node == 0 { node } else { run.node };
            if node != self.incarnation {
                self.apply_peer_run(node, run, now);
            }
        }
        // The holder's own news comes back through its hub, and is older than what it knows.
        if !self.lease.held_by_me() {
            for reload in &gossip.reloads {
                self.apply_reload(reload, now);
            }
        }
        for fault in &gossip.faults {
            let node = if fault.node == 0 { node } else { fault.node };
            if node != self.incarnation {
                self.apply_fault(node, fault, now);
            }
        }
        if self.role.is_hub() && !gossip.is_history {
            self.relay(gossip, node, &zone, now);
        }
    }

    /// Returns how long a datagram of this incarnation was under way, in ms: 0 if it does not
    /// tell when it was sent.
    fn datagram_delay(&mut self, sender: u64, sent_at: Millis, now: Millis) -> Millis {
        if sent_at == 0 {
            return 0;
        }
        let delay = self.transits.delay(sender, sent_at, now);
        self.metrics.record_datagram_delay(delay);
        delay
    }

    /// Records the state of another node. Returns true if the node has started again.
    pub(super) fn update_peer(
        &mut self,
        from: SocketAddr,
        state: &NodeState,
        via_hub: bool,
        now: Millis,
    ) -> bool {
        let replaced = self.peers.update(from, state, via_hub, now);
        if let Some(old) = replaced {
            for endpoint in self.fleet.values_mut() {
                endpoint.drop_runs_of(old);
            }
        }
        self.lease.observed(&state.name, state.lease_end, now);
        replaced.is_some()
    }

    pub(super) fn apply_reload(&mut self, reload: &Reload, now: Millis) {
        let Some(state) = self.fleet.get_mut(&reload.endpoint) else {
            return;
        };
        if reload.is_done {
            self.rollout.note_progress(now);
            state.load_done(now);
            return;
        }
        if reload.remaining_ms == 0 {
            state.reserved_until = now + GOSSIP_INTERVAL_MS;
            return;
        }
        let started_at = now.saturating_sub(Millis::from(reload.elapsed_ms));
        let mut load = Load::new(Some(reload.version), reload.concurrent as usize, started_at);
        load.sure_ms = reload.sure_ms.into();
        // The news of its start may be late.
        load.unwatched = true;
        if !state.load_told(load) {
            return;
        }
        state.loading_until = state
            .loading_until
            .max(now + Millis::from(reload.remaining_ms));
        if state.update_weights(&reload.model, reload.version) {
            self.parts.remove_engine(reload.endpoint);
        }
    }

    /// Handles the news of another node's run. It counts as of when it was written: runs of
    /// which all news comes at once seem to take no time.
    pub(super) fn apply_peer_run(&mut self, node: u64, run: &Run, now: Millis) {
        let Some(state) = self.fleet.get_mut(&run.endpoint) else {
            return;
        };
        let run_id = (node, run.number);
        let late_ms = Millis::from(run.late_ms);
        let told_at = now.saturating_sub(late_ms);
        match run.step {
            0 => {
                state.run_sent(run_id, run, told_at, late_ms);
                self.permit_issuer.record_sent(run.endpoint, now);
                if !run.reuses_place {
                    self.places.record_sent(run.endpoint);
                }
                self.parts.mark_prefilling(run.endpoint, &run.parts, now);
            }
            1 => {
                state.reachability.answered_other(now);
                let token_at = state.token_time(run_id, told_at);
                if let Some(first) = state.first_token(run_id, token_at) {
                    self.parts
                        .mark_cached(run.endpoint, &first.parts, first.is_stored, now);
                    self.engine_serves(run.endpoint, first.loaded_ms, now);
                }
            }
            _ => {
                state.record_run_time(run_id, run.step == 2, told_at);
                if run.step == 2 {
                    state.reachability.answered_other(now);
                }
                let unfinished = state.run_ended(run_id);
                self.parts.clear_prefilling(run.endpoint, &unfinished);
            }
        }
    }
}
