//! Token chain: each token carries a check over all tokens before it.

use quick_error::quick_error;
use sha2::{Digest, Sha256};
use wire::engine::Message;

/// First line of the hashed seed; it changes when the rule of the chain changes.
const SEED_LABEL: &str = "geraniumroad-chain-v1";

quick_error! {
    /// Why a text does not belong to a chain.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum TokenChainError {
        /// A token is not a space and eight hexadecimal digits.
        Format(index: usize) {
            display("token {index} is not a space and eight hexadecimal digits")
        }
        /// A token does not follow from the tokens before it.
        Broken(index: usize) {
            display("token {index} does not follow from the tokens before it")
        }
    }
}

/// State of a chain after some tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenChain {
    state: u64,
}

impl TokenChain {
    /// Token chain at the start of an answer.
    pub fn new(model: &str, version: &str, adapter: &str, prompt: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [SEED_LABEL, model, version, adapter] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        hash.update(prompt.as_bytes());
        Self { state: first_u64(&hash.finalize()) }
    }

    /// The token with a given random part.
    pub fn token(&self, nonce: u16) -> u32 {
        (u32::from(nonce) << 16) | u32::from(self.check(nonce))
    }

    /// Whether a token may follow here.
    pub fn accepts(&self, token_id: u32) -> bool {
        self.token((token_id >> 16) as u16) == token_id
    }

    /// Moves past a token.
    pub fn advance(&mut self, token_id: u32) {
        let mut hash = Sha256::new();
        hash.update(self.state.to_be_bytes());
        hash.update(token_id.to_be_bytes());
        self.state = first_u64(&hash.finalize());
    }

    /// Text of a token.
    pub fn text(token_id: u32) -> String {
        format!(" {token_id:08x}")
    }

    /// Checks the text of a whole answer from here and returns the number of its tokens.
    ///
    /// # Errors
    ///
    /// The index of the first token that is not valid.
    pub fn verify(mut self, text: &str) -> Result<usize, TokenChainError> {
        let tokens = text.as_bytes().chunks(9);
        let count = tokens.len();
        for (index, token) in tokens.enumerate() {
            let token_id = parse_token(token).ok_or(TokenChainError::Format(index))?;
            if !self.accepts(token_id) {
                return Err(TokenChainError::Broken(index));
            }
            self.advance(token_id);
        }
        Ok(count)
    }

    fn check(&self, nonce: u16) -> u16 {
        let mut hash = Sha256::new();
        hash.update(self.state.to_be_bytes());
        hash.update(nonce.to_be_bytes());
        let digest = hash.finalize();
        u16::from_be_bytes([digest[0], digest[1]])
    }
}

/// Prompt that a chat is hashed as: a line `role: content` for each message.
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
