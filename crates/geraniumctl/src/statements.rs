//! What instances have stated of themselves in their answers, as the daemons' logs tell it.

use crate::log_line::LogLine;

/// Statement of an instance to one daemon.
#[derive(Clone, Copy, Debug)]
struct Statement<'a> {
    vm: &'a str,
    instance: &'a str,
    at_ms: u64,
    /// Time for which the instance wants no requests; `None` if it leaves.
    pause_ms: Option<u64>,
}

/// Statements of the instances that they leave, or that they want no requests for some time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statements<'a>(Vec<Statement<'a>>);

impl<'a> Statements<'a> {
    pub fn new(lines: &[LogLine<'a>]) -> Self {
        Self(lines.iter().filter_map(statement).collect())
    }

    /// Instances that wanted no requests from the daemon on `vm` at `at_ms`, in the order of their statements.
    pub fn pausing(&self, vm: &str, at_ms: u64) -> Vec<&'a str> {
        let is_pausing = |statement: &&Statement<'_>| {
            statement.vm == vm
                && statement.pause_ms.is_some_and(|pause_ms| {
                    (statement.at_ms..statement.at_ms.saturating_add(pause_ms)).contains(&at_ms)
                })
        };
        let mut instances: Vec<&str> =
            self.0.iter().filter(is_pausing).map(|statement| statement.instance).collect();
        instances.dedup();
        instances
    }

    /// Whether the instance had stated to the daemon on `vm` by `at_ms` that it leaves.
    pub fn is_leaving(&self, vm: &str, instance: &str, at_ms: u64) -> bool {
        self.0.iter().any(|statement| {
            statement.vm == vm
                && statement.instance == instance
                && statement.pause_ms.is_none()
                && statement.at_ms <= at_ms
        })
    }
}

fn statement<'a>(line: &LogLine<'a>) -> Option<Statement<'a>> {
    let LogLine { time_ms, vm, component, text } = *line;
    let (instance, pause_ms) = match component {
        "instances" => (text.split_once(" states that it leaves")?.0, None),
        "limit" => {
            let (instance, rest) = text.split_once(" wants no requests for ")?;
            let pause_ms = rest.strip_suffix(" ms")?.parse().ok()?;
            (instance.strip_prefix("instance=")?, Some(pause_ms))
        }
        _ => return None,
    };
    Some(Statement { vm, instance, at_ms: time_ms, pause_ms })
}
