//! Line of a daemon's log.

/// Line of a daemon's log: time, level, VM, part and text with fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLine<'a> {
    /// Unix time of the VM, in milliseconds. Clocks of VMs may differ.
    pub time_ms: u64,
    /// Name of the VM.
    pub vm: &'a str,
    /// Part of the daemon that wrote the line.
    pub component: &'a str,
    /// Rest of the line.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Reads a line. Words before the time, such as those of a collector of logs, are left out; `None` if it is no line
    /// of a daemon.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (head, rest) = line.split_once(" vm=")?;
        let mut words = head.split_ascii_whitespace().rev();
        let level = words.next()?;
        if !["DEBUG", "ERROR", "INFO", "TRACE", "WARN"].contains(&level) {
            return None;
        }
        let time_ms = words.next()?.parse().ok()?;
        let (vm, rest) = rest.split_once(' ')?;
        let (component, text) = rest.split_once(": ")?;
        Some(Self { time_ms, vm, component, text })
    }

    /// Value of a field of the text.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let words = self.text.split([' ', ';']);
        words
            .filter_map(|word| word.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|pair| pair.1)
    }

    /// Number of a field.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }
}
