//! Guards against a daemon that activates a configuration document without an accepted change, and against a daemon
//! that keeps reading a document that it has rejected. Both can happen after the platform was reset to an older state.

use base::{KeyHash, OperatorName, PlanId};
use conf::Settings;
use entry::Entry;
use fleet::{Document, Plan, PlanContext, PlannedIntent, parse_intent};
use hyper::{Request, Response, body::Incoming};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, watch};
use web::{Handler, ResponseBody, Server, StatusCode};
use wire::platform::{KvEntry, KvList, VmList};

/// Revision of the document that contains the accepted change.
const ACCEPTED_REVISION: u64 = 5;

/// Revision of the later document that lacks the accepted change.
const RESET_REVISION: u64 = 6;

/// Fake platform that was reset to an older state and continues to count revisions. It first serves the accepted
/// document, and then an empty one.
struct ResetPlatform {
    accepted_document: String,
    /// Number of watches that returned the document without the accepted change.
    reset_reads: AtomicU32,
    /// Notified when a watch asks for changes after that document.
    continued: Notify,
}

impl Handler for ResetPlatform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() != "/watch" {
            return web::json(StatusCode::OK, &VmList::default());
        }
        let query = request.uri().query().unwrap_or_default();
        let (revision, value) = if query.contains("after=0&") {
            (ACCEPTED_REVISION, self.accepted_document.clone())
        } else if query.contains("after=5&") {
            self.reset_reads.fetch_add(1, Ordering::Relaxed);
            (RESET_REVISION, Document::default().encode().unwrap())
        } else {
            self.continued.notify_one();
            std::future::pending().await
        };
        let entries = vec![KvEntry { key: "config/current".to_owned(), value, revision }];
        web::json(StatusCode::OK, &KvList { revision, entries })
    }
}

/// Document that results from a confirmed plan, encoded as on the platform.
fn accepted_document() -> String {
    let base = Document::default();
    let intent = parse_intent("create account borders").unwrap();
    let intents = vec![PlannedIntent { intent, key_hash: Some(KeyHash::of("key")) }];
    let id = PlanId::try_from("p00-1").unwrap();
    let operator = OperatorName::try_from("ann").unwrap();
    let context = PlanContext::default();
    let plan = Plan::build(id, operator, 0, 1, &base, intents, &context).unwrap();
    plan.confirm(1, &base, 0, &context).unwrap().encode().unwrap()
}

#[tokio::test]
async fn a_document_that_lacks_an_accepted_change_is_rejected_and_not_read_again() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any).await.unwrap();
    let addr = server.local_addr().unwrap();
    let platform = Arc::new(ResetPlatform {
        accepted_document: accepted_document(),
        reset_reads: AtomicU32::new(0),
        continued: Notify::new(),
    });
    let (_stop, stopped) = watch::channel(false);
    let _server = tokio::spawn(server.run(Arc::clone(&platform), stopped));
    let text = format!(
        "[entry]\nvm_id = \"entry-1\"\ndomain = \"lothian\"\nlisten = \"{any}\"\n\
         [platform]\naddr = \"{addr}\"\n"
    );
    let settings = Settings::try_from(text.as_str()).unwrap();
    let entry = Entry::start(&settings, None).await.unwrap();
    let has_continued =
        tokio::time::timeout(Duration::from_secs(10), platform.continued.notified()).await;
    assert!(
        has_continued.is_ok(),
        "the daemon does not continue after the revision that it rejected"
    );
    assert_eq!(entry.view().config().revision, ACCEPTED_REVISION);
    assert_eq!(platform.reset_reads.load(Ordering::Relaxed), 1);
}
