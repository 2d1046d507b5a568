//! Tests of the decisions about jobs.

use assert_matches::assert_matches;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use celerythread_model::unit::{Accelerators, Bytes, Millicores};
use celerythread_policy::learning::Estimates;
use celerythread_policy::placement::{
    Allowance, CandidateWorker, Misses, Need, PatientTask, Placement, place,
};
use proptest::prelude::*;
use std::time::Duration;

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn size(cpu: u32, gib: u64, accelerators: u32) -> Size {
    Size {
        cpu: Millicores(cpu),
        memory: Bytes::mebi(gib * 1024),
        accelerators: Accelerators(accelerators),
    }
}

fn candidate(name: &str, total: Size, free: Size) -> CandidateWorker {
    CandidateWorker {
        worker: id(name),
        zone: id("z"),
        rack: id("r"),
        total,
        free,
        ejected: false,
        patient: Default::default(),
    }
}

fn need(size: Size, class: Class) -> Need {
    Need { size, class, avoid: None }
}

#[test]
fn the_tightest_fit_wins() {
    let total = size(16_000, 32, 0);
    let candidates = [candidate("wide", total, total), candidate("tight", total, size(4000, 8, 0))];
    let placed = place(&need(size(4000, 8, 0), Class::Patient), &candidates, None);
    assert_eq!(placed, Placement::Start(id("tight")));
}

#[test]
fn accelerators_are_left_to_jobs_that_need_them() {
    let with = size(16_000, 32, 4);
    let without = size(16_000, 32, 0);
    let candidates =
        [candidate("with", with, size(4000, 8, 4)), candidate("without", without, without)];
    let plain = need(size(4000, 8, 0), Class::Patient);
    assert_eq!(place(&plain, &candidates, None), Placement::Start(id("without")));
    let accelerated = need(size(4000, 8, 2), Class::Patient);
    assert_eq!(place(&accelerated, &candidates, None), Placement::Start(id("with")));
}

/// Guards against urgent work that waits behind patient work when the fleet is full of the latter.
#[test]
fn urgent_work_preempts_the_fewest_patient_jobs() {
    let total = size(16_000, 32, 0);
    let patient = |name: &str, size: Size| PatientTask { job: id(name), size };
    let mut many = candidate("many", total, size(0, 0, 0));
    many.patient = (0..8).map(|n| patient(&format!("p{n}"), size(2000, 4, 0))).collect();
    let mut few = candidate("few", total, size(0, 0, 0));
    few.patient = [patient("large", size(16_000, 32, 0))].into_iter().collect();
    let candidates = [many, few];
    let urgent = need(size(4000, 8, 0), Class::Urgent);
    let Placement::Preempt(worker, jobs) = place(&urgent, &candidates, None) else { panic!() };
    assert_eq!((worker, jobs.as_slice()), (id("few"), &[id("large")][..]));
    assert_eq!(place(&need(size(4000, 8, 0), Class::Patient), &candidates, None), Placement::Wait);
}

#[test]
fn a_job_that_can_never_run_is_refused_with_a_reason() {
    let total = size(16_000, 32, 0);
    let candidates = [candidate("w", total, size(0, 0, 0))];
    let reason = |size| match place(&need(size, Class::Urgent), &candidates, None) {
        Placement::Impossible(reason) => reason,
        other => panic!("{other:?}"),
    };
    assert!(reason(size(17_000, 1, 0)).contains("core"));
    assert!(reason(size(1000, 64, 0)).contains("memory"));
    assert!(reason(size(1000, 1, 1)).contains("accelerators"));
    let quota = Allowance { quota: size(1000, 99, 0), used: Size::default() };
    let placed = place(&need(size(2000, 1, 0), Class::Urgent), &candidates, Some(quota));
    assert_matches!(placed, Placement::Impossible(reason) if reason.contains("quota"));
}

#[test]
fn a_job_waits_for_quota_and_an_ejected_worker_gets_nothing() {
    let total = size(16_000, 32, 0);
    let mut candidates = [candidate("w", total, total)];
    let quota = Allowance { quota: size(4000, 99, 0), used: size(3000, 0, 0) };
    let urgent = need(size(2000, 1, 0), Class::Urgent);
    assert_eq!(place(&urgent, &candidates, Some(quota)), Placement::Wait);
    candidates[0].ejected = true;
    assert_eq!(place(&urgent, &candidates, None), Placement::Wait);
}

#[test]
fn a_miss_covers_equal_and_larger_needs() {
    let mut misses = Misses::default();
    misses.record(&need(size(4000, 8, 0), Class::Patient));
    assert!(misses.covers(&need(size(4000, 9, 0), Class::Patient)));
    assert!(!misses.covers(&need(size(4000, 7, 0), Class::Patient)));
    assert!(!misses.covers(&need(size(4000, 9, 0), Class::Urgent)));
}

/// Guards against workers that are overloaded because declared sizes are far too small, here by a
/// factor of four.  After a few reports the estimated size is used.
#[test]
fn sizes_are_estimated_by_kind() {
    let mut estimates = Estimates::default();
    let declared = size(1000, 1, 0);
    assert_eq!(estimates.size("audit", &declared), declared);
    for _ in 0..10 {
        estimates.record_usage("audit", &declared, Millicores(4000), Bytes::mebi(512));
        let hour = Duration::from_secs(3600);
        estimates.record_duration("audit", hour, hour / 2);
    }
    let estimated = estimates.size("audit", &declared);
    assert!((3900..=4100).contains(&estimated.cpu.0), "{estimated:?}");
    assert!(estimated.memory < Bytes::mebi(600), "{estimated:?}");
    assert!(estimates.duration("audit", Duration::from_secs(100)) <= Duration::from_secs(51));
    assert_eq!(estimates.size("other", &declared), declared);
}

proptest! {
    /// For any fleet and any jobs, no worker is given more than it has.
    #[test]
    fn no_job_is_placed_where_it_does_not_fit(
        workers in prop::collection::vec((1u32..16, 1u64..32, 0u32..4), 1..12),
        jobs in prop::collection::vec((1u32..8, 1u64..16, 0u32..3, any::<bool>()), 0..60),
    ) {
        let mut candidates: Vec<CandidateWorker> = workers.iter().enumerate()
            .map(|(n, (cpu, gib, acc))| {
                let total = size(cpu * 1000, *gib, *acc);
                candidate(&format!("w{n}"), total, total)
            }).collect();
        for (n, (cpu, gib, acc, urgent)) in jobs.into_iter().enumerate() {
            let class = if urgent { Class::Urgent } else { Class::Patient };
            let job = need(size(cpu * 1000, gib, acc), class);
            let (worker, preempted) = match place(&job, &candidates, None) {
                Placement::Start(worker) => (worker, Default::default()),
                Placement::Preempt(worker, preempted) => (worker, preempted),
                Placement::Wait | Placement::Impossible(_) => continue,
            };
            let candidate =
                candidates.iter_mut().find(|candidate| candidate.worker == worker).unwrap();
            let freed: Vec<Size> = candidate.patient.iter()
                .filter(|p| preempted.contains(&p.job)).map(|p| p.size).collect();
            candidate.patient.retain(|p| !preempted.contains(&p.job));
            freed.into_iter().for_each(|size| candidate.free += size);
            prop_assert!(job.size.fits(&candidate.free), "{:?} into {:?}", job.size, candidate.free);
            candidate.free -= job.size;
            if class == Class::Patient {
                candidate.patient.push(PatientTask { job: id(&format!("j{n}")), size: job.size });
            }
        }
    }
}
