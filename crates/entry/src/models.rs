//! Response to `GET /v1/models`.

use crate::config::Config;
use hyper::Response;
use serde_json::json;
use web::{ResponseBody, StatusCode};

/// Lists the models of `config` in the format of the OpenAI API.
pub(crate) fn models(config: &Config) -> Response<ResponseBody> {
    let data: Vec<_> = config
        .document
        .models
        .iter()
        .map(|model| json!({"id": model.name, "object": "model", "created": 0, "owned_by": model.service}))
        .collect();
    web::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}
