//! Parses log lines of daemons and the fields in them.

/// Line of a daemon's log, which has the form `time_ms LEVEL vm=NAME component: text key=value ...`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLine<'a> {
    /// Time in milliseconds since the Unix epoch by the clock of the VM. Clocks of VMs may differ.
    pub time_ms: u64,
    /// Name of the VM that the daemon runs on.
    pub vm: &'a str,
    /// Component of the daemon that wrote the line.
    pub component: &'a str,
    /// Text and fields after the component.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses a line. Words before the time, such as those that a log collector adds, are skipped. Returns `None` if
    /// the line is not one of a daemon.
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

    /// Returns the value of the first field with this name, or `None` if the line has no such field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let words = self.text.split([' ', ';']);
        words
            .filter_map(|word| word.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|pair| pair.1)
    }

    /// Returns the value of a field as a number, or `None` if it is missing or not an integer.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }
}
