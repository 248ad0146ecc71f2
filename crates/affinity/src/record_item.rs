//! Items of the store that record at which versions streams began, and their KV cache replicas.

use crate::{
    item_error::ItemError, replica_record::ReplicaRecord, service_version::ServiceVersion,
    software_version::SoftwareVersion,
};
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// Longest identifier of a stream that is recorded, in bytes. Callers choose the identifiers.
pub(crate) const MAX_ID_BYTES: usize = 64;

/// Items that are written together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordBatch {
    /// Number of the lease under which the items are written. A new number needs a new lease.
    pub lease: u64,
    /// Items, each with new streams.
    pub items: Vec<RecordItem>,
}

impl RecordBatch {
    /// Number of streams in all items.
    pub fn len(&self) -> usize {
        self.items.iter().map(|item| item.sequences.len()).sum()
    }

    /// Whether there is no stream in any item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Item that records streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordItem {
    /// Last part of the item's key.
    pub name: String,
    /// Value of the item.
    pub value: String,
    pub(crate) number: u64,
    /// Sequence numbers of the streams, which only this daemon knows.
    pub(crate) sequences: Vec<u64>,
}

/// Streams that began at one version of a service.
#[derive(Deserialize, Serialize)]
struct Group<T, R> {
    service: ServiceName,
    version: SoftwareVersion,
    ids: Vec<T>,
    /// KV cache replicas of some of the streams, each with the position of its stream in `ids`.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    replicas: Vec<(usize, R)>,
}

/// Stream in an item.
#[derive(Debug)]
pub(crate) struct RecordedStream {
    pub id: Box<str>,
    pub replica: Option<ReplicaRecord>,
}

/// Encodes streams as the value of an item.
pub(crate) fn encode<'a>(
    streams: impl Iterator<Item = (&'a str, &'a ServiceVersion, Option<&'a ReplicaRecord>)>,
) -> String {
    let mut groups: Vec<Group<&str, &ReplicaRecord>> = Vec::new();
    for (id, software, replica) in streams {
        let has_software = |group: &Group<&str, &ReplicaRecord>| {
            group.service == software.service && group.version == software.version
        };
        let position = groups.iter().position(has_software).unwrap_or_else(|| {
            groups.push(Group {
                service: software.service.clone(),
                version: software.version.clone(),
                ids: Vec::new(),
                replicas: Vec::new(),
            });
            groups.len() - 1
        });
        let group = &mut groups[position];
        group.replicas.extend(replica.map(|replica| (group.ids.len(), replica)));
        group.ids.push(id);
    }
    serde_json::json!(groups).to_string()
}

/// Decodes the value of an item to the versions and the streams that began there.
pub(crate) fn decode(
    value: &[u8],
) -> Result<impl Iterator<Item = (ServiceVersion, Vec<RecordedStream>)>, ItemError> {
    let groups: Vec<Group<Box<str>, ReplicaRecord>> = serde_json::from_slice(value)?;
    Ok(groups.into_iter().map(|group| {
        let software = ServiceVersion { service: group.service, version: group.version };
        let ids = group.ids.into_iter();
        let mut streams: Vec<_> = ids.map(|id| RecordedStream { id, replica: None }).collect();
        for (position, replica) in group.replicas {
            if let Some(stream) = streams.get_mut(position).filter(|_| replica.is_valid()) {
                stream.replica = Some(replica);
            }
        }
        (software, streams)
    }))
}
