//! Prompt as a sequence of parts.

use crate::{part_key::PartKey, prompt_error::PromptError, prompt_part::PromptPart};

/// Largest number of parts: as many as a header of 16 KiB names.
const MAX_PARTS: usize = 4_096;

/// Largest number of tokens, which is beyond the memory of any engine. It keeps sums and products in range.
const MAX_TOKENS: u64 = 1 << 32;

/// Checked sequence of the parts of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    parts: Vec<PromptPart>,
    /// Key of the sequence up to each part. A cached part is of use only after the same sequence.
    sequences: Vec<PartKey>,
    tokens: u64,
}

impl Prompt {
    /// Parts with the keys of the sequences that end with them, in order.
    pub(crate) fn sequences(&self) -> impl Iterator<Item = (PartKey, u64)> + '_ {
        self.sequences.iter().copied().zip(self.parts.iter().map(|part| part.tokens))
    }

    /// Key and number of tokens of the first `parts` parts; `None` if there are no such parts.
    pub(crate) fn beginning(&self, parts: usize) -> Option<(PartKey, u64)> {
        let sequence = *self.sequences.get(parts.checked_sub(1)?)?;
        Some((sequence, self.parts[..parts].iter().map(|part| part.tokens).sum()))
    }

    /// Number of parts.
    pub(crate) fn len(&self) -> usize {
        self.parts.len()
    }

    /// Number of tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl TryFrom<Vec<PromptPart>> for Prompt {
    type Error = PromptError;

    fn try_from(parts: Vec<PromptPart>) -> Result<Self, PromptError> {
        if !(1..=MAX_PARTS).contains(&parts.len()) {
            return Err(PromptError::PartCount(MAX_PARTS));
        }
        let sum = |sum: u64, part: &PromptPart| sum.checked_add(part.tokens);
        let tokens = parts.iter().try_fold(0, sum).filter(|&tokens| tokens <= MAX_TOKENS);
        let tokens = tokens.ok_or(PromptError::TokenCount(MAX_TOKENS))?;
        let mut sequences: Vec<PartKey> = Vec::with_capacity(parts.len());
        for part in &parts {
            let sequence = sequences.last().map_or(part.key, |before| part.key.after(*before));
            sequences.push(sequence);
        }
        Ok(Self { parts, sequences, tokens })
    }
}
