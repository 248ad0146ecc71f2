//! Token chain: each token contains a checksum over all tokens before it, so that a missing, repeated or foreign token
//! is detected.

use quick_error::quick_error;
use sha2::{Digest, Sha256};
use wire::engine::Message;

/// First line of the text whose hash is the initial state of a chain. Its version suffix changes whenever the algorithm
/// of the chain changes.
const SEED_LABEL: &str = "geraniumroad-chain-v1";

quick_error! {
    /// Reason why the verification of a text failed, with the index of the first invalid token.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum TokenChainError {
        /// A token is not a space followed by eight hexadecimal digits.
        InvalidFormat(index: usize) {
            display("token {index} is not a space followed by eight hexadecimal digits")
        }
        /// The checksum of a token does not match the tokens before it.
        ChecksumMismatch(index: usize) {
            display("checksum of token {index} does not match the tokens before it")
        }
    }
}

/// Hash over model, version, adapter, prompt and all tokens so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenChain {
    state: u64,
}

impl TokenChain {
    /// Returns the chain before the first token of an answer.
    pub fn new(model: &str, version: &str, adapter: &str, prompt: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [SEED_LABEL, model, version, adapter] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        hash.update(prompt.as_bytes());
        Self { state: first_u64(&hash.finalize()) }
    }

    /// Returns the id of the next token: `nonce` in the upper 16 bits, and the checksum over the tokens so far and
    /// `nonce` in the lower 16 bits.
    pub fn token(&self, nonce: u16) -> u32 {
        (u32::from(nonce) << 16) | u32::from(self.checksum(nonce))
    }

    /// Returns whether the checksum of `token_id` matches the tokens so far.
    pub fn accepts(&self, token_id: u32) -> bool {
        self.token((token_id >> 16) as u16) == token_id
    }

    /// Appends a token to the chain.
    pub fn advance(&mut self, token_id: u32) {
        let mut hash = Sha256::new();
        hash.update(self.state.to_be_bytes());
        hash.update(token_id.to_be_bytes());
        self.state = first_u64(&hash.finalize());
    }

    /// Returns the text of a token: a space and eight hexadecimal digits.
    pub fn text(token_id: u32) -> String {
        format!(" {token_id:08x}")
    }

    /// Verifies a text that continues the chain and returns its number of tokens.
    ///
    /// # Errors
    ///
    /// Returns the index of the first invalid token; the variant says whether its format or its checksum is wrong.
    pub fn verify(mut self, text: &str) -> Result<usize, TokenChainError> {
        let tokens = text.as_bytes().chunks(9);
        let count = tokens.len();
        for (index, token) in tokens.enumerate() {
            let token_id = parse_token(token).ok_or(TokenChainError::InvalidFormat(index))?;
            if !self.accepts(token_id) {
                return Err(TokenChainError::ChecksumMismatch(index));
            }
            self.advance(token_id);
        }
        Ok(count)
    }

    fn checksum(&self, nonce: u16) -> u16 {
        let mut hash = Sha256::new();
        hash.update(self.state.to_be_bytes());
        hash.update(nonce.to_be_bytes());
        let digest = hash.finalize();
        u16::from_be_bytes([digest[0], digest[1]])
    }
}

/// Returns the prompt that the chain of a chat starts from: one line `role: content` per message.
pub fn chat_prompt(messages: &[Message]) -> String {
    messages.iter().map(|message| format!("{}: {}\n", message.role, message.content)).collect()
}

fn parse_token(token: &[u8]) -> Option<u32> {
    let digits = std::str::from_utf8(token.strip_prefix(b" ")?).ok()?;
    let is_hex = digits.len() == 8 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_hex { u32::from_str_radix(digits, 16).ok() } else { None }
}

fn first_u64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |value, &byte| (value << 8) | u64::from(byte))
}
