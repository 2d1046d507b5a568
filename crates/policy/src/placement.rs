//! Placement of jobs on workers.

use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use smallvec::SmallVec;

/// A running patient task that can be preempted.
#[derive(Clone, Debug)]
pub struct PatientTask {
    /// The job.
    pub job: id::Job,
    /// The resources that it holds.
    pub size: Size,
}

/// A worker, as the placement sees it.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// The worker.
    pub worker: id::Worker,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Its total resources.
    pub total: Size,
    /// Its free resources.
    pub free: Size,
    /// Whether it is ejected, so that it gets no jobs.
    pub ejected: bool,
    /// Patient tasks that run on it, the most recently started first; they are preempted in this
    /// order.
    pub patient: SmallVec<[PatientTask; 4]>,
}

/// The requirements of a job.
#[derive(Clone, Debug)]
pub struct Need {
    /// The estimated size, not the declared one.
    pub size: Size,
    /// The class: urgent or patient.
    pub class: Class,
    /// A worker that just failed the job; it is chosen only if the job fits on no other.
    pub avoid: Option<id::Worker>,
}

/// A team's quota and usage.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// The team's whole quota.
    pub quota: Size,
    /// The resources that its running jobs hold.
    pub used: Size,
}

/// The result of a placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Start the job on this worker.
    Start(id::Worker),
    /// Preempt these patient jobs on this worker first.
    Preempt(id::Worker, SmallVec<[id::Job; 4]>),
    /// Nothing suitable is free now.
    Wait,
    /// The job can never run, for this reason.
    Impossible(String),
}

/// Requirements that couldn't be placed in this round, so that similar ones aren't searched for
/// again.
///
/// Without it, each job of a backlog of thousands of similar patient jobs would cost a search of
/// all workers, twice a second.
#[derive(Debug, Default)]
pub struct Misses {
    missed: SmallVec<[(Class, Size); 8]>,
}

impl Misses {
    /// Records a need that couldn't be placed.
    pub fn record(&mut self, need: &Need) {
        if !self.covers(need) {
            self.missed.push((need.class, need.size));
        }
    }

    /// Whether a need of the same class that is no larger than this one couldn't be placed.
    pub fn covers(&self, need: &Need) -> bool {
        self.missed.iter().any(|(class, size)| *class == need.class && size.fits(&need.size))
    }
}

/// Decides where a job goes.
///
/// Best fit, so that large amounts of free resources stay available for large jobs.  Jobs that need
/// no accelerators use workers with free accelerators only if no other worker fits.  Urgent work
/// that fits nowhere preempts patient work, on the worker where the fewest jobs suffice: the spare
/// capacity for urgent work is patient work that can wait, not idle machines.
pub fn place(
    need: &Need,
    candidates: &[CandidateWorker],
    allowance: Option<Allowance>,
) -> Placement {
    if let Some(reason) = impossible_reason(need, candidates, allowance) {
        return Placement::Impossible(reason);
    }
    if let Some(allowance) = allowance
        && !(allowance.used + need.size).fits(&allowance.quota)
    {
        return Placement::Wait;
    }
    let usable = || candidates.iter().filter(|candidate| !candidate.ejected);
    let best =
        usable().filter(|candidate| need.size.fits(&candidate.free)).min_by_key(|candidate| {
            let avoided = need.avoid.as_ref() == Some(&candidate.worker);
            let wasted = need.size.accelerators.0 == 0 && candidate.free.accelerators.0 > 0;
            (avoided, wasted, slack(&candidate.free.minus(&need.size), &candidate.total))
        });
    if let Some(candidate) = best {
        return Placement::Start(candidate.worker.clone());
    }
    if need.class == Class::Patient {
        return Placement::Wait;
    }
    let victims =
        usable().filter_map(|candidate| Some((jobs_to_preempt(need, candidate)?, candidate)));
    match victims.min_by_key(|(jobs, _)| jobs.len()) {
        Some((jobs, candidate)) => Placement::Preempt(candidate.worker.clone(), jobs),
        None => Placement::Wait,
    }
}

/// Why the job can never run; none if it can.
fn impossible_reason(
    need: &Need,
    candidates: &[CandidateWorker],
    allowance: Option<Allowance>,
) -> Option<String> {
    if let Some(allowance) = allowance
        && !need.size.fits(&allowance.quota)
    {
        return Some("it needs more than its team's whole quota".into());
    }
    if candidates.is_empty() || candidates.iter().any(|candidate| need.size.fits(&candidate.total))
    {
        return None;
    }
    let max_total = |f: fn(&Size) -> u64| {
        candidates.iter().map(|candidate| f(&candidate.total)).max().unwrap_or(0)
    };
    let shortage = |name: &str, f: fn(&Size) -> u64| {
        let (needed, largest) = (f(&need.size), max_total(f));
        (needed > largest)
            .then(|| format!("it needs {needed} {name} and no worker has over {largest}"))
    };
    shortage("thousandths of a core", |size| size.cpu.0.into())
        .or_else(|| shortage("bytes of memory", |size| size.memory.0))
        .or_else(|| shortage("accelerators", |size| size.accelerators.0.into()))
        .or_else(|| Some("no single worker has all that it needs together".into()))
}

/// The sum of the shares of processor and memory that would stay free, in thousandths of the
/// worker's total.
fn slack(left: &Size, total: &Size) -> u64 {
    let part = |left: u64, total: u64| (left * 1000).checked_div(total).unwrap_or(0);
    part(left.cpu.0.into(), total.cpu.0.into()) + part(left.memory.0, total.memory.0)
}

/// The first of the worker's patient jobs that, with what is free already, free enough resources;
/// none if not even all of them do.
fn jobs_to_preempt(need: &Need, candidate: &CandidateWorker) -> Option<SmallVec<[id::Job; 4]>> {
    let mut freed = candidate.free;
    let mut jobs = SmallVec::new();
    for patient in &candidate.patient {
        if need.size.fits(&freed) {
            break;
        }
        freed += patient.size;
        jobs.push(patient.job.clone());
    }
    need.size.fits(&freed).then_some(jobs)
}
