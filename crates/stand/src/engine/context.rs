//! Splits the prompt and the tokens to continue from into blocks of the prefix cache, and counts their tokens.

use crate::token_chain::{TokenChain, chat_prompt};
use sha2::{Digest, Sha256};
use wire::engine::EngineRequest;

/// Context of a sequence, which the prefill computes before the first new token.
#[derive(Debug)]
pub(super) struct Context {
    /// Token chain from which the next token is generated: after the prompt and the tokens to continue from.
    pub chain: TokenChain,
    /// Number of tokens of the prompt alone.
    pub prompt_tokens: u32,
    /// Number of tokens from the start of the context to the end of each complete cache block.
    pub tokens_at_block_end: Vec<u32>,
    /// Hash of the context from its start to the end of each complete cache block.
    pub blocks: Vec<u64>,
    /// Number of tokens of the whole context.
    pub tokens: u32,
}

impl Context {
    pub fn new(request: &EngineRequest, block_bytes: usize) -> Self {
        let chat = chat_prompt(&request.messages);
        let prompt = if request.messages.is_empty() { &request.prompt } else { &chat };
        let mut chain = TokenChain::new(&request.model, &request.version, &request.adapter, prompt);
        let prompt_tokens = WordCounter::default().feed(prompt.as_bytes());
        let mut text = prompt.clone();
        for &token_id in &request.continue_token_ids {
            chain.advance(token_id);
            text.push_str(&TokenChain::text(token_id));
        }
        let mut hash = Sha256::new();
        for part in [&request.model, &request.version, &request.adapter] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        let mut blocks = Vec::new();
        let mut tokens_at_block_end = Vec::new();
        let mut words = WordCounter::default();
        let complete_blocks = text.as_bytes().chunks_exact(block_bytes.max(1));
        let rest = complete_blocks.remainder();
        for block in complete_blocks {
            hash.update(block);
            blocks.push(first_u64(&hash.clone().finalize()));
            tokens_at_block_end.push(words.feed(block));
        }
        let tokens = words.feed(rest);
        Self { chain, prompt_tokens, tokens_at_block_end, blocks, tokens }
    }

    /// Returns the number of tokens in the first `blocks` cache blocks.
    pub fn tokens_in(&self, blocks: usize) -> u32 {
        blocks.checked_sub(1).map_or(0, |last| self.tokens_at_block_end[last])
    }
}

/// Counts the words of a text that is fed in parts; each word of a prompt is one token. A word belongs to the part in
/// which it starts.
#[derive(Debug, Default)]
struct WordCounter {
    words: u32,
    is_in_word: bool,
}

impl WordCounter {
    /// Adds a part of the text and returns the number of words so far.
    fn feed(&mut self, part: &[u8]) -> u32 {
        for byte in part {
            let is_in_word = !byte.is_ascii_whitespace();
            self.words += u32::from(is_in_word && !self.is_in_word);
            self.is_in_word = is_in_word;
        }
        self.words
    }
}

fn first_u64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |value, &byte| (value << 8) | u64::from(byte))
}
