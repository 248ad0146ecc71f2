//! Guards against plans that are applied twice, on another base or against what the operator was told, and against
//! confirmed changes that get lost, whatever the platform loses.

mod fake;

use admin::{AdminError, Planner};
use base::{AccountName, HashMap, OperatorName, PlanId};
use fake::{FakeKv, Fault};
use fleet::{Document, Plan, PlanContext, parse_intent};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tokio::runtime::Builder;

/// One step of the operators.
#[derive(Clone, Debug)]
enum Step {
    Confirm(usize),
    Faults(Vec<Fault>),
    Plan,
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

/// What an operator was told about a plan in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Applied,
    Refused,
    Unknown,
}

fn told<T>(outcome: &Result<T, AdminError>) -> Told {
    match outcome {
        Ok(_) => Told::Applied,
        Err(AdminError::PlanStale(..) | AdminError::PlanNotFound(_)) => Told::Refused,
        Err(AdminError::OutcomeUnknown(_) | AdminError::PlatformUnavailable(_)) => Told::Unknown,
        Err(err) => panic!("{err}"),
    }
}

struct Run {
    kv: FakeKv,
    planners: [Planner<FakeKv>; 2],
    plans: Vec<(Plan, AccountName)>,
    told: HashMap<PlanId, Told>,
}

impl Run {
    fn new() -> Self {
        let kv = FakeKv::default();
        let planners = [Planner::new(kv.clone(), 1), Planner::new(kv.clone(), 2)];
        Self { kv, planners, plans: Vec::new(), told: HashMap::default() }
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

    /// Confirms two plans at the same time at two daemons, or one plan twice.
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
        self.note(first, told(&outcomes.0))?;
        self.note(second, told(&outcomes.1))
    }

    /// Compares what an operator is told with the writes that took effect and with what was told before.
    fn note(&mut self, id: PlanId, told: Told) -> Result<(), String> {
        let is_applied =
            self.kv.configs().iter().any(|(_, config)| config.confirmed_plan(&id).is_some());
        let before = self.told.get(&id).copied().unwrap_or(Told::Unknown);
        match (before, told) {
            (_, Told::Applied) if !is_applied => return Err(format!("{id} is not applied")),
            (_, Told::Refused) if is_applied => return Err(format!("{id} is applied")),
            (Told::Applied, Told::Refused) | (Told::Refused, Told::Applied) => {
                return Err(format!("{id} was {before:?}, now {told:?}"));
            }
            (_, Told::Unknown) => {}
            _ => drop(self.told.insert(id, told)),
        }
        Ok(())
    }

    /// Every write is one plan on its base, and nothing that was confirmed is lost.
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

    async fn play(&mut self, steps: &[Step]) -> Result<(), String> {
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
            let was_told = self.told.get(&id).copied();
            self.confirm(position, position).await?;
            match (was_told, self.told.get(&id)) {
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

fn holds(steps: Vec<Step>) -> TestResult {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    match runtime.block_on(Run::new().play(&steps)) {
        Ok(()) => TestResult::passed(),
        Err(what) => TestResult::error(what),
    }
}

#[test]
fn operators_race_while_answers_are_lost() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 20_261_204))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Step>) -> TestResult);
}

/// Guards against a lost answer that is reported as stale after another operator's later write.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_after_a_later_write() {
    let mut run = Run::new();
    run.plan().await;
    // Read, read, write with its answer lost, and every try to read back fails.
    let mut faults = vec![Fault::None, Fault::None, Fault::Lost];
    faults.extend([Fault::Down; 5]);
    run.kv.add_faults(&faults);
    let id = run.plans[0].0.id.clone();
    let context = PlanContext::default();
    let outcome = run.planners[0].confirm(&id, 0, &context).await;
    assert!(matches!(outcome, Err(AdminError::OutcomeUnknown(_))));
    run.plan().await;
    let later = run.plans[1].0.id.clone();
    run.planners[1].confirm(&later, 0, &context).await.unwrap();
    let confirmed = run.planners[1].confirm(&id, 0, &context).await.unwrap();
    assert!(confirmed.was_confirmed_before);
    assert_eq!(confirmed.sequence, 1);
}

/// Guards against a plan that the platform refuses for its size and that is reported as an outage.
#[tokio::test]
async fn a_plan_that_the_platform_cannot_hold_is_refused_as_too_large() {
    let run = Run::new();
    let intents = (0..4_500)
        .map(|number| parse_intent(&format!("create account a{number} tokens_per_s=1")).unwrap())
        .collect();
    let operator = OperatorName::try_from("ann").unwrap();
    let outcome = run.planners[0].plan(operator, 0, intents, &PlanContext::default()).await;
    assert!(matches!(outcome, Err(AdminError::PlanTooLarge(_))), "{outcome:?}");
}
