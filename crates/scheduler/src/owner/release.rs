//! Answers of an owner to the fleet controller's requests to empty minions.

use super::Owner;
use crate::clock;
use crate::rows;
use crate::settings::Settings;
use celerythread_engine::cell::Minion;
use celerythread_engine::pools::Load;
use celerythread_engine::release::{Candidate, Permissions};
use celerythread_wire::job::Answer;
use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};

/// What an owner has permitted and refused.
pub(crate) struct Releases {
    /// Locked after the owner's cell.
    permissions: Mutex<Permissions>,
    /// The last fencing token that was refused, to log it once.
    refused_token: AtomicU64,
}

impl Releases {
    /// Those of an owner that takes a cell over now; `None` if no machine is ordered without the
    /// store.
    pub(super) fn new(settings: &Settings) -> Option<Self> {
        let is_used = !settings.order_alone.0.is_zero();
        is_used.then(|| Self {
            permissions: Mutex::new(Permissions::new(clock::now(), settings.maintenance_lease.0)),
            refused_token: AtomicU64::new(0),
        })
    }
}

/// The cell's load, whose empty minions are those that the holder with `token` may order by row, or
/// any holder if that is `None`; no load while the cell is not loaded.
pub(super) fn load(owner: &Owner, token: Option<u64>) -> Option<Load> {
    owner.with(|cell| {
        let now = clock::now();
        let mut load = cell.load(now);
        if let Some(releases) = &owner.releases {
            let permissions = releases.permissions.lock();
            let may_report = |id: &String| {
                let minion = cell.minion(id.as_str());
                minion.is_some_and(|it| permissions.may_report(&candidate(it), token, now))
            };
            load.empty.retain(may_report);
        }
        load
    })
}

/// Requests that minions are emptied, and answers which are empty.
pub(super) fn answer(
    owner: &Owner,
    minions: &[&str],
    token: u64,
    without_row: bool,
) -> Option<Answer> {
    if !admit(owner, token) {
        let refused = || load(owner, Some(token)).map(|load| Load { empty: Vec::new(), ..load });
        return match without_row {
            true => Some(Answer::Released { permitted: Vec::new() }),
            false => refused().map(Answer::Load),
        };
    }
    if without_row && owner.releases.is_none() {
        return Some(Answer::Released { permitted: Vec::new() });
    }
    owner.node.view.write().release(minions.iter().map(|id| (*id).to_owned()));
    owner.sync_minions();
    owner.plan_wake.wake();
    if !without_row {
        return load(owner, Some(token)).map(Answer::Load);
    }
    let permitted = permit(owner, minions, token)?;
    wake_polls(owner, minions, &permitted);
    let permitted = permitted.into_iter().map(Into::into).collect();
    Some(Answer::Released { permitted })
}

/// Whether the holder with this fencing token has not been replaced, as far as this owner knows
/// from questions, the control table and the directory.
fn admit(owner: &Owner, token: u64) -> bool {
    let Some(releases) = &owner.releases else { return true };
    let known = owner.node.holder(rows::FLEET_CELL).map_or(0, |route| route.token);
    let mut permissions = releases.permissions.lock();
    permissions.admit(known);
    let is_admitted = permissions.admit(token);
    drop(permissions);
    if !is_admitted && releases.refused_token.swap(token, Ordering::SeqCst) != token {
        owner.node.journal.warn(
            "release_refused",
            &[("service", &owner.service), ("token", &token), ("known", &known)],
        );
    }
    is_admitted
}

/// Permits the orders for those machines whose minions are empty; returns these minions.
fn permit<'a>(owner: &Owner, minions: &[&'a str], token: u64) -> Option<BTreeSet<&'a str>> {
    let releases = owner.releases.as_ref()?;
    let permitted: BTreeSet<&str> = owner.with(|cell| {
        let now = clock::now();
        let mut permissions = releases.permissions.lock();
        let mut is_permitted = |id: &&&str| {
            let minion = cell.minion(id);
            minion.is_some_and(|it| permissions.permit(&candidate(it), token, now))
        };
        minions.iter().filter(|id| is_permitted(id)).copied().collect()
    })?;
    if !permitted.is_empty() {
        owner.node.journal.info(
            "release_permitted",
            &[("service", &owner.service), ("token", &token), ("minions", &permitted.len())],
        );
    }
    Some(permitted)
}

/// Polls the minions that are not permitted: an idle one answers too rarely for a permission, which
/// the next request will get.
fn wake_polls(owner: &Owner, minions: &[&str], permitted: &BTreeSet<&str>) {
    let supervisors = owner.supervisors.lock();
    let others = minions.iter().filter(|id| !permitted.contains(*id));
    others.filter_map(|id| supervisors.get(*id)).for_each(|supervisor| supervisor.poll_wake.wake());
}

fn candidate(minion: &Minion) -> Candidate<'_> {
    Candidate {
        minion: &minion.id,
        is_empty: minion.leaving && minion.listed && minion.is_reachable() && minion.is_empty(),
        polled_at: minion.polled_at,
        answering_since: minion.answering_since,
        is_inherited: minion.inherited,
    }
}
