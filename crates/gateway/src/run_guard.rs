//! Reports of a run's first token and its end.

use std::sync::Arc;

use flamingolock_wire::gossip::BegunStream;

use crate::clock::now;
use crate::control::begun_streams::request_key;
use crate::control::suspects::CrashedRun;
use crate::control::{Event, Grant, Handle, RunEnd};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::exchange::{Exchange, ProxyContext};
use crate::orders;

/// Reports the end of a run to the control thread. If the guard is dropped before
/// [`RunGuard::end`], the run counts as left by the caller.
#[derive(Debug)]
pub struct RunGuard {
    handle: Handle,
    dialect: &'static Dialect,
    endpoint: Arc<Endpoint>,
    number: u64,
    model: Option<String>,
    /// Streams that begin or go on with the run, if they may be resumed: that of the request,
    /// and that of the earlier one that it resumes.
    streams: Vec<BegunStream>,
    /// What the run says of its prompt parts and its request if it ends with its endpoint
    /// now; none once it has brought an event.
    crash: Option<CrashedRun>,
    open: bool,
}

impl RunGuard {
    /// Starts to guard the run of `grant`; `resumed` tells whether the caller already has
    /// events of this response.
    pub fn new(context: &ProxyContext, grant: &Grant, exchange: &Exchange, resumed: bool) -> Self {
        let begins = exchange.route.resumable && !resumed;
        // The caller of a resumed stream goes on to name the request that began it.
        let requests = [
            Some(&*exchange.request_id),
            exchange.head.resumes.as_deref(),
        ];
        let requests = requests.into_iter().flatten().filter(|_| begins);
        let stream = |id: &str| BegunStream {
            request: request_key(id),
            build: grant.endpoint.build.to_string(),
            age_ms: 0,
            timeout_ms: exchange.route.timeout.as_millis() as u32,
            engine: grant.endpoint.short_incarnation(),
        };
        Self {
            handle: context.handle.clone(),
            dialect: context.dialect,
            endpoint: grant.endpoint.clone(),
            number: grant.run_number,
            model: exchange.head.model.clone(),
            streams: requests.map(stream).collect(),
            crash: Some(CrashedRun {
                engine: grant.endpoint.incarnation(),
                service: grant.endpoint.service.clone(),
                subjects: exchange.subjects(),
                sent_at: now(),
                ended_at: now(),
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
        for stream in self.streams.drain(..) {
            let run = (self.endpoint.key(), self.number);
            self.handle.send(Event::StreamRuns(run, stream.clone()));
            self.handle.send(Event::StreamBegun(stream));
        }
        if let Some(crash) = self.crash.take() {
            let answered = Event::RunAnswered(crash.service, crash.subjects);
            self.handle.send(answered);
        }
    }

    /// Reports that the run ended with its connection, and whether its endpoint has ended
    /// as well.
    pub fn broken(mut self) {
        if let Some(mut crash) = self.crash.take() {
            crash.ended_at = now();
            let (handle, endpoint) = (self.handle.clone(), self.endpoint.clone());
            tokio::spawn(report_crash(handle, self.dialect, endpoint, crash));
        }
        self.finish(RunEnd::Broken);
    }

    /// Reports that the first bytes of the response body have arrived.
    pub fn first_token(&self, weights: Option<u64>) {
        self.handle.send(Event::FirstToken {
            endpoint: self.endpoint.key(),
            run_number: self.number,
            weights,
            model: self.model.clone(),
        });
    }

    /// Reports how the run ended.
    pub fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if std::mem::take(&mut self.open) {
            self.handle.send(Event::RunEnded {
                endpoint: self.endpoint.key(),
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

/// Reports a crash unless the endpoint still runs: then the run lost its connection only,
/// or its response was no good.
async fn report_crash(
    handle: Handle,
    dialect: &'static Dialect,
    endpoint: Arc<Endpoint>,
    crash: CrashedRun,
) {
    if orders::still_runs(dialect, &endpoint).await {
        log::info!(endpoint = &*endpoint.id; "endpoint runs on after a run has ended early");
    } else {
        handle.send(Event::RunCrashed(crash));
    }
}
