//! Guards against plans that make other changes than they show, and plans that remove versions of running generations.

use base::{KeyHash, ModelName, OperatorName, PlanId, ServiceName, VersionName};
use fleet::{
    ConfigPosition, Document, IntentError, MAX_DOCUMENT_BYTES, MAX_RECENT_PLANS, Plan, PlanContext,
    PlanError, PlannedIntent, Preset, join_diffs, parse_intent,
};

/// Builds a plan of the intents in `texts` on a document that the platform holds at `revision`.
fn plan_at(
    revision: u64,
    document: &Document,
    texts: &[String],
    context: &PlanContext,
) -> Result<Plan, IntentError> {
    let intents = texts
        .iter()
        .map(|text| {
            let intent = parse_intent(text)?;
            let key_hash = intent.key_owner().map(KeyHash::of);
            Ok(PlannedIntent { intent, key_hash })
        })
        .collect::<Result<_, IntentError>>()?;
    let id = PlanId::try_from(format!("p00-{revision:016x}")).unwrap();
    let operator = OperatorName::try_from("ann").unwrap();
    Plan::build(id, operator, 0, revision, document, intents, context)
}

/// Plans and confirms intents on a document, and returns the changed document.
fn changed_document(revision: u64, document: &Document, texts: &[&str]) -> Document {
    let texts: Vec<String> = texts.iter().map(|text| (*text).to_owned()).collect();
    let context = PlanContext::default();
    let plan = plan_at(revision, document, &texts, &context).unwrap();
    plan.confirm(revision, document, 0, &context).unwrap()
}

/// Returns a document with the generation service and model `composer` and the client account `borders`.
fn composer_document() -> Document {
    changed_document(
        0,
        &Document::default(),
        &[
            "create service composer kind=generation preset=economy",
            "create model composer service=composer version=v1",
            "create account borders requests_per_s=10",
        ],
    )
}

/// Returns the error of planning one intent.
fn planning_error(document: &Document, text: &str, context: &PlanContext) -> IntentError {
    plan_at(1, document, &[text.to_owned()], context).unwrap_err()
}

#[test]
fn the_diff_lists_every_changed_value() {
    let texts = ["change account borders requests_per_s=20".to_owned()];
    let plan = plan_at(1, &composer_document(), &texts, &PlanContext::default()).unwrap();
    let lines: Vec<String> = plan.lines.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["~ accounts.borders.requests_per_s: 10 -> 20"]);
}

#[test]
fn joined_diffs_leave_out_reverted_changes() {
    let document = composer_document();
    let raised = changed_document(1, &document, &["change account borders requests_per_s=20"]);
    let reverted = changed_document(2, &raised, &["change account borders requests_per_s=10"]);
    let lines = reverted.recent_plans[1..].iter().flat_map(|plan| &plan.lines);
    assert_eq!(join_diffs(lines), []);
}

#[test]
fn a_plan_on_another_revision_or_an_expired_plan_is_refused() {
    let document = composer_document();
    let texts = ["remove account borders".to_owned()];
    let context = PlanContext::default();
    let plan = plan_at(1, &document, &texts, &context).unwrap();
    let outcome = plan.confirm(2, &document, 0, &context);
    assert!(matches!(outcome, Err(PlanError::Stale(1, 2))));
    let outcome = plan.confirm(1, &document, fleet::PLAN_LIFETIME_MS + 1, &context);
    assert!(matches!(outcome, Err(PlanError::Expired)));
}

#[test]
fn a_version_of_running_generations_is_not_removed() {
    let model = ModelName::try_from("composer").unwrap();
    let v1 = VersionName::try_from("v1").unwrap();
    let document = changed_document(1, &composer_document(), &["create version composer v2"]);
    let mut context = PlanContext::default();
    let texts = ["remove version composer v1".to_owned()];
    let plan = plan_at(1, &document, &texts, &context).unwrap();
    assert!(plan.warnings.iter().any(|warning| warning.contains("version v1")));
    context.pinned.insert((model, v1));
    let is_pinned_error = |err: &IntentError| matches!(err, IntentError::Pinned(..));
    assert!(is_pinned_error(&planning_error(&document, "remove version composer v1", &context)));
    assert!(is_pinned_error(&planning_error(&document, "remove model composer", &context)));
    // A generation that starts between the planning and the confirmation counts, too.
    let outcome = plan.confirm(1, &document, 0, &context);
    assert!(matches!(outcome, Err(PlanError::Intent(err)) if is_pinned_error(&err)));
}

#[test]
fn the_current_version_and_a_service_in_use_are_not_removed() {
    let document = changed_document(1, &composer_document(), &["create version composer v2"]);
    let context = PlanContext::default();
    let version_error = planning_error(&document, "remove version composer v2", &context);
    assert!(matches!(version_error, IntentError::CurrentVersion(..)));
    let service_error = planning_error(&document, "remove service composer", &context);
    assert!(matches!(service_error, IntentError::InUse(_)));
}

