//! Statistical tests of a version's bad answers.

/// Additional shares of bad answers for which a version is tested. The evidence is the mean of the likelihood ratios, which
/// under the usual share exceeds `x` at any time with a probability of at most `1 / x` (Ville's inequality), however
/// often it is looked at.
const ALTERNATIVES: [f64; 4] = [0.12, 0.25, 0.45, 0.75];

/// Additional share of bad answers that must be excluded before a version counts as good.
const EXCLUDED: f64 = 0.28;

/// Smallest usual share that is assumed, so that a few bad answers of a very reliable service are no evidence.
const MIN_USUAL: f64 = 0.01;

/// Number of answers that the usual share must be estimated from; with fewer, it is assumed to be higher.
const PRIOR_ANSWERS: f64 = 20.0;

/// Usual share of bad answers, as an estimate that is rather too high.
pub fn baseline(bad: u32, answers: u32) -> f64 {
    let bad = f64::from(bad);
    let estimate = (bad + 0.5 * (bad + 0.25).sqrt() + 0.5) / (f64::from(answers) + PRIOR_ANSWERS);
    estimate.clamp(MIN_USUAL, 0.95)
}

/// Natural logarithm of the evidence that more answers are bad than the share `usual`.
pub fn log_evidence(bad: u32, answers: u32, usual: f64) -> f64 {
    let ratios = ALTERNATIVES.map(|added| log_ratio(bad, answers, usual, added));
    let largest = ratios.into_iter().fold(f64::NEG_INFINITY, f64::max);
    let mean = ratios.iter().map(|ratio| (ratio - largest).exp()).sum::<f64>() / 4.0;
    largest + mean.ln()
}

/// Whether the answers exclude a bad version: it would give them with a probability that is at least `factor` times
/// smaller than that of the usual share.
pub fn excludes_bad(bad: u32, answers: u32, usual: f64, factor: f64) -> bool {
    log_ratio(bad, answers, usual, EXCLUDED) <= -factor.ln()
}

/// Logarithm of the likelihood ratio of a share that is `added` higher against the share `usual`.
fn log_ratio(bad: u32, answers: u32, usual: f64, added: f64) -> f64 {
    let high = usual + added * (1.0 - usual);
    let good = f64::from(answers.saturating_sub(bad));
    f64::from(bad) * (high / usual).ln() + good * ((1.0 - high) / (1.0 - usual)).ln()
}
