//! Runs a list of experiments and writes their results to a Markdown page and to an HTML page with plots.

use argh::FromArgs;
use bench::BenchError;
use plotters::prelude::*;
use serde::Deserialize;
use serde_json::Value;
use std::{
    fmt::Write,
    path::{Path, PathBuf},
    process::{Command, ExitCode},
    time::{SystemTime, UNIX_EPOCH},
};

/// Size of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (800, 320);

/// Run the experiments of a list and write docs/report.
#[derive(FromArgs)]
struct Options {
    /// list of experiments in TOML
    #[argh(option, default = "PathBuf::from(\"crates/bench/report.toml\")")]
    list: PathBuf,
    /// directory of the pages
    #[argh(option, default = "PathBuf::from(\"docs/report\")")]
    out: PathBuf,
}

/// File with a list of experiments.
#[derive(Debug, Deserialize)]
struct ExperimentList {
    experiment: Vec<ExperimentRun>,
}

/// Experiment with its seed and duration.
#[derive(Debug, Deserialize)]
struct ExperimentRun {
    name: String,
    seed: u64,
    seconds: u64,
}

impl ExperimentRun {
    /// Returns the command line, which the report shows and `execute` runs.
    fn command(&self) -> String {
        let Self { name, seed, seconds } = self;
        format!("experiment {name} --seed {seed} --seconds {seconds} --json")
    }
}

/// Result of an experiment, with its start time and the load of the machine at that time.
#[derive(Debug)]
struct RunResult {
    command: String,
    /// Start time in seconds since the Unix epoch.
    unix_s: u64,
    /// Load averages of the last 1, 5 and 15 minutes.
    load: String,
    /// Numbers in the JSON object that the experiment printed as its last line; `None` if that line is not JSON.
    numbers: Option<Vec<(String, f64)>>,
    has_passed: bool,
}

impl RunResult {
    /// Returns `MISSING` for a result without a report in JSON, or else whether the experiment passed.
    fn status(&self) -> &'static str {
        match (&self.numbers, self.has_passed) {
            (None, _) => "MISSING",
            (Some(_), false) => "FAILED",
            (Some(_), true) => "passed",
        }
    }
}

fn main() -> ExitCode {
    match write_report(&argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(2)
        }
    }
}

/// Runs the experiments, writes both pages, and returns whether every experiment passed.
fn write_report(options: &Options) -> Result<bool, BenchError> {
    let text = std::fs::read_to_string(&options.list)?;
    let list: ExperimentList =
        toml::from_str(&text).map_err(|err| BenchError::Failed(err.to_string()))?;
    let program = std::env::current_exe()?.with_file_name("experiment");
    let mut results = Vec::new();
    for run in &list.experiment {
        eprintln!("{}", run.command());
        results.push(execute(&program, run)?);
    }
    std::fs::create_dir_all(&options.out)?;
    std::fs::write(options.out.join("report.md"), markdown(&results))?;
    std::fs::write(options.out.join("report.html"), html(&results)?)?;
    Ok(results.iter().all(|result| result.has_passed))
}

/// Runs an experiment with the executable `program` and reads its report.
fn execute(program: &Path, run: &ExperimentRun) -> Result<RunResult, BenchError> {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').take(3).collect::<Vec<_>>().join(" ");
    let unix_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let command = run.command();
    let output = Command::new(program).args(command.split(' ').skip(1)).output()?;
    let stdout = String::from_utf8_lossy(&output.stdout);
    let last = stdout.lines().last().and_then(|line| serde_json::from_str(line).ok());
    let numbers = last.map(|value: Value| {
        let mut numbers = Vec::new();
        collect_numbers("", &value, &mut numbers);
        numbers
    });
    let has_passed = output.status.success() && numbers.is_some();
    Ok(RunResult { command, unix_s, load, numbers, has_passed })
}

/// Appends all numbers in a JSON value to `numbers`, each with the path of its field.
fn collect_numbers(path: &str, value: &Value, numbers: &mut Vec<(String, f64)>) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| collect_numbers(&join(key), value, numbers));
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(index, value)| {
                collect_numbers(&join(&index.to_string()), value, numbers)
            });
        }
        _ => numbers.extend(value.as_f64().map(|number| (path.to_owned(), number))),
    }
}

/// Returns the number of processor cores; 0 if it is unknown.
fn cores() -> usize {
    std::thread::available_parallelism().map_or(0, usize::from)
}

/// Returns status, start time, load average and number of cores as one line.
fn summary(result: &RunResult) -> String {
    let RunResult { unix_s, load, .. } = result;
    format!(
        "{}; started at Unix time {unix_s} s, load average {load}, {} cores",
        result.status(),
        cores()
    )
}

fn markdown(results: &[RunResult]) -> String {
    let mut page = "# Report of experiments\n\nGenerated by `report`.\n".to_owned();
    for result in results {
        let _ = write!(page, "\n## `{}`\n\n{}\n\n", result.command, summary(result));
        let Some(numbers) = &result.numbers else { continue };
        page.push_str("| field | value |\n| --- | --- |\n");
        for (name, number) in numbers {
            let _ = writeln!(page, "| `{name}` | {number} |");
        }
    }
    page
}

fn html(results: &[RunResult]) -> Result<String, BenchError> {
    let mut page = "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\">\
                    <title>Report of experiments</title><h1>Report of experiments</h1>"
        .to_owned();
    for result in results {
        let _ = write!(page, "<h2><code>{}</code></h2><p>{}</p>", result.command, summary(result));
        let Some(numbers) = &result.numbers else { continue };
        page.push_str(&plot(numbers).map_err(|err| BenchError::Plot(err.to_string()))?);
        page.push_str("<table><tr><th>field</th><th>value</th></tr>");
        for (name, number) in numbers {
            let _ = write!(page, "<tr><td>{name}</td><td>{number}</td></tr>");
        }
        page.push_str("</table>");
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Returns an SVG bar chart of all numbers on a logarithmic scale, in the order of the table.
fn plot(numbers: &[(String, f64)]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let highest = numbers.iter().map(|(_, number)| number + 1.0).fold(10.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..numbers.len() as f64, (1.0..highest).log_scale())?;
        chart.draw_series(numbers.iter().enumerate().map(|(index, (_, number))| {
            let left = index as f64;
            Rectangle::new([(left + 0.1, 1.0), (left + 0.9, number + 1.0)], BLUE.filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
