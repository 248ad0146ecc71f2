//! Text of bounded length for log lines and error messages.

use std::fmt::{Display, Formatter, Result as FmtResult, Write};

/// Number of characters after which the text is cut. Each character of an escape counts.
const MAX_CHARS: usize = 200;

/// Displays the beginning of a text of unknown origin on one line: control characters are escaped, and a longer text is
/// cut and ends with `...`.
#[derive(Clone, Copy, Debug)]
pub struct Excerpt<T>(pub T);

/// Writer that passes on a limited number of characters.
struct Limited<'a, 'b> {
    f: &'a mut Formatter<'b>,
    left_chars: usize,
    is_cut: bool,
}

impl Write for Limited<'_, '_> {
    fn write_str(&mut self, text: &str) -> FmtResult {
        for character in text.chars() {
            let size_chars = match character.is_control() {
                true => character.escape_default().len(),
                false => 1,
            };
            if self.is_cut || self.left_chars < size_chars {
                self.is_cut = true;
                return Ok(());
            }
            self.left_chars -= size_chars;
            match character.is_control() {
                true => write!(self.f, "{}", character.escape_default())?,
                false => self.f.write_char(character)?,
            }
        }
        Ok(())
    }
}

impl<T: Display> Display for Excerpt<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        let mut limited = Limited { f, left_chars: MAX_CHARS, is_cut: false };
        write!(limited, "{}", self.0)?;
        if limited.is_cut { f.write_str("...") } else { Ok(()) }
    }
}
