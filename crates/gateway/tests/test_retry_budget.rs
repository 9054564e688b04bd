//! The window in which a node counts requests and retries.

use std::sync::Arc;
use std::time::Duration;

use flamingolock_gateway::control::retry_budget::{RetryBudget, SlackShare};

const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;

const ALONE: SlackShare = SlackShare {
    nodes: Some(1),
    counts_since: 0,
    is_new: false,
};

fn budget() -> RetryBudget {
    RetryBudget::new(RATIO, Duration::from_millis(WINDOW_MS), SLACK)
}

/// Number of retries that are granted at one moment.
fn retries(budget: &mut RetryBudget, service: &Arc<str>, now: u64) -> usize {
    let granted = (0..1_000).take_while(|_| budget.try_retry(service, ALONE, now).granted);
    granted.count()
}

#[test]
fn retry_counts_until_it_has_left_the_window_itself() {
    let service = Arc::from("s");
    for late in [1, 250, 499] {
        let mut budget = budget();
        let first = 20_000 + late;
        let all = retries(&mut budget, &service, first);
        assert!(all > 0);
        assert_eq!(retries(&mut budget, &service, first + WINDOW_MS - 1), 0);
        // It counts for no more than an interval beyond that.
        assert_eq!(retries(&mut budget, &service, first + WINDOW_MS + 500), all);
    }
}

#[test]
fn request_counts_no_longer_than_it_is_in_the_window() {
    let service = Arc::from("s");
    let mut budget = budget();
    let slack = retries(&mut budget, &service, 20_000);
    for _ in 0..1_000 {
        budget.record_request(&service, 30_999);
    }
    let with_requests = retries(&mut budget, &service, 30_999);
    assert!(with_requests > slack);
    assert_eq!(retries(&mut budget, &service, 41_500), slack);
}
