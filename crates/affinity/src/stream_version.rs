//! Software version at which a stream may go on.

use crate::{origin::Origin, software_version::SoftwareVersion, take_up_error::TakeUpError};

/// Software version at which a stream may go on. All paths that send a stream to an upstream ask this type.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum StreamVersion {
    /// The stream has no event yet, so it may run at any version.
    #[default]
    Any,
    /// The stream has events, and may go on only at this version.
    Only(SoftwareVersion),
}

impl StreamVersion {
    /// Decides at which version a stream goes on that a caller takes up. `serving` are the versions of the instances
    /// that take requests.
    ///
    /// # Errors
    ///
    /// `Unknown` if it is not known which version began the stream, and `Gone` if no instance has that version.
    pub fn take_up<'a>(
        origin: Origin,
        serving: impl IntoIterator<Item = &'a SoftwareVersion>,
    ) -> Result<Self, TakeUpError> {
        let Origin::Known(begun_at) = origin else { return Err(TakeUpError::Unknown) };
        let version = Self::Only(begun_at.clone());
        match version.is_served_by(serving) {
            true => Ok(version),
            false => Err(TakeUpError::Gone(begun_at)),
        }
    }

    /// Records that an upstream of `version` has sent an event. Only the first event has an effect.
    pub fn begin(&mut self, version: &SoftwareVersion) {
        if *self == Self::Any {
            *self = Self::Only(version.clone());
        }
    }

    /// Whether an upstream of `version` may send the next events.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        self.required().is_none_or(|required| required == version)
    }

    /// Version that an upstream must have; `None` if it may have any.
    pub fn required(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Any => None,
            Self::Only(version) => Some(version),
        }
    }

    /// Whether one of the versions `serving` may send the next events. A stream without events can wait for any
    /// version, also if none serves.
    pub fn is_served_by<'a>(&self, serving: impl IntoIterator<Item = &'a SoftwareVersion>) -> bool {
        *self == Self::Any || serving.into_iter().any(|version| self.allows(version))
    }
}
