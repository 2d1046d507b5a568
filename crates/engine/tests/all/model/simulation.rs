//! A simulation with fault injection: successive owners, minions, the table and a caller.

mod fault;
mod feed;
mod former_calls;
mod innocent;
mod loss;
mod takeover;
mod timeline;

pub(crate) use fault::Fault;
pub(crate) use loss::Loss;
pub(crate) use takeover::Rule;

use super::owner::{
    Answer, CAPACITY, Call, EXTEND_ALONE_LIMIT, LEASE_DURATION, LEASE_LIMIT, Owner,
};
use super::{Minion, RunRecord, Start, Table};
use crate::fixture::{definition, id, step};
use celerythread_engine::cell::{Batch, EndReason, Incarnation, MinionId, Refusal};
use celerythread_engine::job::{Definition, Id, State, Step, TaskName};
use celerythread_engine::time::Time;
use feed::Feed;
use loss::Losses;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use takeover::{Candidate, Departure};

const TICK: Duration = Duration::from_millis(20);
/// Time without a renewal after which another entry takes over, by the daemon's default settings.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1300);
/// Duration of an owner's pause: longer than every lease, and a successor has long taken over.
const PAUSE_DURATION: Duration = Duration::from_secs(14);
/// Duration of a network partition.
const PARTITION_DURATION: Duration = Duration::from_secs(7);
const OUTAGE_DURATION: Duration = Duration::from_secs(4);
/// Time until a delayed call is executed.
const CALL_DELAY: Duration = Duration::from_secs(3);
/// Time until a crashed minion restarts.
const RESTART_DELAY: Duration = Duration::from_millis(1500);
/// When the caller cancels [`CANCELLED_JOB`].
const CANCEL_TIME: Time = Time(10_700);
const START_TIME: Time = Time(10_000);
/// End of a simulation that doesn't finish; recovery from the worst fault takes far less time.
pub(crate) const TIME_LIMIT: Time = Time(70_000);
const MINION_IDS: [&str; 3] = ["a", "b", "c"];
pub(crate) const CHAINED_JOB: u8 = 1;
const LONG_RUNNING_JOB: u8 = 2;
const CANCELLED_JOB: u8 = 3;
/// The job whose only task crashes each minion that starts it.
const CRASHING_JOB: u8 = 4;
/// Jobs that their caller cancels while their submissions are unanswered, in a simulation with late
/// jobs, each with the number of late jobs that are stored before it.  Owners read the cancellations
/// once: the job of the first one in the same pass, that of the second one after further jobs.
const WITHDRAWN_JOBS: [(u8, u8); 2] = [(19, 1), (18, 4)];
/// Number of the first job that is submitted during a simulation with late jobs.
const FIRST_LATE_JOB: u8 = 20;
/// Jobs submitted during a simulation with late jobs.
const LATE_JOBS: u8 = 8;
/// The job of a queue that no owner sees in its configuration.  Its task fails one time less than the
/// queue allows.
const FAILING_JOB: u8 = 5;
/// Runs of its task that may fail.
const FAILING_JOB_ATTEMPTS: u32 = 4;
/// Time from the start of the crashing task to the crash of its minion.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Crashes of minions with the same task after which its job may fail, whatever caused them.
const CRASHES_TO_GIVE_UP: usize = 2;
/// Starts of the crashing task that are too many: three more after the third crash.
const TOO_MANY_STARTS: usize = 6;

