//! The slots of the minions that this entry owns.
//!
//! Each dispatch to a minion holds one grant of the minion's owner, used by the owner or lent to a
//! peer.  Therefore the minion's slots bound the work of all entries together, and its owner alone
//! can tell that a draining minion has no work.

use crate::health::{Health, State};
use crate::time::Moment;
use celerythread_model::id;
use celerythread_model::unit::{Epoch, Slots};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of a grant, unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Grant(pub u64);

/// The user of a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// This entry.
    Own,
    /// A peer.
    Peer(id::Entry),
}

/// A grant and the minion that it is for.
#[derive(Clone, Debug)]
pub struct Permit {
    /// Its number.
    pub grant: Grant,
    /// The minion.
    pub minion: id::Minion,
    /// The address on which it serves.
    pub address: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
}

/// The result of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchResult {
    /// The minion answered.
    Answered,
    /// The dispatch to the minion failed.
    Failed,
    /// The minion reported that it is leaving or full.
    Leaving,
    /// Nothing was sent, for a reason that is not the minion's.
    Unused,
}

/// A minion's description.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its pool.
    pub service: id::Service,
    /// Its slots.
    pub slots: Slots,
    /// The address on which it serves.
    pub address: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether it gets new work.
    pub active: bool,
}

#[derive(Debug)]
struct Minion {
    spec: Spec,
    health: Health,
    grants: BTreeMap<Grant, Holder>,
    /// Slots that stay occupied after a failure, each until a moment.
    penalties: Vec<Moment>,
    /// Slots that a former owner may still use, and until when they are reserved.
    reserved: Option<(u32, Moment)>,
    /// When the backoff ends after the minion reported that it is leaving or full.
    backoff_until: Moment,
    /// The latest grant on the minion, so that equally loaded minions take turns.
    last_grant: Grant,
}

/// How long a minion gets no requests after it reported that it is leaving or full.
const LEAVING_BACKOFF: Duration = Duration::from_millis(500);

impl Minion {
    fn occupied(&self, now: Moment) -> u32 {
        let penalties = self.penalties.iter().filter(|until| **until > now).count();
        let reserved = self.reserved.filter(|(_, until)| *until > now).map_or(0, |(n, _)| n);
        (self.grants.len() + penalties) as u32 + reserved
    }

    /// The occupied slots plus the recent consecutive failures, so that a first attempt goes to a
    /// minion that answers.
    fn apparent_load(&self, now: Moment) -> u32 {
        self.occupied(now) + self.health.recent_failures(now).min(self.spec.slots.0)
    }

    fn free(&self, now: Moment) -> u32 {
        if !self.spec.active || self.backoff_until > now {
            return 0;
        }
        let limit = match self.health.state(now) {
            State::Healthy => self.spec.slots.0,
            State::Probing => 1,
            State::Ejected(_) => 0,
        };
        limit.saturating_sub(self.occupied(now))
    }
}

/// A service's slots at this entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Slots of active minions.
    pub slots: u32,
    /// The free ones of them.
    pub free: u32,
}

/// All minions that this entry owns.
#[derive(Debug, Default)]
pub struct Ledger {
    minions: BTreeMap<id::Minion, Minion>,
    by_service: HashMap<id::Service, Vec<id::Minion>>,
    minion_by_grant: HashMap<Grant, id::Minion>,
    last_number: u64,
}

