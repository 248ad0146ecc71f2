//! Problems that the check of a settings file reports.

use std::fmt::{Display, Formatter, Result as FmtResult};

/// A value, key or syntax error for which a settings file is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Key with its section, for example `entry.listen`. Empty for a syntax error.
    pub key: String,
    /// What is wrong, for example `is missing`.
    pub message: String,
    /// Allowed values. Empty for a syntax error.
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

/// All problems of a settings file, ordered by line. The list is never empty.
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
