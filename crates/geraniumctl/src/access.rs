//! Finds the server address and the operator key in the options, the environment or the access file.

use crate::{cli::Cli, ctl_error::CtlError};
use serde::Deserialize;
use std::{env, fs, net::SocketAddr, path::PathBuf};

/// Environment variable that holds the address of the administration server.
const SERVER_VARIABLE: &str = "GERANIUMCTL_SERVER";

/// Environment variable that holds the operator key.
const KEY_VARIABLE: &str = "GERANIUMCTL_KEY";

/// Environment variable that holds the path of the access file.
const ACCESS_VARIABLE: &str = "GERANIUMCTL_ACCESS";

/// Content of the access file, in TOML.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccessFile {
    server: Option<SocketAddr>,
    key: Option<String>,
}

/// Address of the administration server and the operator key for it.
pub(crate) struct Access {
    pub server: SocketAddr,
    pub key: String,
}

impl Access {
    /// Takes each of the two values from the first source that has it: the options, the environment, the access file.
    ///
    /// # Errors
    ///
    /// A value is missing or not valid, or the file cannot be read.
    pub fn resolve(cli: &Cli) -> Result<Self, CtlError> {
        let path = cli.access.clone().or_else(|| env::var_os(ACCESS_VARIABLE).map(PathBuf::from));
        let file = match path {
            Some(path) => {
                let text =
                    fs::read_to_string(&path).map_err(|cause| CtlError::Read(path, cause))?;
                toml::from_str(&text)?
            }
            None => AccessFile::default(),
        };
        let server = match (cli.server, env::var(SERVER_VARIABLE)) {
            (Some(server), _) => Some(server),
            (None, Ok(text)) => Some(text.parse().map_err(|_| CtlError::InvalidAddress(text))?),
            (None, Err(_)) => file.server,
        };
        let key = cli.key.clone().or_else(|| env::var(KEY_VARIABLE).ok()).or(file.key);
        Ok(Self {
            server: server.ok_or(CtlError::MissingOption("server", SERVER_VARIABLE))?,
            key: key.ok_or(CtlError::MissingOption("key", KEY_VARIABLE))?,
        })
    }
}
