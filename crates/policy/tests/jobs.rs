//! The decisions about jobs.

use assert_matches::assert_matches;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use celerythread_model::unit::{Accelerators, Bytes, Millicores};
use celerythread_policy::learning::Estimates;
use celerythread_policy::placement::{Allowance, Misses, Need, Patient, Placement, Room, place};
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

fn room(name: &str, total: Size, free: Size) -> Room {
    Room {
        worker: id(name),
        zone: id("z"),
        rack: id("r"),
        total,
        free,
        resting: false,
        patient: Default::default(),
    }
}

fn need(size: Size, class: Class) -> Need {
    Need { size, class, avoid: None }
}

#[test]
fn the_tightest_fit_wins() {
    let total = size(16_000, 32, 0);
    let rooms = [room("wide", total, total), room("tight", total, size(4000, 8, 0))];
    let placed = place(&need(size(4000, 8, 0), Class::Patient), &rooms, None);
    assert_eq!(placed, Placement::Start(id("tight")));
}

#[test]
fn accelerators_are_left_to_those_who_need_them() {
    let with = size(16_000, 32, 4);
    let without = size(16_000, 32, 0);
    let rooms = [room("with", with, size(4000, 8, 4)), room("without", without, without)];
    let plain = need(size(4000, 8, 0), Class::Patient);
    assert_eq!(place(&plain, &rooms, None), Placement::Start(id("without")));
    let trained = need(size(4000, 8, 2), Class::Patient);
    assert_eq!(place(&trained, &rooms, None), Placement::Start(id("with")));
}

/// A shop's revaluation waits behind a year-end audit: the fleet is full of patient work.
#[test]
fn urgent_work_puts_the_least_patient_work_aside() {
    let total = size(16_000, 32, 0);
    let patient = |name: &str, size: Size| Patient { job: id(name), size };
    let mut many = room("many", total, size(0, 0, 0));
    many.patient = (0..8).map(|n| patient(&format!("p{n}"), size(2000, 4, 0))).collect();
    let mut few = room("few", total, size(0, 0, 0));
    few.patient = [patient("large", size(16_000, 32, 0))].into_iter().collect();
    let rooms = [many, few];
    let urgent = need(size(4000, 8, 0), Class::Urgent);
    let Placement::PutAside(worker, jobs) = place(&urgent, &rooms, None) else { panic!() };
    assert_eq!((worker, jobs.as_slice()), (id("few"), &[id("large")][..]));
    assert_eq!(place(&need(size(4000, 8, 0), Class::Patient), &rooms, None), Placement::Wait);
}

#[test]
fn what_can_never_run_is_told_with_its_reason() {
    let total = size(16_000, 32, 0);
    let rooms = [room("w", total, size(0, 0, 0))];
    let told = |size| match place(&need(size, Class::Urgent), &rooms, None) {
        Placement::Impossible(reason) => reason,
        other => panic!("{other:?}"),
    };
    assert!(told(size(17_000, 1, 0)).contains("core"));
    assert!(told(size(1000, 64, 0)).contains("memory"));
    assert!(told(size(1000, 1, 1)).contains("accelerators"));
    let quota = Allowance { quota: size(1000, 99, 0), used: Size::default() };
    let placed = place(&need(size(2000, 1, 0), Class::Urgent), &rooms, Some(quota));
    assert_matches!(placed, Placement::Impossible(reason) if reason.contains("quota"));
}

#[test]
fn a_full_quota_waits_and_a_resting_worker_gets_nothing() {
    let total = size(16_000, 32, 0);
    let mut rooms = [room("w", total, total)];
    let quota = Allowance { quota: size(4000, 99, 0), used: size(3000, 0, 0) };
    let urgent = need(size(2000, 1, 0), Class::Urgent);
    assert_eq!(place(&urgent, &rooms, Some(quota)), Placement::Wait);
    rooms[0].resting = true;
    assert_eq!(place(&urgent, &rooms, None), Placement::Wait);
}

#[test]
fn a_miss_covers_what_needs_no_less() {
    let mut misses = Misses::default();
    misses.note(&need(size(4000, 8, 0), Class::Patient));
    assert!(misses.covers(&need(size(4000, 9, 0), Class::Patient)));
    assert!(!misses.covers(&need(size(4000, 7, 0), Class::Patient)));
    assert!(!misses.covers(&need(size(4000, 9, 0), Class::Urgent)));
}

/// Declared sizes are far off: four times too small, and the worker is overloaded by what it
/// was given.  After a few tasks the learnt size is reckoned with.
#[test]
fn sizes_are_learnt_by_kind() {
    let mut estimates = Estimates::default();
    let declared = size(1000, 1, 0);
    assert_eq!(estimates.size("audit", &declared), declared);
    for _ in 0..10 {
        estimates.learn_use("audit", &declared, Millicores(4000), Bytes::mebi(512));
        let hour = Duration::from_secs(3600);
        estimates.learn_duration("audit", hour, hour / 2);
    }
    let learnt = estimates.size("audit", &declared);
    assert!((3900..=4100).contains(&learnt.cpu.0), "{learnt:?}");
    assert!(learnt.memory < Bytes::mebi(600), "{learnt:?}");
    assert!(estimates.duration("audit", Duration::from_secs(100)) <= Duration::from_secs(51));
    assert_eq!(estimates.size("other", &declared), declared);
}

proptest! {
    /// Whatever the fleet and the jobs, no worker is given more than it has.
    #[test]
    fn nothing_is_placed_where_it_does_not_fit(
        workers in prop::collection::vec((1u32..16, 1u64..32, 0u32..4), 1..12),
        jobs in prop::collection::vec((1u32..8, 1u64..16, 0u32..3, any::<bool>()), 0..60),
    ) {
        let mut rooms: Vec<Room> = workers.iter().enumerate().map(|(n, (cpu, gib, acc))| {
            let total = size(cpu * 1000, *gib, *acc);
            room(&format!("w{n}"), total, total)
        }).collect();
        for (n, (cpu, gib, acc, urgent)) in jobs.into_iter().enumerate() {
            let class = if urgent { Class::Urgent } else { Class::Patient };
            let job = need(size(cpu * 1000, gib, acc), class);
            let (worker, aside) = match place(&job, &rooms, None) {
                Placement::Start(worker) => (worker, Default::default()),
                Placement::PutAside(worker, aside) => (worker, aside),
                Placement::Wait | Placement::Impossible(_) => continue,
            };
            let room = rooms.iter_mut().find(|room| room.worker == worker).unwrap();
            let freed: Vec<Size> = room.patient.iter()
                .filter(|p| aside.contains(&p.job)).map(|p| p.size).collect();
            room.patient.retain(|p| !aside.contains(&p.job));
            freed.into_iter().for_each(|size| room.free += size);
            prop_assert!(job.size.fits(&room.free), "{:?} into {:?}", job.size, room.free);
            room.free -= job.size;
            if class == Class::Patient {
                room.patient.push(Patient { job: id(&format!("j{n}")), size: job.size });
            }
        }
    }
}
