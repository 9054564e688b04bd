//! HTTP control of many proxied routes in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::StandinError;
use crate::http::{
    Body, HandlerResult, empty_response, error_response, ok_response, parse_json, read_body,
};
use crate::proxy::{Handle, start};
use crate::server::{Connections, Server, lock};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteRequest {
    listen: SocketAddr,
    target: SocketAddr,
}

type Routes = Mutex<BTreeMap<SocketAddr, Handle>>;

/// Handle of a running proxy; dropping it closes all of its routes.
pub struct ControlHandle {
    server: Server,
    routes: Arc<Routes>,
}

impl ControlHandle {
    /// The listen address of the control API.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds a route and returns its listen address.
    ///
    /// # Errors
    ///
    /// Fails when `listen` cannot be bound.
    pub async fn add_route(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Result<SocketAddr, StandinError> {
        add_route(&self.routes, listen, target).await
    }

    /// Calls `act` with the route on this listen address; `None` if there is none.
    pub fn with_route<R>(&self, listen: SocketAddr, act: impl FnOnce(&Handle) -> R) -> Option<R> {
        lock(&self.routes).get(&listen).map(act)
    }
}

/// Starts a proxy without routes, with its control API on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub async fn start_control(listen: SocketAddr) -> Result<ControlHandle, StandinError> {
    let routes = Arc::new(Routes::default());
    let shared = routes.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, Connections::new(), handler).await?;
    Ok(ControlHandle { server, routes })
}

async fn add_route(
    routes: &Routes,
    listen: SocketAddr,
    target: SocketAddr,
) -> Result<SocketAddr, StandinError> {
    let route = start(listen, target).await?;
    let addr = route.addr();
    lock(routes).insert(addr, route);
    Ok(addr)
}

async fn handle(routes: Arc<Routes>, request: Request<Incoming>) -> HandlerResult {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let path: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
    Ok(match path.as_slice() {
        ["standin", "routes"] if method == Method::POST => create(&routes, &body).await,
        ["standin", "routes"] => ok_response(&list(&routes)),
        ["standin", "routes", listen, rest @ ..] => {
            handle_route_request(&routes, &method, listen, rest, &body)
        }
        _ => error_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
    })
}

async fn create(routes: &Routes, body: &[u8]) -> Response<Body> {
    let request: RouteRequest = match parse_json(body) {
        Ok(request) => request,
        Err(response) => return *response,
    };
    match add_route(routes, request.listen, request.target).await {
        Ok(addr) => ok_response(&json!({ "listen": addr })),
        Err(e) => error_response(StatusCode::CONFLICT, "cannot_listen", &e.to_string()),
    }
}

fn list(routes: &Routes) -> Value {
    let routes = lock(routes);
    let describe = |route: &Handle| {
        json!({
            "listen": route.addr(),
            "target": route.target(),
            "accepted": route.accepted(),
            "faults": route.faults(),
        })
    };
    json!({ "routes": routes.values().map(describe).collect::<Vec<_>>() })
}

fn handle_route_request(
    routes: &Routes,
    method: &Method,
    listen: &str,
    action: &[&str],
    body: &[u8],
) -> Response<Body> {
    let mut routes = lock(routes);
    let listen = listen.parse().ok();
    let Some((addr, route)) = listen.and_then(|addr| routes.get_key_value(&addr)) else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such route");
    };
    match (method, action) {
        (&Method::PUT, ["faults"]) => match parse_json(body) {
            Ok(faults) => route.set_faults(faults),
            Err(response) => return *response,
        },
        (&Method::POST, ["silence"]) => route.silence_existing(),
        (&Method::POST, ["cut"]) => route.cut_existing(),
        (&Method::DELETE, []) => {
            let addr = *addr;
            routes.remove(&addr);
        }
        _ => return error_response(StatusCode::NOT_FOUND, "not_found", "no such control"),
    }
    empty_response(StatusCode::NO_CONTENT)
}
