//! Maintenance waves: how many minions to drain at once, which ones next, and when the wave will be
//! finished.

use crate::availability::Availability;
use celerythread_model::config::Ratio;
use celerythread_model::id;
use std::collections::BTreeMap;
use std::time::Duration;

/// A minion that a wave still has to maintain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The minion.
    pub minion: id::Minion,
    /// Its pool.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
}

/// How many minions of a service may be out at once, by the roll-out weight.
///
/// With a weight of one, everything above the floor is used, for the shortest roll-out.  With a
/// weight of zero, as much as the loss of the largest rack would cost is reserved for failures.
/// One minion may be out whenever the service is above its floor, since a wave must finish.
pub fn max_parallel(availability: &Availability, weight: Ratio) -> u32 {
    let spare = availability.spare();
    let reserved = f64::from(availability.max_serving_per_rack()) * (1.0 - weight.0);
    let allowed = spare.saturating_sub(reserved.round() as u32);
    allowed.max(u32::from(spare > 0))
}

/// The minions to drain now.
///
/// One rack is finished before the next is started, and the racks of one zone before those of the
/// next.  Minions that are out together then share a failure domain, so that losing a rack or zone
/// during the wave costs the services less.  `started_racks` are the racks that already have
/// minions out.
pub fn next_targets(
    remaining: &[Target],
    services: &BTreeMap<id::Service, Availability>,
    weight: Ratio,
    started_racks: &[id::Rack],
) -> Vec<id::Minion> {
    let mut budgets: BTreeMap<&id::Service, u32> = services
        .iter()
        .map(|(service, availability)| {
            // Minions that are already out count against the number that may be out at once.
            let at_once = max_parallel(&without_disruptions(availability), weight);
            (service, at_once.saturating_sub(availability.out).min(availability.spare()))
        })
        .collect();
    let mut order: Vec<&Target> = remaining.iter().collect();
    order.sort_by_key(|t| (!started_racks.contains(&t.rack), &t.zone, &t.rack, &t.minion));
    let mut chosen = Vec::new();
    for target in order {
        if let Some(count) = budgets.get_mut(&target.service).filter(|count| **count > 0) {
            *count -= 1;
            chosen.push(target.minion.clone());
        }
    }
    chosen
}

/// The availability once all minions that are out on purpose have returned.
fn without_disruptions(availability: &Availability) -> Availability {
    Availability {
        serving: availability.serving + availability.out,
        out: 0,
        ..availability.clone()
    }
}

/// When a wave will be finished, and which service determines it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Time until the wave is finished.
    pub duration: Duration,
    /// The service that takes longest; none if there is nothing to do.
    pub bottleneck: Option<id::Service>,
    /// How many of that service's minions may be out at once.
    pub parallel: u32,
    /// A service at or below its floor even when all minions that are out have returned, so that
    /// none of its minions can be taken out.
    pub blocked_service: Option<id::Service>,
}

/// Forecasts a wave.  `downtime` is the time for which a minion is out.
pub fn forecast(
    targets: &[Target],
    services: &BTreeMap<id::Service, Availability>,
    weight: Ratio,
    downtime: Duration,
) -> Forecast {
    let mut counts: BTreeMap<&id::Service, u32> = BTreeMap::new();
    for target in targets {
        *counts.entry(&target.service).or_default() += 1;
    }
    let mut forecast =
        Forecast { duration: Duration::ZERO, bottleneck: None, parallel: 0, blocked_service: None };
    for (service, count) in counts {
        let availability = services.get(service).cloned().unwrap_or_default();
        let at_once = max_parallel(&without_disruptions(&availability), weight);
        if at_once == 0 {
            forecast.blocked_service = Some(service.clone());
            continue;
        }
        let duration = downtime * count.div_ceil(at_once);
        if duration > forecast.duration {
            forecast.duration = duration;
            forecast.bottleneck = Some(service.clone());
            forecast.parallel = at_once;
        }
    }
    forecast
}

/// The services with remaining targets of which no minion may be taken out now.
pub fn blocked_services(
    remaining: &[Target],
    services: &BTreeMap<id::Service, Availability>,
) -> Vec<id::Service> {
    let mut blocked: Vec<id::Service> = remaining
        .iter()
        .filter(|target| services.get(&target.service).is_none_or(|s| s.spare() == 0))
        .map(|target| target.service.clone())
        .collect();
    blocked.sort();
    blocked.dedup();
    blocked
}
