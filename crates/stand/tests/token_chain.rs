//! Guards against a verification of token chains that misses a missing, repeated or foreign token.

use stand::{TokenChain, TokenChainError, chat_prompt};
use wire::engine::Message;

/// Documentation page whose worked example is checked here.
const PAGE: &str = include_str!("../../../docs/stand-ins.md");

/// Returns the ids of the first `count` tokens of an answer, generated from a fixed series of nonces.
fn answer(prompt: &str, count: u16) -> Vec<u32> {
    let mut chain = TokenChain::new("composer", "v1", "", prompt);
    let tokens = (0..count).map(|number| {
        let token_id = chain.token(number.wrapping_mul(0x9e37));
        chain.advance(token_id);
        token_id
    });
    tokens.collect()
}

fn verify(tokens: &[u32]) -> Result<usize, TokenChainError> {
    let text: String = tokens.iter().map(|&token_id| TokenChain::text(token_id)).collect();
    TokenChain::new("composer", "v1", "", "plan").verify(&text)
}

#[test]
fn a_complete_answer_is_accepted() {
    assert_eq!(verify(&answer("plan", 200)), Ok(200));
}

#[test]
fn a_missing_token_is_detected_at_every_position() {
    let whole = answer("plan", 200);
    // Without the last token the chain is still valid; only the count differs.
    for position in 0..whole.len() - 1 {
        let mut tokens = whole.clone();
        tokens.remove(position);
        assert_eq!(verify(&tokens), Err(TokenChainError::ChecksumMismatch(position)));
    }
}

#[test]
fn a_repeated_token_is_detected_at_every_position() {
    let whole = answer("plan", 200);
    for position in 0..whole.len() {
        let mut tokens = whole.clone();
        tokens.insert(position, whole[position]);
        assert_eq!(verify(&tokens), Err(TokenChainError::ChecksumMismatch(position + 1)));
    }
}

#[test]
fn a_continuation_from_another_generation_is_detected_at_every_position() {
    let whole = answer("plan", 200);
    let other = answer("another plan", 200);
    for position in 0..whole.len() {
        let mixed = [&whole[..position], &other[position..]].concat();
        assert_eq!(verify(&mixed), Err(TokenChainError::ChecksumMismatch(position)));
    }
}

#[test]
fn a_continuation_from_another_sampling_of_the_same_prompt_is_detected() {
    let whole = answer("plan", 50);
    let mut other = TokenChain::new("composer", "v1", "", "plan");
    let other: Vec<u32> = (0..50)
        .map(|number| {
            let token_id = other.token(0x4000 + number);
            other.advance(token_id);
            token_id
        })
        .collect();
    for position in 1..whole.len() {
        let mixed = [&whole[..position], &other[position..]].concat();
        assert_eq!(verify(&mixed), Err(TokenChainError::ChecksumMismatch(position)));
    }
}

#[test]
fn each_part_of_the_seed_changes_the_chain() {
    let text: String =
        answer("plan", 5).iter().map(|&token_id| TokenChain::text(token_id)).collect();
    for (model, version, adapter, prompt) in [
        ("belfry", "v1", "", "plan"),
        ("composer", "v2", "", "plan"),
        ("composer", "v1", "tower", "plan"),
        ("composer", "v1", "", "plan "),
    ] {
        assert!(TokenChain::new(model, version, adapter, prompt).verify(&text).is_err());
    }
}

#[test]
fn text_that_is_not_tokens_is_rejected() {
    for text in [" 0123456", "x01234567", " 0123456g", " +1234567"] {
        let outcome = TokenChain::new("composer", "v1", "", "plan").verify(text);
        assert_eq!(outcome, Err(TokenChainError::InvalidFormat(0)));
    }
}

#[test]
fn the_worked_example_of_the_page_is_correct() {
    let mut chain = TokenChain::new("composer", "v1", "", "a peal plan");
    let mut text = String::new();
    for nonce in [0x0001, 0xbe11, 0xffff] {
        let token_id = chain.token(nonce);
        let row = format!("| `{nonce:04x}` | {token_id} | `{}` |", TokenChain::text(token_id));
        assert!(PAGE.contains(&row), "the page lacks the row {row}");
        chain.advance(token_id);
        text.push_str(&TokenChain::text(token_id));
    }
    assert!(PAGE.contains(&format!("```text\n{text}\n```")), "the page lacks the answer {text}");
    let start = TokenChain::new("composer", "v1", "", "a peal plan");
    assert_eq!(start.verify(&text), Ok(3));
}

#[test]
fn the_chat_example_of_the_page_is_correct() {
    let message =
        |role: &str, content: &str| Message { role: role.to_owned(), content: content.to_owned() };
    let prompt = chat_prompt(&[message("system", "Be brief."), message("user", "a peal plan")]);
    assert!(PAGE.contains(&format!("`{}`", prompt.replace('\n', "\\n"))));
}
