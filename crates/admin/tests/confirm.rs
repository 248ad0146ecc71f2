//! Guards against plans that are applied twice, on another revision than planned or contrary to what the operator was
//! told, and against lost confirmed changes, whichever calls to the platform fail.

mod fake;

use admin::{AdminError, Planner};
use base::{AccountName, HashMap, OperatorName, PlanId};
use fake::{FakeKv, Fault};
use fleet::{Document, Plan, PlanContext, parse_intent};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tokio::runtime::Builder;

/// One step of the simulated operators.
#[derive(Clone, Debug)]
enum Step {
    /// Confirms one plan at two daemons at the same time. The field selects the plan.
    Confirm(usize),
    /// Injects faults into the next calls to the platform.
    Faults(Vec<Fault>),
    /// Creates a plan that adds a client account.
    Plan,
    /// Confirms two plans at the same time, each at another daemon. The fields select the plans.
    Race(usize, usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..3 => Self::Plan,
            3..5 => Self::Confirm(usize::arbitrary(g)),
            5 => Self::Race(usize::arbitrary(g), usize::arbitrary(g)),
            _ => Self::Faults((0..6).map(|_| Fault::arbitrary(g)).collect()),
        }
    }
}

/// Outcome of a confirmation as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportedOutcome {
    Applied,
    Refused,
    Unknown,
}

fn reported_outcome<T>(result: &Result<T, AdminError>) -> ReportedOutcome {
    match result {
        Ok(_) => ReportedOutcome::Applied,
        Err(AdminError::PlanStale(..) | AdminError::PlanNotFound(_)) => ReportedOutcome::Refused,
        Err(AdminError::OutcomeUnknown(_) | AdminError::PlatformUnavailable(_)) => {
            ReportedOutcome::Unknown
        }
        Err(err) => panic!("{err}"),
    }
}

/// Two daemons' planners on one key-value store, the plans that were created and what operators were told about them.
struct Simulation {
    kv: FakeKv,
    planners: [Planner<FakeKv>; 2],
    plans: Vec<(Plan, AccountName)>,
    reported: HashMap<PlanId, ReportedOutcome>,
}

impl Simulation {
    fn new() -> Self {
        let kv = FakeKv::default();
        let planners = [Planner::new(kv.clone(), 1), Planner::new(kv.clone(), 2)];
        Self { kv, planners, plans: Vec::new(), reported: HashMap::default() }
    }

    async fn plan(&mut self) {
        let name = format!("a{}", self.plans.len());
        let intent = parse_intent(&format!("create account {name}")).unwrap();
        let operator = OperatorName::try_from("ann").unwrap();
        let planner = &self.planners[self.plans.len() % 2];
        let context = PlanContext::default();
        match planner.plan(operator, 0, vec![intent], &context).await {
            Ok(created) => {
                self.plans.push((created.plan, AccountName::try_from(name).unwrap()));
            }
            Err(AdminError::PlatformUnavailable(_)) => {}
            Err(err) => panic!("{err}"),
        }
    }

    /// Confirms two plans, or the same plan twice, at the same time at two daemons.
    async fn confirm(&mut self, first: usize, second: usize) -> Result<(), String> {
        if self.plans.is_empty() {
            return Ok(());
        }
        let first = self.plans[first % self.plans.len()].0.id.clone();
        let second = self.plans[second % self.plans.len()].0.id.clone();
        let context = PlanContext::default();
        let outcomes = tokio::join!(
            self.planners[0].confirm(&first, 0, &context),
            self.planners[1].confirm(&second, 0, &context),
        );
        self.check_outcome(first, reported_outcome(&outcomes.0))?;
        self.check_outcome(second, reported_outcome(&outcomes.1))
    }

    /// Compares the reported outcome of a plan with the writes that took effect and with the outcome that an earlier
    /// request for this plan reported.
    fn check_outcome(&mut self, id: PlanId, reported: ReportedOutcome) -> Result<(), String> {
        let is_applied =
            self.kv.configs().iter().any(|(_, config)| config.confirmed_plan(&id).is_some());
        let before = self.reported.get(&id).copied().unwrap_or(ReportedOutcome::Unknown);
        match (before, reported) {
            (_, ReportedOutcome::Applied) if !is_applied => {
                return Err(format!("{id} is reported as applied, but is not"));
            }
            (_, ReportedOutcome::Refused) if is_applied => {
                return Err(format!("{id} is reported as refused, but is applied"));
            }
            (ReportedOutcome::Applied, ReportedOutcome::Refused)
            | (ReportedOutcome::Refused, ReportedOutcome::Applied) => {
                return Err(format!("{id} was {before:?}, now {reported:?}"));
            }
            (_, ReportedOutcome::Unknown) => {}
            _ => drop(self.reported.insert(id, reported)),
        }
        Ok(())
    }