impl Ledger {
    /// Adds a minion or updates its description.  `reserved` slots may still be in use by a former
    /// owner until the given moment; it is ignored for an update.
    pub fn upsert_minion(
        &mut self,
        minion: id::Minion,
        spec: Spec,
        reserved: Option<(u32, Moment)>,
    ) {
        let service = spec.service.clone();
        match self.minions.get_mut(&minion) {
            Some(known) => {
                // A new epoch means that the minion was rebooted, so its earlier health no longer
                // applies.
                if known.spec.epoch != spec.epoch {
                    known.health = Health::default();
                    known.backoff_until = Moment(0);
                }
                let old = std::mem::replace(&mut known.spec, spec).service;
                if old != service {
                    self.remove_from_service(&old, &minion);
                    self.by_service.entry(service).or_default().push(minion);
                }
            }
            None => {
                let entry = Minion {
                    spec,
                    health: Health::default(),
                    grants: BTreeMap::new(),
                    penalties: Vec::new(),
                    reserved,
                    backoff_until: Moment(0),
                    last_grant: Grant(0),
                };
                self.minions.insert(minion.clone(), entry);
                self.by_service.entry(service).or_default().push(minion);
            }
        }
    }

    /// Removes a minion and its grants.  Finishing one of them afterwards has no effect.
    pub fn remove_minion(&mut self, minion: &id::Minion) {
        if let Some(known) = self.minions.remove(minion) {
            self.remove_from_service(&known.spec.service, minion);
            for grant in known.grants.keys() {
                self.minion_by_grant.remove(grant);
            }
        }
    }

    fn remove_from_service(&mut self, service: &id::Service, minion: &id::Minion) {
        if let Some(list) = self.by_service.get_mut(service) {
            list.retain(|name| name != minion);
        }
    }

    /// Whether a minion is owned here.
    pub fn owns(&self, minion: &id::Minion) -> bool {
        self.minions.contains_key(minion)
    }

    /// The minions owned here.
    pub fn owned(&self) -> impl Iterator<Item = &id::Minion> {
        self.minions.keys()
    }

    /// Grants a slot of the service's least loaded minion.  `avoid` is chosen only if no other has
    /// a free slot.
    pub fn grant(
        &mut self,
        service: &id::Service,
        holder: Holder,
        avoid: Option<&id::Minion>,
        now: Moment,
    ) -> Option<Permit> {
        let names = self.by_service.get(service)?;
        let best = names
            .iter()
            .filter_map(|name| Some((name, self.minions.get(name)?)))
            .filter(|(_, minion)| minion.free(now) > 0)
            .min_by_key(|(name, minion)| {
                (Some(*name) == avoid, minion.apparent_load(now), minion.last_grant)
            })?;
        let name = best.0.clone();
        self.last_number += 1;
        let grant = Grant(self.last_number);
        let minion = self.minions.get_mut(&name)?;
        minion.grants.insert(grant, holder);
        minion.last_grant = grant;
        self.minion_by_grant.insert(grant, name.clone());
        let (address, epoch) = (minion.spec.address, minion.spec.epoch);
        Some(Permit { grant, minion: name, address, epoch })
    }

    /// Ends a grant.  Returns the minion if it was readmitted (true) or ejected (false) by the
    /// result.
    pub fn finish(
        &mut self,
        grant: Grant,
        result: DispatchResult,
        elapsed: Duration,
        now: Moment,
    ) -> Option<(id::Minion, bool)> {
        let name = self.minion_by_grant.remove(&grant)?;
        let (siblings, sibling_latency, may_eject) = self.compare_with_siblings(&name, now);
        let minion = self.minions.get_mut(&name)?;
        minion.grants.remove(&grant);
        minion.penalties.retain(|until| *until > now);
        match result {
            DispatchResult::Answered => {
                minion.health.record_success(elapsed).then_some((name, true))
            }
            DispatchResult::Failed => {
                let penalty = minion.health.penalty(elapsed, sibling_latency);
                if !penalty.is_zero() {
                    minion.penalties.push(now + penalty);
                }
                let ejected = minion.health.record_failure(now, siblings, may_eject);
                ejected.then_some((name, false))
            }
            DispatchResult::Leaving => {
                minion.backoff_until = now + LEAVING_BACKOFF;
                None
            }
            DispatchResult::Unused => None,
        }
    }

