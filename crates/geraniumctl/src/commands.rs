//! Requests to the administration server.

use crate::{
    access::Access,
    burn_page, burn_text,
    cli::{
        BurnOptions, Cli, Command, ExplainOptions, PlanOptions, Report, ReportOptions, WatchOptions,
    },
    ctl_error::CtlError,
    explain::explain,
    intent_file, render,
};
use admin::{
    AdminErrorBody, AdminErrorDetail, Confirmed, DiffReport, History, PlanCreated, PlanRequest,
    Status, WatchReport,
};
use burn::BurnReport;
use fleet::Plan;
use std::{io::Read, path::Path};
use web::{Client, ClientError, Method, Reply};

/// Longest wait for an answer. It covers the daemon's own tries at the platform.
const WAIT_MS: u64 = 20_000;

/// How much longer than the server's own wait a watch may take.
const WATCH_SLACK_MS: u64 = 5_000;

/// Runs a command and returns what is printed.
///
/// # Errors
///
/// The command line is not complete, the server refused, or it did not answer.
pub async fn execute(cli: &Cli) -> Result<String, CtlError> {
    let command = cli.command.as_ref().ok_or(CtlError::NoCommand)?;
    if let Command::Explain(options) = command {
        // It reads logs only, and needs no server.
        return tell(options);
    }
    let access = Access::find(cli)?;
    let client = Client::new(access.server, wait_ms(command)).with_bearer_key(&access.key);
    let reply = match command {
        Command::Confirm(options) => {
            let path = format!("/admin/v1/plans/{}/confirm", options.plan);
            client.send(Method::POST, &path).await
        }
        Command::Diff(options) => {
            let to = options.to.map(|to| format!("&to={to}")).unwrap_or_default();
            client.send(Method::GET, &format!("/admin/v1/diff?from={}{to}", options.from)).await
        }
        Command::Explain(options) => return tell(options),
        Command::History(options) => {
            client.send(Method::GET, &format!("/admin/v1/history?limit={}", options.limit)).await
        }
        Command::Plan(options) => {
            client.send_json(Method::POST, "/admin/v1/plans", &request(options)?).await
        }
        Command::Report(_) => client.send(Method::GET, "/admin/v1/burn").await,
        Command::Show(options) => {
            client.send(Method::GET, &format!("/admin/v1/plans/{}", options.plan)).await
        }
        Command::Status(_) => client.send(Method::GET, "/admin/v1/status").await,
        Command::Watch(options) => watch(&client, options).await,
    };
    let reply = accepted(reply)?;
    if let Command::Report(ReportOptions { report: Report::Burn(options) }) = command {
        write_page(options, &reply)?;
    }
    if command.is_json() {
        return Ok(String::from_utf8_lossy(&reply.body).into_owned());
    }
    Ok(match command {
        Command::Confirm(_) => render::confirmed(&reply.json::<Confirmed>()?),
        Command::Diff(_) => render::diff(&reply.json::<DiffReport>()?),
        Command::Explain(options) => tell(options)?,
        Command::History(_) => render::history(&reply.json::<History>()?),
        Command::Plan(_) => render::created(&reply.json::<PlanCreated>()?),
        Command::Report(_) => burn_text::text(&reply.json::<BurnReport>()?),
        Command::Show(_) => render::plan(&reply.json::<Plan>()?),
        Command::Status(_) => render::status(&reply.json::<Status>()?),
        Command::Watch(_) => format!("revision {}", reply.json::<WatchReport>()?.revision),
    })
}

/// Tells the story of a request from files or standard input.
fn tell(options: &ExplainOptions) -> Result<String, CtlError> {
    let mut logs = String::new();
    if options.files.is_empty() {
        std::io::stdin().read_to_string(&mut logs)?;
    }
    for path in &options.files {
        let text = std::fs::read(path).map_err(|cause| CtlError::Read(path.clone(), cause))?;
        logs.push_str(&String::from_utf8_lossy(&text));
        logs.push('\n');
    }
    explain(&options.id, &logs).ok_or_else(|| CtlError::RequestNotInLogs(options.id.clone()))
}

/// Writes the page of a report if the command asks for it.
fn write_page(options: &BurnOptions, reply: &Reply) -> Result<(), CtlError> {
    if let Some(path) = &options.html {
        let page = burn_page::page(&reply.json::<BurnReport>()?)?;
        std::fs::write(path, page).map_err(|cause| CtlError::Write(path.clone(), cause))?;
    }
    Ok(())
}

fn wait_ms(command: &Command) -> u64 {
    match command {
        Command::Watch(options) => options.wait_ms + WATCH_SLACK_MS,
        _ => WAIT_MS,
    }
}

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

/// The intents of a file, or of the command line.
fn request(options: &PlanOptions) -> Result<PlanRequest, CtlError> {
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

fn accepted(reply: Result<Reply, ClientError>) -> Result<Reply, CtlError> {
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
