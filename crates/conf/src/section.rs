//! Reader for one section of a settings file. It collects all problems instead of stopping at the first one.

use crate::problem::Problem;
use std::{fmt::Display, ops::RangeInclusive, str::FromStr};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Text of the settings file that is being read, with the problems found so far.
#[derive(Debug)]
pub(crate) struct Source<'i> {
    pub text: &'i str,
    pub problems: Vec<Problem>,
    /// All keys that were read so far, with their sections, whether or not the file contains them.
    pub keys: Vec<String>,
}

impl Source<'_> {
    /// Returns the line of a byte offset, counted from 1.
    pub fn line(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end].iter().filter(|&&byte| byte == b'\n').count() + 1
    }
}

/// Section from which known keys are removed as they are read. The keys that remain at `close` are unknown.
#[derive(Debug)]
pub(crate) struct Section<'i> {
    name: &'static str,
    /// Line at which the section begins; 1 if the section is missing.
    line: usize,
    table: DeTable<'i>,
    /// Keys that were read so far, whether or not the section contains them.
    known_keys: Vec<&'static str>,
}

impl<'i> Section<'i> {
    /// Removes the section `name` from the root table. A missing section is read as an empty one.
    pub fn open(name: &'static str, root: &mut DeTable<'i>, source: &mut Source<'_>) -> Self {
        let mut section = Self { name, line: 1, table: DeTable::new(), known_keys: Vec::new() };
        let Some(value) = root.remove(name) else { return section };
        section.line = source.line(value.span().start);
        match value.into_inner() {
            DeValue::Table(table) => section.table = table,
            other => source.problems.push(Problem {
                line: section.line,
                key: name.to_owned(),
                message: format!("is a {}", other.type_str()),
                allowed: format!("a section [{name}]"),
            }),
        }
        section
    }

    /// Reads a string that must parse as `T`. A missing key results in `default`, and so does an invalid value, which
    /// is a problem as well.
    pub fn parsed<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        default: T,
        source: &mut Source<'_>,
    ) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.optional(key, allowed, source) {
            Some(value) => value,
            None => default,
        }
    }

    /// Reads a string that must parse as `T`. A missing or invalid value is a problem and results in `None`.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        source: &mut Source<'_>,
    ) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.table.contains_key(key) {
            self.report(key, self.line, "is missing", allowed, source);
        }
        self.optional(key, allowed, source)
    }

    /// Reads a string that must parse as `T`. A missing key results in `None`, and so does an invalid value, which is a
    /// problem as well.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        source: &mut Source<'_>,
    ) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let (line, value) = self.take(key, source)?;
        let DeValue::String(text) = value else {
            self.report(key, line, &format!("is a {}", value.type_str()), allowed, source);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(err) => {
                self.report(key, line, &format!("{text:?} is not valid: {err}"), allowed, source);
                None
            }
        }
    }

    /// Reads an integer that must be within `range`. A missing key results in `default`, and so does an invalid value,
    /// which is a problem as well.
    pub fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        source: &mut Source<'_>,
    ) -> u64 {
        let Some((line, value)) = self.take(key, source) else { return default };
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number = match &value {
            DeValue::Integer(digits) => u64::from_str_radix(digits.as_str(), digits.radix()).ok(),
            other => {
                self.report(key, line, &format!("is a {}", other.type_str()), &allowed, source);
                return default;
            }
        };
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                self.report(key, line, "is out of range", &allowed, source);
                default
            }
        }
    }

    /// Reads a table with arbitrary keys, whose values are strings that must parse as `T`. A missing table is read as
    /// an empty one. Invalid values are problems and left out.
    pub fn map<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        source: &mut Source<'_>,
    ) -> Vec<(String, T)>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some((line, value)) = self.take(key, source) else { return Vec::new() };
        let DeValue::Table(table) = value else {
            self.report(key, line, &format!("is a {}", value.type_str()), "a table", source);
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (name, value) in table {
            let line = source.line(value.span().start);
            let path = format!("{key}.{}", name.get_ref());
            let outcome = value.get_ref().as_str().and_then(|text| text.parse().ok());
            match outcome {
                Some(value) => parsed.push((name.into_inner().into_owned(), value)),
                None => self.report(&path, line, "is not valid", allowed, source),
            }
        }
        parsed
    }

    /// Reads an array of strings that must parse as `T`. A missing array is read as an empty one. Invalid values are
    /// problems and left out.
    pub fn list<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &str,
        source: &mut Source<'_>,
    ) -> Vec<T> {
        let Some((line, value)) = self.take(key, source) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.report(key, line, &format!("is a {}", value.type_str()), allowed, source);
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for item in items {
            let line = source.line(item.span().start);
            match item.get_ref().as_str().and_then(|text| text.parse().ok()) {
                Some(value) => parsed.push(value),
                None => self.report(key, line, "holds an entry that is not valid", allowed, source),
            }
        }
        parsed
    }

    /// Reports that the value of a key is not valid. The problem gets the line of the section, because that of the
    /// value is no longer known.
    pub fn reject(&self, key: &str, allowed: &str, source: &mut Source<'_>) {
        self.report(key, self.line, "is not valid", allowed, source);
    }

    /// Reports the remaining keys as unknown.
    pub fn close(self, source: &mut Source<'_>) {
        for (key, value) in &self.table {
            let line = source.line(value.span().start);
            let allowed = self.known_keys.join(", ");
            self.report(key.get_ref(), line, "is not known", &allowed, source);
        }
    }

    /// Removes a key and returns its line and value, or `None` if it is missing.
    fn take(&mut self, key: &'static str, source: &mut Source<'_>) -> Option<(usize, DeValue<'i>)> {
        self.known_keys.push(key);
        source.keys.push(format!("{}.{key}", self.name));
        let value: Spanned<DeValue<'i>> = self.table.remove(key)?;
        Some((source.line(value.span().start), value.into_inner()))
    }

    /// Adds a problem with the given key of this section.
    fn report(
        &self,
        key: &str,
        line: usize,
        message: &str,
        allowed: &str,
        source: &mut Source<'_>,
    ) {
        source.problems.push(Problem {
            line,
            key: format!("{}.{key}", self.name),
            message: message.to_owned(),
            allowed: allowed.to_owned(),
        });
    }
}