    /// The mean failure rate and the highest latency of the minion's siblings, and whether the
    /// minion may be ejected.
    fn compare_with_siblings(&self, name: &id::Minion, now: Moment) -> (f64, Duration, bool) {
        let Some(minion) = self.minions.get(name) else { return (0.0, Duration::ZERO, false) };
        let names = self.by_service.get(&minion.spec.service);
        let siblings = names.into_iter().flatten().filter(|other| *other != name);
        let mut rate = 0.0;
        let mut sibling_latency = Duration::ZERO;
        let mut count = 0;
        let mut healthy = 0;
        for other in siblings.filter_map(|other| self.minions.get(other)) {
            rate += other.health.failure_rate();
            sibling_latency = sibling_latency.max(other.health.latency());
            count += 1;
            let serves = other.spec.active && other.health.state(now) == State::Healthy;
            healthy += u32::from(serves);
        }
        let rate = if count == 0 { 0.0 } else { rate / f64::from(count) };
        // The only minion of its service at this entry may be ejected for a short time, since peers
        // own others.  Of several, the last healthy one is never ejected.
        (rate, sibling_latency, count == 0 || healthy > 0)
    }

    /// Ends the grants that a peer no longer uses; `is_held` returns whether the peer still lists a
    /// grant.  Returns the number of ended grants.
    ///
    /// For a peer that can't send `Finish` any more, because its link was lost or it has ended.
    pub fn reconcile_peer_grants(
        &mut self,
        peer: &id::Entry,
        is_held: impl Fn(Grant) -> bool,
    ) -> usize {
        let mut revoked = 0;
        for minion in self.minions.values_mut() {
            let holder = Holder::Peer(peer.clone());
            let ended: Vec<Grant> = minion
                .grants
                .iter()
                .filter(|(grant, by)| **by == holder && !is_held(**grant))
                .map(|(grant, _)| *grant)
                .collect();
            for grant in ended {
                minion.grants.remove(&grant);
                self.minion_by_grant.remove(&grant);
                revoked += 1;
            }
        }
        revoked
    }

    /// Peers that hold grants.
    pub fn borrowers(&self) -> BTreeSet<id::Entry> {
        let holders = self.minions.values().flat_map(|minion| minion.grants.values());
        let peers = holders.filter_map(|holder| match holder {
            Holder::Own => None,
            Holder::Peer(entry) => Some(entry.clone()),
        });
        peers.collect()
    }

    /// A service's slots at this entry.
    pub fn capacity(&self, service: &id::Service, now: Moment) -> Capacity {
        let mut capacity = Capacity::default();
        for name in self.by_service.get(service).into_iter().flatten() {
            if let Some(minion) = self.minions.get(name).filter(|minion| minion.spec.active) {
                capacity.slots += minion.spec.slots.0;
                capacity.free += minion.free(now);
            }
        }
        capacity
    }

    /// Services that have minions owned by this entry.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.by_service.iter().filter(|(_, list)| !list.is_empty()).map(|(service, _)| service)
    }

    /// Minions that are ejected or being probed.
    pub fn ejected(&self, now: Moment) -> Vec<id::Minion> {
        let is_ejected = |minion: &&Minion| minion.health.state(now) != State::Healthy;
        let names = self.minions.iter().filter(|(_, minion)| is_ejected(minion));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// Number of outstanding grants on a minion.
    pub fn outstanding(&self, minion: &id::Minion) -> u32 {
        self.minions.get(minion).map_or(0, |minion| minion.grants.len() as u32)
    }

    /// Whether no entry has work on the minion, as far as its owner can know.
    pub fn is_idle(&self, minion: &id::Minion, now: Moment) -> bool {
        self.minions.get(minion).is_some_and(|minion| {
            minion.grants.is_empty() && minion.reserved.is_none_or(|(_, until)| until <= now)
        })
    }

    /// Ends the reservation for a former owner that certainly has no work left.
    pub fn release_reserved(&mut self, minion: &id::Minion) {
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.reserved = None;
        }
    }
}
