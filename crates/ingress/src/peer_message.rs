//! Messages between daemons.

use crate::{crash_quarantine::ServiceEvidence, restarts::Restart, shared_rates::SharedRates};
use affinity::RunCopy;
use base::ServiceName;
use limit::Urgency;
use rollout::{RolloutReply, RolloutReport};
use serde::{Deserialize, Serialize};

/// Largest size of an encoded message. The rest of a longer datagram is cut off when it is received.
pub(crate) const MESSAGE_SIZE_BYTES: usize = 1_400;

/// Message between two daemons, sent as one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Asks to borrow one retry.
    Ask {
        /// Number by which the answer refers to this question.
        number: u64,
        /// Service whose request is to be retried.
        service: ServiceName,
        /// Whether the retried request can still be answered in time.
        urgency: Urgency,
    },
    /// Answers the question of another daemon.
    Answer {
        /// Number of the question that is answered.
        number: u64,
        /// Whether the retry is lent, so that the daemon that asked may send it.
        is_granted: bool,
    },
    /// Evidence in a former format, which did not state whether requests had begun. It is ignored.
    EvidenceV1,
    /// Asks a daemon for its evidence, after a start.
    EvidenceRequest,
    /// Asks to borrow one request of the daemon's share in the limit of an instance.
    AskRequest {
        /// Number by which the answer refers to this question.
        number: u64,
        /// Identifier of the instance that named the limit.
        instance: Box<str>,
    },
    /// Like `EvidenceV1`, on requests.
    RequestEvidenceV1,
    /// Tells which instances have restarted under other identifiers while the store does not respond.
    Restarts(Vec<Restart>),
    /// Tells a judge what a daemon has counted during a rollout.
    RolloutReport(RolloutReport),
    /// Tells how a rollout stands at a judge.
    RolloutReply(RolloutReply),
    /// Tells the rates of engines of one service that differ in speed, the latest ones first.
    Rates(Vec<SharedRates>),
    /// Tells where the KV cache replica of a stream is.
    Copy(RunCopy),
    /// Asks where the KV cache replica of a stream is.
    AskCopy {
        /// Number by which the answer refers to this question.
        number: u64,
        /// Identifier of the caller's attempt that began the stream.
        stream_id: Box<str>,
    },
    /// Answers the question where the KV cache replica of a stream is.
    CopyAnswer {
        /// Number of the question that is answered.
        number: u64,
        /// The stream; `None` if the daemon does not know where its replica is.
        copy: Option<RunCopy>,
    },
    /// Asks for a part of the active configuration, after a start.
    AskConfig {
        /// Number by which the answer refers to this question.
        number: u64,
        /// Version that the asking daemon has; only a higher one is of use.
        above: u64,
        /// Position of the part in the text of the configuration.
        offset: u32,
    },
    /// Answers the question for a part of the active configuration.
    ConfigAnswer {
        /// Number of the question that is answered.
        number: u64,
        /// The part; `None` if the daemon has no higher version.
        part: Option<ConfigPart>,
    },
    /// Tells which engines crashed on parts of prompts, and which survived them.
    Evidence(Vec<ServiceEvidence>),
    /// Tells which upstreams crashed on requests, and which survived them.
    RequestEvidence(Vec<ServiceEvidence>),
    /// Tells digests of the evidence that is known. A daemon that knows other evidence asks for it.
    EvidenceDigest {
        /// Digest of the evidence on parts of prompts; 0 if there is none.
        parts: u64,
        /// Digest of the evidence on requests; 0 if there is none.
        requests: u64,
    },
}

/// Part of the text of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPart {
    /// Version of the configuration.
    pub version: u64,
    /// Size of the whole text.
    pub size_bytes: u32,
    /// Position of the part in the text.
    pub offset: u32,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
}

impl PeerMessage {
    /// Whether the message tells anything: evidence may be empty.
    pub(crate) fn has_content(&self) -> bool {
        match self {
            Self::Evidence(evidence) | Self::RequestEvidence(evidence) => !evidence.is_empty(),
            Self::Rates(rates) => !rates.is_empty(),
            Self::EvidenceDigest { parts, requests } => *parts != 0 || *requests != 0,
            Self::EvidenceV1 | Self::RequestEvidenceV1 => false,
            Self::Ask { .. }
            | Self::Answer { .. }
            | Self::EvidenceRequest
            | Self::Restarts(_)
            | Self::AskRequest { .. }
            | Self::RolloutReport(_)
            | Self::RolloutReply(_)
            | Self::Copy(_)
            | Self::AskCopy { .. }
            | Self::CopyAnswer { .. }
            | Self::AskConfig { .. }
            | Self::ConfigAnswer { .. } => true,
        }
    }

    /// Encodes the message as the content of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization fails for none of these field types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
