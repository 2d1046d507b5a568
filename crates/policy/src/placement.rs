//! Finding a worker for a job.

use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use smallvec::SmallVec;

/// A patient task that could be put aside.
#[derive(Clone, Debug)]
pub struct PatientTask {
    /// The job.
    pub job: id::Job,
    /// What it holds.
    pub size: Size,
}

/// A worker as the decision sees it.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// The worker.
    pub worker: id::Worker,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// What it has in all.
    pub total: Size,
    /// What is free.
    pub free: Size,
    /// Whether it is set aside.
    pub ejected: bool,
    /// Patient tasks on it, the last started first.
    pub patient: SmallVec<[PatientTask; 4]>,
}

/// What a job needs.
#[derive(Clone, Debug)]
pub struct Need {
    /// What to reckon with, learnt rather than declared.
    pub size: Size,
    /// Urgent or patient.
    pub class: Class,
    /// A worker that just failed it.
    pub avoid: Option<id::Worker>,
}

/// What a team may still take.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Its quota in all.
    pub quota: Size,
    /// What its running jobs hold.
    pub used: Size,
}

/// Where a job goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Start it there.
    Start(id::Worker),
    /// Put these patient jobs aside there first.
    Preempt(id::Worker, SmallVec<[id::Job; 4]>),
    /// No room now.
    Wait,
    /// It can never run, for this reason.
    Impossible(String),
}

/// What found no room in this round, so that the same need is not searched for again.
///
/// A backlog of thousands of alike patient jobs would otherwise cost a search of all workers
/// each, twice a second.
#[derive(Debug, Default)]
pub struct Misses {
    missed: SmallVec<[(Class, Size); 8]>,
}

impl Misses {
    /// Notes a need that found no room.
    pub fn record(&mut self, need: &Need) {
        if !self.covers(need) {
            self.missed.push((need.class, need.size));
        }
    }

    /// Whether a need of the same class, no larger than this one, found no room.
    pub fn covers(&self, need: &Need) -> bool {
        self.missed.iter().any(|(class, size)| *class == need.class && size.fits(&need.size))
    }
}

/// Decides where a job goes.
///
/// The tightest fit wins, so that large holes stay for large jobs; accelerators are not taken
/// up by jobs that need none while others have room.  Urgent work that finds no room puts
/// patient work aside, the least of it that suffices: the buffer for urgent work is patient
/// work that can wait, not idle machines.
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

/// Why a job can never run, if so.
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

/// What would be left over, in thousandths of the worker, of its tightest dimension's sibling.
fn slack(left: &Size, total: &Size) -> u64 {
    let part = |left: u64, total: u64| (left * 1000).checked_div(total).unwrap_or(0);
    part(left.cpu.0.into(), total.cpu.0.into()) + part(left.memory.0, total.memory.0)
}

/// The fewest patient jobs whose room, with what is free, suffices.
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
