//! Handles requests and control messages of an instance of the fake plain service.

use crate::service::{
    fault::{ServiceFault, ServiceFaultKind},
    ledger::Ledger,
    run::Run,
    settings::ServiceSettings,
};
use base::{Clock, lock};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderMap, HeaderValue},
};
use serde::Deserialize;
use std::{
    io::{Error as IoError, ErrorKind, Result as IoResult},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use web::{Method, ResponseBody, StatusCode};

/// Largest accepted request body.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Time within which entries must stop sending requests after `PUT /control/leaving`. Until then, they may not know yet
/// that the instance is leaving; later requests count as late.
const LATE_REQUEST_AFTER_MS: u64 = 3_000;

/// Exit status of a process that a fault terminates.
const FAULT_EXIT_STATUS: i32 = 70;

/// Body of `PUT /control/leaving`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct LeavingMessage {
    /// Whether responses announce by header that the instance is leaving; otherwise only the platform's list of VMs
    /// shows it.
    is_announced: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Last injected fault, whose `count` is the number of requests that it still affects.
    fault: Option<ServiceFault>,
    /// Time of the last `PUT /control/leaving`; `None` if the instance is not leaving.
    leaving_since_ms: Option<u64>,
    /// Whether responses announce by header that the instance is leaving.
    is_announced: bool,
}

#[derive(Debug)]
pub(super) struct ServiceHandler {
    settings: ServiceSettings,
    clock: Clock,
    ledger: Ledger,
    state: Mutex<State>,
}

impl ServiceHandler {
    pub fn new(settings: ServiceSettings) -> IoResult<Self> {
        let ledger = Ledger::open(settings.ledger.as_deref())?;
        Ok(Self { settings, clock: Clock::start(), ledger, state: Mutex::default() })
    }

    /// Handles a request. An error closes the connection without a response.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> IoResult<Response<ResponseBody>> {
        match request.uri().path() {
            "/control/runs" => Ok(web::json(StatusCode::OK, &self.ledger.report())),
            "/control/fault" => {
                let fault = read_control_message(request).await?;
                self.state().fault = Some(fault);
                Ok(Response::new(web::empty()))
            }
            "/control/leaving" => {
                let leaving: LeavingMessage = read_control_message(request).await?;
                let mut state = self.state();
                state.leaving_since_ms = Some(self.clock.now_ms());
                state.is_announced = leaving.is_announced;
                Ok(Response::new(web::empty()))
            }
            _ => self.serve(request).await,
        }
    }

    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> IoResult<Response<ResponseBody>> {
        let (parts, body) = request.into_parts();
        web::read_body(body, MAX_REQUEST_BYTES).await.map_err(IoError::other)?;
        let path = parts.uri.path_and_query().map(|path| path.as_str().to_owned());
        let run = Run {
            service: self.settings.name.clone(),
            method: parts.method.as_str().to_owned(),
            path: path.unwrap_or_default(),
            key: header_text(&parts.headers, "idempotency-key"),
            request_id: header_text(&parts.headers, "x-request-id"),
            is_late: self.is_late(),
            header_names: parts.headers.keys().map(|name| name.as_str().to_owned()).collect(),
        };
        let fault = self.take_fault();
        let delay = Duration::from_millis(fault.map_or(0, |fault| fault.wait_ms));
        match fault.map(|fault| fault.kind) {
            Some(ServiceFaultKind::RunLate) => {
                let (handler, run) = (Arc::clone(&self), run.clone());
                // A separate task is not cancelled when the connection closes.
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    handler.ledger.add(&run)
                })
                .await??;
            }
            Some(ServiceFaultKind::AnswerLate) => {
                self.ledger.add(&run)?;
                tokio::time::sleep(delay).await;
            }
            Some(ServiceFaultKind::CloseBeforeRun) => return Err(ErrorKind::ConnectionReset.into()),
            Some(ServiceFaultKind::CloseAfterRun) => {
                self.ledger.add(&run)?;
                return Err(ErrorKind::ConnectionReset.into());
            }
            Some(ServiceFaultKind::DieBeforeRun) => std::process::exit(FAULT_EXIT_STATUS),
            Some(ServiceFaultKind::DieAfterRun) => {
                self.ledger.add(&run)?;
                std::process::exit(FAULT_EXIT_STATUS)
            }
            Some(ServiceFaultKind::Crossed) | None => self.ledger.add(&run)?,
        }
        let is_crossed = fault.is_some_and(|fault| fault.kind == ServiceFaultKind::Crossed);
        Ok(self.build_response(&run, is_crossed))
    }

    fn build_response(&self, run: &Run, is_crossed: bool) -> Response<ResponseBody> {
        let mut response = web::json(StatusCode::OK, run);
        let headers = response.headers_mut();
        let echo = if is_crossed { "crossed" } else { run.request_id.as_str() };
        if let Ok(echo) = HeaderValue::from_str(echo) {
            headers.insert("x-request-id", echo);
        }
        if self.state().is_announced {
            headers.insert("x-leaving", HeaderValue::from_static("true"));
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the fault that affects the next request, and decrements its count. Returns `None` if it affects no
    /// further request.
    fn take_fault(&self) -> Option<ServiceFault> {
        let mut state = self.state();
        let fault = state.fault.as_mut()?;
        fault.count = fault.count.checked_sub(1)?;
        Some(*fault)
    }

    /// Returns whether a request that arrives now counts as late.
    fn is_late(&self) -> bool {
        let since_ms = self.state().leaving_since_ms;
        since_ms.is_some_and(|since_ms| self.clock.now_ms() - since_ms > LATE_REQUEST_AFTER_MS)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

async fn read_control_message<T>(request: Request<Incoming>) -> IoResult<T>
where
    T: for<'d> Deserialize<'d>,
{
    if request.method() != Method::PUT {
        return Err(ErrorKind::InvalidInput.into());
    }
    let body = web::read_body(request.into_body(), MAX_REQUEST_BYTES).await;
    Ok(serde_json::from_slice(&body.map_err(IoError::other)?)?)
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
