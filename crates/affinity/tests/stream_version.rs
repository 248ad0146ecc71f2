//! Tests of the decision at which software version a stream may go on.

use affinity::{Origin, SoftwareVersion, StreamVersion, TakeUpError};
use quickcheck::quickcheck;

fn version(number: u8) -> SoftwareVersion {
    SoftwareVersion::try_from(format!("v{}", number % 4)).unwrap()
}

quickcheck! {
    /// Guards against a stream whose events come from two versions, whatever the order of its attempts.
    fn all_events_come_from_the_version_of_the_first_one(senders: Vec<u8>) -> bool {
        let mut stream = StreamVersion::default();
        let mut events = Vec::new();
        for sender in senders.into_iter().map(version) {
            if stream.allows(&sender) {
                stream.begin(&sender);
                events.push(sender);
            }
        }
        events.iter().all(|sender| *sender == events[0])
    }

    /// Guards against a take-up at another version than the first one, and against a refusal although that one serves.
    fn a_take_up_goes_on_only_at_a_known_version_that_serves(begun_at: Option<u8>, serving: Vec<u8>) -> bool {
        let begun_at = begun_at.map(version);
        let serving: Vec<SoftwareVersion> = serving.into_iter().map(version).collect();
        let origin = begun_at.clone().map_or(Origin::Unknown, Origin::Known);
        match (StreamVersion::take_up(origin, &serving), begun_at) {
            (Err(TakeUpError::Unknown), None) => true,
            (Err(TakeUpError::Gone(gone)), Some(begun_at)) => gone == begun_at && !serving.contains(&begun_at),
            (Ok(stream), Some(begun_at)) => {
                serving.contains(&begun_at) && (0..4).map(version).all(|other| stream.allows(&other) == (other == begun_at))
            }
            _ => false,
        }
    }
}
