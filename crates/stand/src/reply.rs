//! Helpers for requests and responses that the fakes share.

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;
use web::{ReadBodyError, ResponseBody};
use wire::openai::{ErrorBody, ErrorDetail};

/// Builds a response without a body.
pub(crate) fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(web::empty());
    *response.status_mut() = code;
    response
}

/// Builds a response with an error body in the format of the OpenAI API.
pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Response<ResponseBody> {
    let kind = if status.is_server_error() { "server_error" } else { "invalid_request_error" };
    let error = ErrorDetail {
        message: message.to_owned(),
        r#type: kind.to_owned(),
        param: None,
        code: Some(code.to_owned()),
    };
    web::json(status, &ErrorBody { error })
}

/// Reads a JSON body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns the response to send if the body is too large, cannot be read or is not the expected JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit_bytes: usize,
) -> Result<T, Response<ResponseBody>> {
    let body = match web::read_body(request.into_body(), limit_bytes).await {
        Ok(body) => body,
        Err(ReadBodyError::TooLarge(_)) => {
            return Err(error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "the body is too large"));
        }
        Err(ReadBodyError::Transport(_)) => return Err(status(StatusCode::BAD_REQUEST)),
    };
    serde_json::from_slice(&body)
        .map_err(|err| error(StatusCode::BAD_REQUEST, "invalid_body", &err.to_string()))
}

/// Returns the value of a query parameter without percent-decoding; `None` if it is missing.
pub(crate) fn query_param<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Returns the value of a numeric query parameter; `None` if it is missing or not a number.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    query_param(query, name)?.parse().ok()
}
