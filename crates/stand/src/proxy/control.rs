//! HTTP interface that controls the faults of the proxy.

use crate::{
    proxy::{fault::ProxyFault, faults::Faults},
    reply,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::sync::Arc;
use tokio::sync::watch;
use web::{Handler, Method, ResponseBody};

/// Largest accepted body of a control message.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Request handler that applies the fault in the body of each `PUT /control`.
#[derive(Debug)]
pub(super) struct ProxyControl {
    pub faults: watch::Sender<Faults>,
}

impl Handler for ProxyControl {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::PUT || request.uri().path() != "/control" {
            return reply::status(StatusCode::NOT_FOUND);
        }
        match reply::read_json::<ProxyFault>(request, MAX_MESSAGE_BYTES).await {
            Ok(fault) => {
                self.faults.send_modify(|faults| faults.apply(fault));
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        }
    }
}