    /// Checks that each write applies exactly one plan, to the revision that this plan was built on, and that no
    /// confirmed change is lost.
    fn check_writes(&self) -> Result<(), String> {
        let mut before = (0, Document::default());
        for (revision, config) in self.kv.configs() {
            let record = config.recent_plans.last().ok_or("a write without a plan")?;
            let (plan, account) = self
                .plans
                .iter()
                .find(|(plan, _)| plan.id == record.plan_id)
                .ok_or("a write of an unknown plan")?;
            if before.1.confirmed_plan(&plan.id).is_some() {
                return Err(format!("{} is applied twice", plan.id));
            }
            if plan.base_revision != before.0 || config.sequence != before.1.sequence + 1 {
                return Err(format!("{} is applied on another base", plan.id));
            }
            let mut expected = before.1.accounts.clone();
            expected.extend(config.account(account).cloned());
            if config.accounts != expected || expected.len() != before.1.accounts.len() + 1 {
                return Err(format!("{} lost a change", plan.id));
            }
            before = (revision, config);
        }
        Ok(())
    }

    /// Runs the steps, then ends all faults and checks that every plan gets a definite outcome, which agrees with the
    /// one that an earlier request reported.
    async fn run(&mut self, steps: &[Step]) -> Result<(), String> {
        for step in steps {
            match step {
                Step::Confirm(plan) => self.confirm(*plan, *plan).await?,
                Step::Faults(faults) => self.kv.add_faults(faults),
                Step::Plan => self.plan().await,
                Step::Race(first, second) => self.confirm(*first, *second).await?,
            }
        }
        self.kv.heal();
        for position in 0..self.plans.len() {
            let id = self.plans[position].0.id.clone();
            let before = self.reported.get(&id).copied();
            self.confirm(position, position).await?;
            match (before, self.reported.get(&id)) {
                (_, None) => return Err(format!("{id} stays unknown")),
                (Some(before), Some(after)) if before != *after => {
                    return Err(format!("{id} was {before:?}, now {after:?}"));
                }
                _ => {}
            }
        }
        self.check_writes()
    }
}

/// Runs the steps in a new simulation. Fails with the first violation.
fn check_steps(steps: Vec<Step>) -> TestResult {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    match runtime.block_on(Simulation::new().run(&steps)) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(violation),
    }
}

#[test]
fn concurrent_confirmations_stay_consistent_while_calls_fail() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 20_261_204))
        .tests(2_000)
        .quickcheck(check_steps as fn(Vec<Step>) -> TestResult);
}

/// Guards against an applied plan that is reported as stale, because the answer to its write is lost and another
/// operator's plan is applied before the operator confirms again.
#[tokio::test(start_paused = true)]
async fn a_plan_with_a_lost_answer_is_found_applied_after_a_later_write() {
    let mut simulation = Simulation::new();
    simulation.plan().await;
    // Two reads succeed, the write takes effect without an answer, and every attempt to read it back fails.
    let mut faults = vec![Fault::None, Fault::None, Fault::Lost];
    faults.extend([Fault::Down; 5]);
    simulation.kv.add_faults(&faults);
    let id = simulation.plans[0].0.id.clone();
    let context = PlanContext::default();
    let outcome = simulation.planners[0].confirm(&id, 0, &context).await;
    assert!(matches!(outcome, Err(AdminError::OutcomeUnknown(_))));
    simulation.plan().await;
    let later = simulation.plans[1].0.id.clone();
    simulation.planners[1].confirm(&later, 0, &context).await.unwrap();
    let confirmed = simulation.planners[1].confirm(&id, 0, &context).await.unwrap();
    assert!(confirmed.was_confirmed_before);
    assert_eq!(confirmed.sequence, 1);
}

/// Guards against a plan that exceeds the platform's size limit and is reported as an outage of the platform.
#[tokio::test]
async fn a_plan_above_the_size_limit_is_refused_as_too_large() {
    let simulation = Simulation::new();
    let intents = (0..4_500)
        .map(|number| parse_intent(&format!("create account a{number} tokens_per_s=1")).unwrap())
        .collect();
    let operator = OperatorName::try_from("ann").unwrap();
    let outcome = simulation.planners[0].plan(operator, 0, intents, &PlanContext::default()).await;
    assert!(matches!(outcome, Err(AdminError::PlanTooLarge(_))), "{outcome:?}");
}
