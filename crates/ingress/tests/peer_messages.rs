//! Tests of the sizes of messages between daemons.

use affinity::{ReplicaRecord, RunCopy, ServiceVersion, SoftwareVersion};
use ingress::{ConfigPart, PeerMessage};

/// Size of the datagrams that daemons receive in full.
const DATAGRAM_BYTES: usize = 1_400;

fn copy(stream_id: &str, version: &str, text: &str, reference: &str) -> RunCopy {
    let service = "engines".try_into().unwrap();
    let version = SoftwareVersion::try_from(version).unwrap();
    RunCopy {
        stream_id: stream_id.into(),
        software: ServiceVersion { service, version },
        replica: ReplicaRecord {
            holder: text.into(),
            fingerprint: text.into(),
            reference: reference.into(),
            take_ups: 1,
            last_event_id: 137,
            weights_version: Some(text.into()),
        },
    }
}

/// Guards against replicas that no other daemon learns of because their message is cut off.
#[test]
fn messages_on_replicas_fit_into_a_datagram() {
    let long = "x".repeat(128);
    let largest = copy(&long[..64], &long, &long, &long);
    let usual = copy("7a4e00017a4e0001", "v12", "0f1e2d3c4b5a6978", "10.11.12.130:20001/7a4e0000");
    let size = |copy| PeerMessage::CopyAnswer { number: u64::MAX, copy: Some(copy) }.encode().len();
    let (largest, usual) = (size(largest), size(usual));
    println!("{largest} bytes at most, {usual} bytes usually");
    assert!(largest <= DATAGRAM_BYTES, "{largest} bytes");
    let question = PeerMessage::AskCopy { number: u64::MAX, stream_id: "7a4e00017a4e0001".into() };
    println!("{} bytes for a question", question.encode().len());
    let answer = PeerMessage::CopyAnswer { number: 7, copy: None };
    assert_eq!(PeerMessage::decode(&answer.encode()), Some(answer));
}

/// Guards against a configuration that a daemon does not get from others because its parts are cut off.
#[test]
fn parts_of_a_configuration_fit_into_a_datagram() {
    let part = ConfigPart {
        version: u64::MAX,
        size_bytes: u32::MAX,
        offset: u32::MAX,
        bytes: vec![255; 1_200],
    };
    let message = PeerMessage::ConfigAnswer { number: u64::MAX, part: Some(part) };
    let size_bytes = message.encode().len();
    println!("{size_bytes} bytes");
    assert!(size_bytes <= DATAGRAM_BYTES, "{size_bytes} bytes");
    assert_eq!(PeerMessage::decode(&message.encode()), Some(message));
}
