//! Reports of a run's first token and its end.

use flamingolock_wire::gossip::BegunStream;

use crate::clock::now;
use crate::control::begun_streams::request_key;
use crate::control::suspects::CrashedRun;
use crate::control::{Event, Grant, Handle, RunEnd};
use crate::endpoint::EndpointKey;
use crate::exchange::Exchange;

/// Reports the end of a run to the control thread. If the guard is dropped before
/// [`RunGuard::end`], the run counts as left by the caller.
#[derive(Debug)]
pub struct RunGuard {
    handle: Handle,
    endpoint: EndpointKey,
    number: u64,
    model: Option<String>,
    /// Stream that begins with the run, if it may be resumed.
    stream: Option<BegunStream>,
    /// What the run says of its prompt parts and its request if it ends with its endpoint
    /// now; none once it has brought an event.
    crash: Option<CrashedRun>,
    open: bool,
}

impl RunGuard {
    /// Starts to guard the run of `grant`; `resumed` tells whether the caller already has
    /// events of its stream.
    pub fn new(handle: &Handle, grant: &Grant, exchange: &Exchange, resumed: bool) -> Self {
        let begins = exchange.route.resumable && !resumed;
        Self {
            handle: handle.clone(),
            endpoint: grant.endpoint.key(),
            number: grant.run_number,
            model: exchange.head.model.clone(),
            stream: begins.then(|| BegunStream {
                request: request_key(&exchange.request_id),
                build: grant.endpoint.build.to_string(),
                age_ms: 0,
            }),
            crash: Some(CrashedRun {
                engine: grant.endpoint.incarnation(),
                subjects: exchange.subjects(),
                sent_at: now(),
                begun: false,
            }),
            open: true,
        }
    }

    /// Records that the response has begun.
    pub fn response_begun(&mut self) {
        if let Some(crash) = &mut self.crash {
            crash.begun = true;
        }
    }

    /// Records that the run has brought a whole event, or its whole response.
    pub fn answered(&mut self) {
        if let Some(crash) = self.crash.take() {
            self.handle.send(Event::RunAnswered(crash.subjects));
        }
    }

    /// Reports that the run ended with its connection.
    pub fn broken(mut self) {
        if let Some(crash) = self.crash.take() {
            self.handle.send(Event::RunCrashed(crash));
        }
        self.finish(RunEnd::Broken);
    }

    /// Reports that the first bytes of the response body have arrived.
    pub fn first_token(&self, weights: Option<u64>) {
        self.handle.send(Event::FirstToken {
            endpoint: self.endpoint,
            run_number: self.number,
            weights,
            model: self.model.clone(),
            begun: self.stream.clone(),
        });
    }

    /// Reports how the run ended.
    pub fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if std::mem::take(&mut self.open) {
            self.handle.send(Event::RunEnded {
                endpoint: self.endpoint,
                run_number: self.number,
                end,
                model: self.model.take(),
            });
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunEnd::CallerLeft);
    }
}
