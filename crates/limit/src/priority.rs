//! Priority of a request.

/// Priority that a request has if neither its client account nor its route states one.
const DEFAULT_PRIORITY: u8 = 5;

/// Lowest priority. It matches the ten values that engines distinguish.
const LOWEST_PRIORITY: u8 = 9;

/// Priority of a request, from 0, the most urgent one, to 9.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Priority(u8);

impl Priority {
    /// The most urgent priority.
    pub const MOST_URGENT: Self = Self(0);

    /// Converts a configured value. Values outside of the range count as the nearest one inside, so that one odd value
    /// does not invalidate a configuration.
    pub fn clamped(value: i64) -> Self {
        Self(u8::try_from(value.clamp(0, i64::from(LOWEST_PRIORITY))).unwrap_or(LOWEST_PRIORITY))
    }

    /// Numeric value; 0 is the most urgent one.
    pub fn level(self) -> u8 {
        self.0
    }
}

impl Default for Priority {
    fn default() -> Self {
        Self(DEFAULT_PRIORITY)
    }
}