/// A simulation of the scenario.
pub(crate) struct Simulation {
    now: Time,
    faults: BTreeMap<usize, Fault>,
    pub(crate) call_count: usize,
    minions: Vec<Minion>,
    roster: BTreeSet<MinionId>,
    /// When crashed minions restart, and under which ids.
    pending_restarts: Vec<(Time, String)>,
    /// Whether crashed minions restart under their former ids.
    keeps_ids: bool,
    /// Whether minions have clocks of their own and execute calls to their former incarnations.
    executes_former_calls: bool,
    partition_duration: Duration,
    /// Number of the last incarnation of any minion.
    last_incarnation: u64,
    /// Minions that have started the crashing task, and when they crash.
    pending_crashes: Vec<(Time, MinionId)>,
    partitioned_until: BTreeMap<MinionId, Time>,
    /// Minions that only the owner with this token can reach, and until when.
    zone_cuts: BTreeMap<MinionId, (u64, Time)>,
    outage_until: Time,
    /// Delayed calls: when they are executed, the caller's token, the call and the receiving
    /// incarnation.
    delayed_calls: Vec<(Time, u64, Call, Option<Incarnation>)>,
    table: Table,
    history: Vec<RunRecord>,
    violations: Vec<String>,
    owners: Vec<Owner>,
    /// Number of renewals that a candidate for the cell observed, and when it was first observed.
    observed_renewals: (u64, Time),
    cancelled: bool,
    feed: Feed,
    /// The entry that takes over next.
    candidate: Candidate,
    losses: Losses,
    /// What has happened so far, if it is recorded.
    timeline: Option<Vec<String>>,
}

impl Simulation {
    pub(crate) fn new(faults: BTreeMap<usize, Fault>) -> Self {
        let mut simulation = Self {
            now: START_TIME,
            faults,
            call_count: 0,
            minions: Vec::new(),
            roster: MINION_IDS.map(MinionId::from).into(),
            pending_restarts: Vec::new(),
            keeps_ids: false,
            executes_former_calls: false,
            partition_duration: PARTITION_DURATION,
            last_incarnation: 0,
            pending_crashes: Vec::new(),
            partitioned_until: BTreeMap::new(),
            zone_cuts: BTreeMap::new(),
            outage_until: Time(0),
            delayed_calls: Vec::new(),
            table: Table::default(),
            history: Vec::new(),
            violations: Vec::new(),
            owners: Vec::new(),
            observed_renewals: (0, START_TIME),
            cancelled: false,
            feed: Feed::default(),
            candidate: Candidate::new(),
            losses: Losses::default(),
            timeline: None,
        };
        MINION_IDS.iter().for_each(|name| simulation.start_minion(name));
        simulation.take_over(Departure::Silent);
        simulation
    }

    /// Like [`Self::new`], but crashed minions restart under their former ids.
    pub(crate) fn with_kept_ids(faults: BTreeMap<usize, Fault>) -> Self {
        Self { keeps_ids: true, ..Self::new(faults) }
    }

    fn start_minion(&mut self, name: &str) {
        self.record(|| format!("minion {name} starts"));
        self.last_incarnation += 1;
        let minion = Minion::new(name, Incarnation(self.last_incarnation), CAPACITY);
        let minion = match self.executes_former_calls {
            true => minion.with_clock(self.now, LEASE_LIMIT),
            false => minion,
        };
        self.minions.push(minion);
    }

    pub(crate) fn run(mut self) -> Self {
        while self.now < TIME_LIMIT && !self.is_finished() {
            self.advance();
            self.submit_late_jobs();
            for index in 0..self.owners.len() {
                self.drive(index);
            }
            self.owners.retain(|owner| !owner.is_stopped);
            self.take_over_if_silent();
        }
        self
    }

    /// Whether all jobs have their expected outcome and no effect of a fault is pending.
    fn is_finished(&self) -> bool {
        let unwanted = |run: &RunRecord| run.task.job == id(CANCELLED_JOB) && run.ended.is_none();
        let quiet = self.delayed_calls.is_empty()
            && self.pending_restarts.is_empty()
            && self.now > CANCEL_TIME
            && !self.history.iter().any(unwanted);
        let paused = self.owners.iter().any(|owner| owner.paused_until.is_some());
        let done = self.table.progress.get(&id(CHAINED_JOB)).and_then(|stored| stored.outcome);
        let crashing = self.table.progress.get(&id(CRASHING_JOB)).and_then(|stored| stored.outcome);
        let done = done == Some(State::Completed) || self.may_give_up(CHAINED_JOB);
        let late = self.late_jobs().all(|job| {
            let stored = self.table.progress.get(&id(job)).and_then(|stored| stored.outcome);
            stored == Some(State::Completed) || self.may_give_up(job)
        });
        let ended = done && crashing == Some(State::Failed);
        let failing = self.table.progress.get(&id(FAILING_JOB)).and_then(|stored| stored.outcome);
        let failing = !self.has_failing_job()
            || failing == Some(State::Completed)
            || self.may_give_up(FAILING_JOB);
        let long_running = self.active_long_running() == 2 || self.may_give_up(LONG_RUNNING_JOB);
        quiet && !paused && ended && long_running && late && failing
    }

