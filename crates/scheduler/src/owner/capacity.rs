//! Capacity of an owned cell, for the log and the metrics page.

use crate::clock;
use crate::metrics::to_cores;
use crate::owner::Owner;
use celerythread_engine::cell::capacity::{Usability, WaitReason};
use std::fmt::Display;

/// Updates the gauges of the owner's cell, and writes a log line if any task waits.
///
/// An owner that may have been replaced withdraws its gauges, because its successor shows the same
/// ones.  It continues to log, so that the log tells why nothing starts in a long outage.
pub(crate) fn report(owner: &Owner) {
    let (now, wall_ms, permit) = (clock::now(), clock::wall_ms(), owner.node.permit());
    let Some(capacity) = owner.with(|cell| cell.capacity(now, wall_ms, permit)) else { return };
    if owner.node.may_extend_leases() {
        owner.node.metrics.set_capacity(&owner.service, owner.token, capacity);
    } else {
        withdraw(owner);
    }
    if !capacity.has_waiting() {
        return;
    }
    let unused = |usability: Usability| to_cores(capacity.unused(usability));
    let tasks = |reason: WaitReason| capacity.waiting(reason).tasks;
    let cores = |reason: WaitReason| to_cores(capacity.waiting(reason).millicores);
    let fields: [(&'static str, &dyn Display); 23] = [
        ("service", &owner.service),
        ("minions", &capacity.minions),
        ("cores", &to_cores(capacity.millicores)),
        ("free_cores", &to_cores(capacity.free())),
        ("usable_cores", &unused(Usability::Usable)),
        ("too_small_cores", &unused(Usability::TooSmall)),
        ("unsuitable_cores", &unused(Usability::Unsuitable)),
        ("reserved_cores", &unused(Usability::Reserved)),
        ("unneeded_cores", &unused(Usability::Unneeded)),
        ("not_accepting_cores", &unused(Usability::NotAccepting)),
        ("ready", &tasks(WaitReason::Ready)),
        ("ready_cores", &cores(WaitReason::Ready)),
        ("blocked", &tasks(WaitReason::Blocked)),
        ("blocked_cores", &cores(WaitReason::Blocked)),
        ("inherited", &tasks(WaitReason::Inherited)),
        ("inherited_cores", &cores(WaitReason::Inherited)),
        ("held", &tasks(WaitReason::Held)),
        ("held_cores", &cores(WaitReason::Held)),
        ("delayed", &tasks(WaitReason::Delayed)),
        ("delayed_cores", &cores(WaitReason::Delayed)),
        ("restricted", &tasks(WaitReason::Restricted)),
        ("restricted_cores", &cores(WaitReason::Restricted)),
        ("oldest_ready_ms", &capacity.oldest_ready_ms),
    ];
    owner.node.journal.info("capacity", &fields);
}

/// Removes the gauges of the owner's cell.
pub(crate) fn withdraw(owner: &Owner) {
    owner.node.metrics.remove_capacity(&owner.service, owner.token);
}
