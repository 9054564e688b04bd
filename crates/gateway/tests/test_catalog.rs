//! Routes and shares of their traffic.

use std::sync::Arc;
use std::time::Duration;

use flamingolock_gateway::catalog::{Backend, Catalog, RequestKind, Route};

fn route(name: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> Arc<Route> {
    let backends = backends
        .iter()
        .map(|(service, weight)| Backend {
            service: (*service).into(),
            weight: *weight,
        })
        .collect();
    Arc::new(Route {
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
    })
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ];
    let catalog = Catalog {
        routes,
        ..Catalog::default()
    };
    let find = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(find("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(find("A.example:8080", "/x/1"), Some("short"));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("c.example", "/x/"), None);
}

#[test]
fn shares_follow_the_weights() {
    let route = route("r", "a", "/", &[("s", 90), ("t", 10), ("u", 0)]);
    let share = |service: &str| {
        (0..1_000)
            .filter(|n| route.select_service(*n).is_some_and(|s| &**s == service))
            .count()
    };
    assert_eq!((share("s"), share("t"), share("u")), (900, 100, 0));
}