    fn active_long_running(&self) -> usize {
        let long_running =
            |run: &&RunRecord| run.task.job == id(LONG_RUNNING_JOB) && run.ended.is_none();
        self.history.iter().filter(long_running).count()
    }

    fn advance(&mut self) {
        self.now = self.now + TICK;
        for minion in &mut self.minions {
            minion.advance(self.now, &mut self.history);
        }
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.pending_crashes).into_iter().partition(|d| d.0 <= now);
        self.pending_crashes = rest;
        for (_, minion) in Vec::from_iter::<Vec<_>>(due) {
            self.crash(Some(minion));
        }
        self.continue_losses();
        let (due, rest) =
            std::mem::take(&mut self.delayed_calls).into_iter().partition(|c| c.0 <= now);
        self.delayed_calls = rest;
        for (_, token, call, receiver) in Vec::from_iter::<Vec<_>>(due) {
            // Delayed calls are lost when the minion that received them restarts.
            if self.executes_former_calls || self.incarnation_of(call.minion()) == receiver {
                self.execute(token, &call);
            }
        }
        let (due, rest) =
            std::mem::take(&mut self.pending_restarts).into_iter().partition(|r| r.0 <= now);
        self.pending_restarts = rest;
        for (_, name) in Vec::from_iter::<Vec<_>>(due) {
            self.roster.insert(name.as_str().into());
            self.start_minion(&name);
        }
        self.follow_jobs();
    }

    fn drive(&mut self, index: usize) {
        let now = self.now;
        let listed: Vec<MinionId> = self.minions.iter().map(|minion| minion.id.clone()).collect();
        let owner = &mut self.owners[index];
        if owner.paused_until.is_some_and(|until| now < until) {
            return;
        }
        owner.paused_until = None;
        self.report_recent_restarts(index);
        let owner = &mut self.owners[index];
        owner.plan_calls(&listed, self.table.ledger_version, now);
        while let Some(call) = self.owners[index].calls.pop_front() {
            if !self.make_call(index, call) {
                return;
            }
        }
    }

    fn crash(&mut self, minion: Option<MinionId>) {
        let Some(name) = self.remove_minion(minion) else { return };
        self.record(|| format!("minion {name} crashes"));
        self.restart_later(&name);
    }

    fn restart_later(&mut self, name: &str) {
        let name = if self.keeps_ids { name.to_string() } else { format!("{name}'") };
        self.pending_restarts.push((self.now + RESTART_DELAY, name));
    }

    fn incarnation_of(&self, minion: Option<MinionId>) -> Option<Incarnation> {
        let minion = minion?;
        self.minions.iter().find(|up| up.id == minion).map(|up| up.incarnation)
    }

    /// Crashes and removes a minion; returns its id.
    fn remove_minion(&mut self, minion: Option<MinionId>) -> Option<MinionId> {
        let name = minion.unwrap_or(MINION_IDS[0].into());
        let at = self.minions.iter().position(|minion| minion.id == name)?;
        self.record_end(&name);
        self.minions.remove(at).crash(self.now, &mut self.history);
        self.pending_crashes.retain(|(_, minion)| *minion != name);
        Some(name)
    }

    pub(crate) fn execute(&mut self, token: u64, call: &Call) -> Answer {
        let now = self.now;
        match call {
            Call::Renew { .. } | Call::Store { .. } if now < self.outage_until => {
                return Answer::Unknown;
            }
            Call::Renew { .. } | Call::Store { .. } if token != self.table.token => {
                return Answer::Superseded;
            }
            Call::Renew { sent } => {
                self.table.renewals += 1;
                self.write_renewal(token, sent.unwrap_or(now));
                return Answer::Done;
            }
            Call::Store { version, .. } if *version != self.table.ledger_version => {
                return Answer::Refused(Refusal::StaleRun);
            }
            Call::Store { batch, .. } => {
                self.table.ledger_version += 1;
                self.store_progress(batch);
                return Answer::Done;
            }
            _ => {}
        }
        let name = call.minion().unwrap();
        let is_cut =
            self.zone_cuts.get(&name).is_some_and(|(at, until)| token != *at && now < *until);
        if is_cut || self.partitioned_until.get(&name).is_some_and(|until| now < *until) {
            return Answer::Unknown;
        }
        let Some(at) = self.minions.iter().position(|minion| minion.id == name) else {
            let up = self.minions.iter().any(|minion| minion.id.starts_with(&*name));
            return if up { Answer::OtherIncarnation } else { Answer::Unknown };
        };
        let before = self.history.len();
        let minion = &mut self.minions[at];
        if let Call::Hold { connected_to: Some(incarnation), .. } = call
            && *incarnation != minion.incarnation
        {
            // The connection was closed when the incarnation that accepted it ended.
            return Answer::Unknown;
        }
        let result = match call {
            Call::Hold { acknowledged, deadline, token, .. } => {
                let history = &mut self.history;
                minion.hold(*token, *acknowledged, *deadline, now, history).map(Answer::Report)
            }
            Call::Start { start, .. } => {
                let start =
                    Start { fails: fails_next(&self.history, &start.task), ..start.clone() };
                minion.start(&start, now, &mut self.history).map(|()| Answer::Done)
            }
            Call::Stop { task, run, token, .. } => {
                minion.stop(*task, *run, *token, now).map(|()| Answer::Done)
            }
            _ => Ok(Answer::Done),
        };
        if self.history.len() > before {
            if self.history[before].task.job == id(CRASHING_JOB) {
                self.pending_crashes.push((now + CRASH_DELAY, name.clone()));
            }
            let run = self.history[before].clone();
            self.record(|| format!("minion {name} starts {} run {}", run.task, run.run));
            self.check_start(at);
        }
        result.unwrap_or_else(Answer::Refused)
    }

    fn store_progress(&mut self, batch: &Batch) {
        for (id, _, progress) in &batch.rows {
            let (_, definition) = jobs().into_iter().find(|(known, _)| known == id).unwrap();
            let mut flat = 0;
            for (number, step) in definition.steps.iter().enumerate() {
                for index in 0..step.count {
                    let done =
                        progress.done.contains(&flat) || progress.outcome == Some(State::Completed);
                    if done {
                        let name = TaskName { job: *id, occurrence: 0, step: number as u32, index };
                        self.table.done_stored_at.entry(name).or_insert(self.now);
                    }
                    flat += 1;
                }
            }
            self.table.progress.insert(*id, progress.clone());
        }
    }

    /// Checks the last start in the history.
    fn check_start(&mut self, at: usize) {
        let run = self.history[self.history.len() - 1].clone();
        let mut violations = Vec::new();
        if !self.minions[at].capacity.holds(&self.minions[at].used()) {
            violations.push("over its capacity");
        }
        let earlier = |other: &&RunRecord| other.task == run.task && other.run != run.run;
        if self.history.iter().filter(earlier).any(|other| other.ended.is_none()) {
            violations.push("twice at once");
        }
        if self.table.done_stored_at.get(&run.task).is_some_and(|at| *at < self.now) {
            violations.push("after its end was stored");
        }
        let done = |other: &RunRecord| matches!(other.ended, Some((_, EndReason::Done)));
        if self.history.iter().filter(earlier).any(|other| done(other) && other.acknowledged) {
            violations.push("after its end was acknowledged");
        }
        let is_cancelled = run.task.job == id(CANCELLED_JOB) && self.is_cancellation_due();
        if is_cancelled || WITHDRAWN_JOBS.iter().any(|(job, _)| run.task.job == id(*job)) {
            violations.push("after its job was cancelled");
        }
        if run.task.job == id(CRASHING_JOB) && self.crashing_starts() == TOO_MANY_STARTS {
            violations.push("three times more after three crashes");
        }
        for before in step_of(&run.task).after {
            let count = step_of(&TaskName { step: before, ..run.task }).count;
            let is_done = |index: u32| {
                let name = TaskName { step: before, index, ..run.task };
                self.history.iter().any(|record| record.task == name && done(record))
            };
            if !(0..count).all(is_done) {
                violations.push("before an earlier step was done");
            }
        }
        for violation in violations {
            self.violations
                .push(format!("{} run {} {violation} at {:?}", run.task, run.run, self.now));
        }
    }

    /// Whether a job may have failed although none of its tasks crashes minions: so many minions
    /// crashed with one of its tasks for other reasons that it can't be distinguished from such a
    /// task.
    fn may_give_up(&self, job: u8) -> bool {
        let is_given_up = self.table.progress.get(&id(job)).and_then(|stored| stored.outcome);
        let mut crashes: BTreeMap<TaskName, usize> = BTreeMap::new();
        for run in self.history.iter().filter(|run| run.crashed && run.task.job == id(job)) {
            *crashes.entry(run.task).or_default() += 1;
        }
        let most = crashes.into_values().max().unwrap_or(0);
        is_given_up == Some(State::Failed) && most >= CRASHES_TO_GIVE_UP
    }

    /// Number of starts of the crashing task.
    pub(crate) fn crashing_starts(&self) -> usize {
        self.history.iter().filter(|run| run.task.job == id(CRASHING_JOB)).count()
    }

    /// Violations, and what is missing if the simulation isn't finished.
    ///
    /// With `TIMELINE` in the environment, the timeline of a failed simulation is printed.
    pub(crate) fn failures(&self) -> Vec<String> {
        let mut found = self.violations.clone();
        if !self.is_finished() {
            let chained = self.table.progress.get(&id(CHAINED_JOB));
            let long_running = self.active_long_running();
            let crashing = self.table.progress.get(&id(CRASHING_JOB));
            found.push(format!(
                "not finished: {chained:?}, {crashing:?}, {long_running} long-running tasks active"
            ));
        }
        if !found.is_empty() && std::env::var_os("TIMELINE").is_some() {
            println!("{:?}: {found:?}\n{}", self.faults, self.replay_timeline());
        }
        found
    }
}

