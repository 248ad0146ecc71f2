//! Validation and activation of configuration documents that arrive from the platform or from peers.

use crate::config::Config;
use fleet::Document;
use std::sync::Arc;
use tokio::sync::watch;

/// Decides which configuration document is active and publishes it to the components of the entry.
#[derive(Debug)]
pub(crate) struct ConfigActivator {
    /// Channel whose current value is the active configuration.
    pub sender: watch::Sender<Arc<Config>>,
}

impl ConfigActivator {
    /// Activates the document `text` and returns `true`, unless its revision is not newer than the active one, the
    /// document is not valid, or it lacks changes that the active configuration has accepted.
    pub fn activate(&self, revision: u64, text: &str) -> bool {
        if revision <= self.sender.borrow().revision {
            return false;
        }
        let document = match Document::decode(text) {
            Ok(document) => document,
            Err(err) => {
                log::error!("config: revision {revision} is not valid: {err}");
                return false;
            }
        };
        let config = Arc::new(Config { revision, document });
        let is_activated = self.sender.send_if_modified(|current| {
            let is_activated = current.position().can_advance_to(revision, &config.document);
            if is_activated {
                *current = Arc::clone(&config);
            }
            is_activated
        });
        if is_activated {
            log::info!("config: revision {revision} is active");
            metrics::gauge!("config_revision").set(revision as f64);
        } else if revision > self.sender.borrow().revision {
            log::error!("config: revision {revision} lacks accepted changes and is ignored");
        }
        is_activated
    }
}
