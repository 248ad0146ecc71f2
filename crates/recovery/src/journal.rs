//! Journal of the accepted tokens of a generation.

/// Accepted tokens in order, with their text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Journal {
    token_ids: Vec<u32>,
    text: String,
    /// Offset in `text` after the last byte of each token.
    text_ends: Vec<usize>,
}

impl Journal {
    /// Number of accepted tokens, which is also the index of the next one.
    pub fn len(&self) -> u32 {
        self.token_ids.len() as u32
    }

    /// Whether no token has been accepted yet.
    pub fn is_empty(&self) -> bool {
        self.token_ids.is_empty()
    }

    /// Appends an accepted token.
    pub fn push(&mut self, token_id: u32, text: &str) {
        self.token_ids.push(token_id);
        self.text.push_str(text);
        self.text_ends.push(self.text.len());
    }

    /// Identifiers of all accepted tokens.
    pub fn token_ids(&self) -> &[u32] {
        &self.token_ids
    }

    /// Text of all accepted tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Text of one token; empty if the journal has no token at `index`.
    pub fn text_at(&self, index: u32) -> &str {
        let index = index as usize;
        let Some(&end) = self.text_ends.get(index) else { return "" };
        let start = if index == 0 { 0 } else { self.text_ends[index - 1] };
        &self.text[start..end]
    }
}
