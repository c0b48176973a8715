//! A minimal pass-through proxy: a `hyper` server that forwards each request with a `hyper` client.

use filberttrail_dev::Component;
use filberttrail_kernel::{Error, Result};
use filberttrail_web::{Body, Client, Limits, Request, Response, server};
use http_body_util::BodyExt;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// Starts a proxy that spreads requests round-robin over upstreams; returns its address and the
/// handle of its thread.
pub async fn start(upstreams: Vec<SocketAddr>) -> Result<(SocketAddr, Component)> {
    let (address_sender, address_receiver) = oneshot::channel();
    let cell = Component::start("pass-through", move |_, stop| async move {
        let Ok(listener) = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await else {
            return;
        };
        if let Ok(address) = listener.local_addr() {
            let _ = address_sender.send(address);
        }
        let client = Arc::new(Client::new());
        let next = Arc::new(AtomicUsize::new(0));
        server::serve(listener, Limits::default(), stop, move |request| {
            let turn = next.fetch_add(1, Ordering::Relaxed);
            forward(client.clone(), upstreams[turn % upstreams.len()], request)
        })
        .await;
    });
    let help = "free a port on loopback";
    let to_error = |cause: String| Error::system("pass-through", cause, help);
    let cell = cell.map_err(|error| to_error(error.to_string()))?;
    let address = address_receiver.await.map_err(|error| to_error(error.to_string()))?;
    Ok((address, cell))
}

async fn forward(client: Arc<Client>, upstream: SocketAddr, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let request = hyper::Request::from_parts(head, Body::new(body));
    let Ok(response) = client.send(upstream, request).await else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        return response;
    };
    let (head, mut body) = response.into_parts();
    let (chunk_sender, response_body) = Body::channel(64);
    tokio::spawn(async move {
        while let Some(Ok(frame)) = body.frame().await {
            if let Ok(data) = frame.into_data()
                && chunk_sender.send(Ok(data)).await.is_err()
            {
                return;
            }
        }
    });
    hyper::Response::from_parts(head, response_body)
}