/// Whether the next run of a task fails.
fn fails_next(history: &[RunRecord], task: &TaskName) -> bool {
    let has_failed =
        |run: &&RunRecord| run.task == *task && matches!(run.ended, Some((_, EndReason::Failed)));
    let failures = history.iter().filter(has_failed).count();
    task.job == id(FAILING_JOB) && failures + 1 < FAILING_JOB_ATTEMPTS as usize
}

/// Number of the late job with this index.
fn late_job(index: u8) -> u8 {
    FIRST_LATE_JOB + index
}

/// The jobs that callers may submit.
fn jobs() -> Vec<(Id, Definition)> {
    // Still running when another owner has taken over.
    let long = Step { estimate_ms: 2500, ..step(1) };
    let late = (0..LATE_JOBS).map(late_job).chain(WITHDRAWN_JOBS.map(|(job, _)| job));
    let late = late.map(|number| (id(number), definition(vec![long.clone()])));
    let failing = (id(FAILING_JOB), definition(vec![step(1)]));
    base_jobs().into_iter().chain(late).chain([failing]).collect()
}

/// The jobs that callers submit before the beginning.
fn base_jobs() -> Vec<(Id, Definition)> {
    let after = |before: u32, step: Step| Step { after: [before].into_iter().collect(), ..step };
    // Ends before the next poll, so that an acknowledgement can cover an end not yet read.
    let quick = Step { estimate_ms: 40, ..step(2) };
    let chained = vec![step(3), after(0, step(2)), after(1, quick)];
    let long_running =
        Step { long_running: true, max_unavailable: Some(1), max_per_minion: Some(1), ..step(2) };
    let long = Step { estimate_ms: 60_000, ..step(2) };
    let crashing = vec![step(1)];
    [
        (CHAINED_JOB, chained),
        (LONG_RUNNING_JOB, vec![long_running]),
        (CANCELLED_JOB, vec![long]),
        (CRASHING_JOB, crashing),
    ]
    .map(|(number, steps)| (id(number), definition(steps)))
    .into()
}

/// The step that a task belongs to.
pub(crate) fn step_of(task: &TaskName) -> Step {
    let jobs = jobs();
    let (_, definition) = jobs.iter().find(|(id, _)| *id == task.job).unwrap();
    definition.steps[task.step as usize].clone()
}
