//! Executes the commands: `explain` and `losses` read logs, all others send requests to a daemon's administration server.

use crate::{
    access::Access,
    burn_page, burn_text,
    cli::{
        BurnOptions, Cli, Command, ExplainOptions, LossesOptions, PlanOptions, Report,
        ReportOptions, WatchOptions,
    },
    ctl_error::CtlError,
    explain::{explain, explain_missing},
    intent_file,
    losses::{losses, losses_text},
    render,
};
use admin::{
    AdminErrorBody, AdminErrorDetail, Confirmed, DiffReport, History, PlanCreated, PlanRequest,
    Status, WatchReport,
};
use burn::BurnReport;
use fleet::Plan;
use std::{
    io::Read,
    path::{Path, PathBuf},
};
use web::{Client, ClientError, Method, Reply};

/// Timeout of a request, in milliseconds. It covers the time that the daemon needs for its own attempts to reach the
/// platform.
const REQUEST_TIMEOUT_MS: u64 = 20_000;

/// Time in milliseconds by which the timeout of a watch exceeds the wait that the server is asked for.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 5_000;

/// Executes a command and returns its output for standard output.
///
/// # Errors
///
/// The command line is incomplete, a file cannot be read or written, the server refused the request, or it did not
/// answer.
pub async fn execute(cli: &Cli) -> Result<String, CtlError> {
    let command = cli.command.as_ref().ok_or(CtlError::NoCommand)?;
    // These commands only read logs and need no server.
    match command {
        Command::Explain(options) => return explain_logs(options),
        Command::Losses(options) => return count_losses(options),
        _ => {}
    }
    let access = Access::resolve(cli)?;
    let client = Client::new(access.server, timeout_ms(command)).with_bearer_key(&access.key);
    let reply = match command {
        Command::Confirm(options) => {
            let path = format!("/admin/v1/plans/{}/confirm", options.plan);
            client.send(Method::POST, &path).await
        }
        Command::Diff(options) => {
            let to = options.to.map(|to| format!("&to={to}")).unwrap_or_default();
            client.send(Method::GET, &format!("/admin/v1/diff?from={}{to}", options.from)).await
        }
        Command::Explain(options) => return explain_logs(options),
        Command::History(options) => {
            client.send(Method::GET, &format!("/admin/v1/history?limit={}", options.limit)).await
        }
        Command::Losses(options) => return count_losses(options),
        Command::Plan(options) => {
            client.send_json(Method::POST, "/admin/v1/plans", &plan_request(options)?).await
        }
        Command::Report(_) => client.send(Method::GET, "/admin/v1/burn").await,
        Command::Show(options) => {
            client.send(Method::GET, &format!("/admin/v1/plans/{}", options.plan)).await
        }
        Command::Status(_) => client.send(Method::GET, "/admin/v1/status").await,
        Command::Watch(options) => watch(&client, options).await,
    };
    let reply = check_status(reply)?;
    if let Command::Report(ReportOptions { report: Report::Burn(options) }) = command {
        write_burn_page(options, &reply)?;
    }
    if command.is_json() {
        return Ok(String::from_utf8_lossy(&reply.body).into_owned());
    }
    Ok(match command {
        Command::Confirm(_) => render::confirmed(&reply.json::<Confirmed>()?),
        Command::Diff(_) => render::diff(&reply.json::<DiffReport>()?),
        Command::Explain(options) => explain_logs(options)?,
        Command::History(_) => render::history(&reply.json::<History>()?),
        Command::Losses(options) => count_losses(options)?,
        Command::Plan(_) => render::created(&reply.json::<PlanCreated>()?),
        Command::Report(_) => burn_text::text(&reply.json::<BurnReport>()?),
        Command::Show(_) => render::plan(&reply.json::<Plan>()?),
        Command::Status(_) => render::status(&reply.json::<Status>()?),
        Command::Watch(_) => format!("revision {}", reply.json::<WatchReport>()?.revision),
    })
}

/// Explains a request from log files.
fn explain_logs(options: &ExplainOptions) -> Result<String, CtlError> {
    let logs = read_logs(&options.files)?;
    explain(&options.id, &logs)
        .ok_or_else(|| CtlError::RequestNotInLogs(explain_missing(&options.id, &logs)))
}

/// Counts the failed and late requests in log files.
fn count_losses(options: &LossesOptions) -> Result<String, CtlError> {
    let groups = losses(&read_logs(&options.files)?);
    match options.json {
        true => Ok(serde_json::to_string(&groups).map_err(ClientError::Json)?),
        false => Ok(losses_text(&groups)),
    }
}

/// Reads log files, or standard input if no file is given.
fn read_logs(files: &[PathBuf]) -> Result<String, CtlError> {
    let mut logs = String::new();
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut logs)?;
    }
    for path in files {
        let text = std::fs::read(path).map_err(|cause| CtlError::Read(path.clone(), cause))?;
        logs.push_str(&String::from_utf8_lossy(&text));
        logs.push('\n');
    }
    Ok(logs)
}

/// Writes the HTML page of a burn report if the option `--html` names a file.
fn write_burn_page(options: &BurnOptions, reply: &Reply) -> Result<(), CtlError> {
    if let Some(path) = &options.html {
        let page = burn_page::page(&reply.json::<BurnReport>()?)?;
        std::fs::write(path, page).map_err(|cause| CtlError::Write(path.clone(), cause))?;
    }
    Ok(())
}

/// Returns the timeout of a command's requests, in milliseconds.
fn timeout_ms(command: &Command) -> u64 {
    match command {
        Command::Watch(options) => options.wait_ms + WATCH_TIMEOUT_MARGIN_MS,
        _ => REQUEST_TIMEOUT_MS,
    }
}

/// Waits for a revision above `--after`, or above the active revision, which is read first, if the option is missing.
/// Returns the response to the watch, or to the failed reading of the status.
async fn watch(client: &Client, options: &WatchOptions) -> Result<Reply, ClientError> {
    let after = match options.after {
        Some(after) => after,
        None => {
            let reply = client.send(Method::GET, "/admin/v1/status").await?;
            if !reply.status.is_success() {
                return Ok(reply);
            }
            reply.json::<Status>()?.revision
        }
    };
    let path = format!("/admin/v1/watch?after={after}&wait_ms={}", options.wait_ms);
    client.send(Method::GET, &path).await
}

/// Builds the request for a plan from a file or from the intents on the command line. A single word without a space is
/// the path of a file.
fn plan_request(options: &PlanOptions) -> Result<PlanRequest, CtlError> {
    match options.words.as_slice() {
        [] => Err(CtlError::NoIntent),
        [word] if !word.contains(' ') => intent_file::read(Path::new(word)),
        words => {
            let text = words.join(" ");
            let texts = text.split(',').map(|text| text.trim().to_owned()).collect();
            Ok(PlanRequest { intents: Vec::new(), texts })
        }
    }
}

/// Returns a response whose status is a success, and an error for any other response or none.
fn check_status(reply: Result<Reply, ClientError>) -> Result<Reply, CtlError> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(ClientError::Connect(cause)) => return Err(CtlError::ServerUnreachable(cause)),
        Err(err) => return Err(err.into()),
    };
    if reply.status.is_success() {
        return Ok(reply);
    }
    let body = reply.json().unwrap_or_else(|_| AdminErrorBody {
        error: AdminErrorDetail { message: reply.status.to_string(), code: String::new() },
        changes: Vec::new(),
    });
    Err(CtlError::Refused(reply.status.as_u16(), Box::new(body)))
}
