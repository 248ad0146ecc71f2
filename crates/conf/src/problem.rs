//! Mistakes in a settings file.

use std::fmt::{Display, Formatter, Result as FmtResult};

/// One mistake.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Key with its section, for example `entry.listen`; empty for a mistake of syntax.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed; empty if nothing can be said.
    pub allowed: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "line {}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// All mistakes of a file, in order of their lines. It is never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problems(pub Vec<Problem>);

impl Display for Problems {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        for (position, problem) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
