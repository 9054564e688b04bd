//! Route lookup and selection of backends.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use flamingolock_gateway::catalog::{Backend, RequestKind, Route, RouteTable};

fn route(name: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    let backends = backends
        .iter()
        .map(|(service, weight)| Backend {
            service: (*service).into(),
            weight: *weight,
        })
        .collect();
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        backends,
        kind: RequestKind::Safe,
        resumable: false,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        max_attempts: 2,
        priority: 0,
        public: false,
    }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = RouteTable::from_iter([
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ]);
    let find = |host, path| routes.find(host, path).map(|route| route.name.as_str());
    assert_eq!(find("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(find("A.example:8080", "/x/1"), Some("short"));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("c.example", "/x/"), None);
}

/// The route that a scan of all routes finds.
fn scan<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
}

proptest! {
    #[test]
    fn lookup_finds_what_a_scan_finds(
        prefixes in prop::collection::vec(("[ab]", "/([abé]{1,2}/){0,4}"), 0..40),
        host in "[abc]",
        path in "/([abé]{1,2}/){0,5}[ab]{0,2}",
    ) {
        let routes: Vec<Route> = prefixes
            .iter()
            .map(|(host, prefix)| route(prefix, host, prefix, &[("s", 1)]))
            .collect();
        let table: RouteTable = routes.iter().cloned().collect();
        let found = table.find(&host, &path).map(|route| &route.prefix);
        let expected = scan(&routes, &host, &path).map(|route| &route.prefix);
        prop_assert_eq!(found, expected);
    }
}

#[test]
fn lookup_time_does_not_grow_with_the_routes() {
    let lookups = |count: usize| {
        let routes = (0..count).map(|number| {
            let prefix = format!("/p{number}/");
            route("r", "a.example", &prefix, &[("s", 1)])
        });
        let table: RouteTable = routes.collect();
        let path = format!("/p{}/x", count / 2);
        let started = Instant::now();
        for _ in 0..2_000 {
            assert!(table.find("a.example", &path).is_some());
        }
        started.elapsed()
    };
    // A scan takes a thousand times as long.
    let (few, many) = (lookups(14), lookups(14_000));
    assert!(many < 50 * few, "{few:?} {many:?}");
}

#[test]
fn backends_are_selected_by_weight() {
    let route = route("r", "a", "/", &[("s", 90), ("t", 10), ("u", 0)]);
    let share = |service: &str| {
        (0..1_000)
            .filter(|n| route.select_service(*n).is_some_and(|s| &**s == service))
            .count()
    };
    assert_eq!((share("s"), share("t"), share("u")), (900, 100, 0));
}
