//! Numbers of crashes from which parts are condemned.

/// Numbers of crashes in series from which parts are condemned. Crashes of one failure domain within a short time count once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Thresholds {
    /// Number of crashes of engines that had just begun to answer a request with the parts, or no request at all.
    pub begun: usize,
    /// Number of crashes, including those of engines that had sent nothing for these requests and had begun to answer another
    /// one, which is more often the cause.
    pub any: usize,
}

impl Thresholds {
    /// Thresholds for parts of prompts.
    pub const PARTS: Self = Self { begun: 4, any: 5 };

    /// Thresholds for whole requests. They are lower, because a verdict concerns one request only.
    pub const REQUESTS: Self = Self { begun: 3, any: 3 };
}