#[test]
fn the_cost_counts_loads_on_every_engine() {
    let mut context = PlanContext { weight_load_ms: 100, ..PlanContext::default() };
    context.engines.insert(ServiceName::try_from("composer").unwrap(), 35);
    let texts = ["create version composer v2".to_owned()];
    let plan = plan_at(1, &composer_document(), &texts, &context).unwrap();
    assert_eq!((plan.cost.loads, plan.cost.weight_store_ms), (35, 3_500));
}

#[test]
fn invalid_intents_are_refused() {
    let document = composer_document();
    let texts = [
        "create",
        "create account",
        "create account borders",
        "create account a/b",
        "create account x y",
        "create account x requests_per_s=ten",
        "create account x colour=red",
        "change account y requests_per_s=1",
        "change service composer kind=plain",
        "change account borders requests_per_s=10",
        "remove key borders 0",
    ];
    for text in texts {
        let outcome = plan_at(1, &document, &[text.to_owned()], &PlanContext::default());
        assert!(outcome.is_err(), "{text}");
    }
}

/// Guards against a document of the intended maximum scale that exceeds the maximum size of a value in the platform.
#[test]
fn a_document_of_450_accounts_and_12_models_is_small_enough() {
    let mut texts = Vec::new();
    for number in 0..450 {
        texts.push(format!(
            "create account customer-with-a-long-name-{number} requests_per_s=1000 \
             tokens_per_s=100000 concurrent_generations=100"
        ));
    }
    for number in 0..12 {
        texts.push(format!("create service service-{number} kind=generation latency_p95_ms=1700"));
        texts.push(format!("create model model-{number} service=service-{number} version=v1"));
        texts.push(format!("create version model-{number} v2"));
        texts.extend((0..20).map(|a| format!("create adapter model-{number} adapter-{a}")));
    }
    let context = PlanContext::default();
    let plan = plan_at(1, &Document::default(), &texts, &context).unwrap();
    let mut document = plan.confirm(1, &Document::default(), 0, &context).unwrap();
    let record = document.recent_plans[0].clone();
    document.recent_plans = vec![record; MAX_RECENT_PLANS];
    let size_bytes = document.encode().unwrap().len();
    println!("document: {size_bytes} bytes");
    assert!(size_bytes < MAX_DOCUMENT_BYTES);
}

/// Guards against a daemon that activates an older configuration, which the platform may return after an outage.
#[test]
fn a_configuration_never_reverts() {
    let base = composer_document();
    let accepted = changed_document(2, &base, &["change account borders requests_per_s=20"]);
    let active = ConfigPosition::of(10, &accepted);
    let newer = changed_document(10, &accepted, &["remove account borders"]);
    assert!(active.can_advance_to(11, &newer));
    assert!(!active.can_advance_to(9, &newer));
    assert!(!active.can_advance_to(10, &accepted));
    assert!(!active.can_advance_to(0, &Document::default()));
    // The platform lost the accepted change, and its revisions have advanced beyond the active one.
    assert!(!active.can_advance_to(12, &base));
    let fork = changed_document(11, &base, &["change account borders requests_per_s=30"]);
    assert!(!active.can_advance_to(12, &fork));
    let longer_fork = changed_document(12, &fork, &["change account borders requests_per_s=40"]);
    assert!(!active.can_advance_to(13, &longer_fork));
    // Documents that are written without plans are ordered by revision only.
    let unplanned = ConfigPosition::of(1, &Document::default());
    assert!(unplanned.can_advance_to(2, &Document::default()));
}

/// Guards against a daemon that rejects every configuration after it missed more plans than a document lists.
#[test]
fn a_configuration_far_ahead_is_accepted() {
    let mut document = composer_document();
    let active = ConfigPosition::of(1, &document);
    for revision in 1..100 {
        let text = format!("create account a{revision}");
        document = changed_document(revision, &document, &[&text]);
    }
    assert_eq!(document.recent_plans.len(), MAX_RECENT_PLANS);
    assert!(active.can_advance_to(100, &document));
}

/// Guards against example documents that don't decode or have another recovery preset than their deployment needs.
#[test]
fn the_example_documents_are_valid() {
    for (text, service, preset) in [
        (include_str!("../../../examples/alba/fleet.json"), "composer", Preset::Latency),
        (
            include_str!("../../../examples/is-sudvestur/fleet.json"),
            "draft-models",
            Preset::Economy,
        ),
    ] {
        let document = Document::decode(text).unwrap();
        let service = document.service(&ServiceName::try_from(service).unwrap()).unwrap();
        assert_eq!(service.preset, preset);
    }
}
