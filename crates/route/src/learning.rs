//! How fast a learned value follows its samples and loses its weight.

/// How fast a learned value follows its samples, and how fast it is forgotten.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learning {
    /// Part of the distance to a sample above the learned value by which the value moves, from 0 to 1.
    pub rise: f64,
    /// Part of the distance to a sample below the learned value by which the value moves, from 0 to 1.
    pub fall: f64,
    /// Time in which the difference to the service's usual value shrinks to 37% without a sample.
    pub decay_ms: u64,
    /// Smallest and largest value that a sample counts with.
    pub bounds: (f64, f64),
}

impl Learning {
    /// Response times of instances that answer calls. Their load changes within seconds, so that old values say little.
    /// A rise is followed faster than a fall, because a late call costs more than one that was sent to another failure
    /// domain; if it were followed faster still, the usual variation would send calls away from idle instances.
    pub const RESPONSE_MS: Self =
        Self { rise: 0.3, fall: 0.2, decay_ms: 2_000, bounds: (0.1, 60_000.0) };

    /// Usual response time of a service, which counts for an instance without recent samples.
    pub const USUAL_RESPONSE_MS: Self =
        Self { rise: 0.03, fall: 0.03, decay_ms: u64::MAX, bounds: (0.1, 60_000.0) };

    /// Times per prompt token and per event of an engine. Its speed is that of its machine, so that old values are still
    /// true. A fall is followed faster than a rise, because requests that were not known of only make a sample longer:
    /// under high load, all samples of equal engines do.
    pub const ENGINE_MS: Self =
        Self { rise: 0.15, fall: 0.5, decay_ms: 120_000, bounds: (0.001, 10_000.0) };

    /// Usual times per prompt token and per event of a service, and its usual number of prompt tokens.
    pub const USUAL_ENGINE: Self =
        Self { rise: 0.05, fall: 0.05, decay_ms: u64::MAX, bounds: (0.001, 10_000_000.0) };

    /// Like `self` for the sample after `samples` others, but the first samples all count alike, so that the very first one
    /// loses its weight soon.
    pub fn after(self, samples: u32) -> Self {
        let min_gain = 1.0 / (f64::from(samples) + 1.0);
        Self { rise: self.rise.max(min_gain), fall: self.fall.max(min_gain), ..self }
    }
}
