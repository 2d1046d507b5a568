//! The duty for the whole fleet: machines' upkeep and their pools, one entry at a time.
//!
//! [`upkeep`] carries maintenance waves, [`pools`] moves machines between pools.  A machine is
//! emptied before either: a row names it for as long as nothing may be started on it, whoever
//! owns its service's cell meanwhile.

pub(crate) mod pools;
pub(crate) mod upkeep;

use crate::clock;
use crate::node::Node;
use crate::owner::{Former, Owner};
use crate::peers;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::Transaction;
use celerythread_engine::pools::Load;
use celerythread_engine::{pools as pool_plan, upkeep as upkeep_plan};
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a call.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Shortest time between two looks at the pools' demand.  A burst that lasts some seconds must
/// be seen well within its first one.
const TICK: Duration = Duration::from_millis(200);

/// Added to a tick for each pool, so that asking many of them takes at most fifty questions a
/// second, some 10 ms of processor time.
const TICK_PER_POOL: Duration = Duration::from_millis(20);

/// Age at which the list of machines is read again while something is under way.
const LIST_BUSY: Duration = Duration::from_millis(350);

/// The same otherwise.
const LIST_IDLE: Duration = Duration::from_secs(3);

/// Pause before something that failed is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// A holder whose last renewal is older gives no order: another one may take over when it has
/// been silent for the takeover time, and then waits the lease before its own orders.
const FRESH_RENEWAL: Duration = Duration::from_millis(1500);

/// Carries the duty until it is lost.
pub(crate) async fn carry(owner: Arc<Owner>) {
    let node = owner.node.clone();
    let Some(client) = node.machines.clone() else { return };
    if !owner.pause(former_pause(&owner)).await {
        return;
    }
    let settings = upkeep_plan::Settings {
        duration: node.settings.upkeep_duration.0,
        ..upkeep_plan::Settings::default()
    };
    let mut waves = upkeep_plan::Planner::new(settings);
    while !upkeep::load(&node, &mut waves).await {
        if !owner.pause(RETRY).await {
            return;
        }
    }
    // What a former holder began to empty for a move that it didn't order serves again.
    let left: Vec<String> = node.view.read().emptying.keys().cloned().collect();
    drop_emptying(&node, &left).await;
    let mut pools = pool_plan::Planner::new(pool_plan::Settings::default());
    let mut list = MachineList::default();
    loop {
        upkeep::take_new(&node, &mut waves).await;
        let services = services(&node);
        let loads = ask_loads(&node, &services).await;
        let emptying = !node.view.read().emptying.is_empty();
        let busy = waves.is_busy() || pools.is_busy() || emptying;
        let fresh = list.refresh(&node, &client, busy).await;
        if fresh {
            drop_settled(&node, &list.machines).await;
        }
        if fresh && waves.is_busy() {
            upkeep::step(&owner, &client, &mut waves, &list.machines, &loads).await;
        }
        pools::step(&owner, &client, &mut pools, &waves, &list.machines, &loads).await;
        if !owner.pause(TICK.max(TICK_PER_POOL * services.len() as u32)).await {
            return;
        }
    }
}

/// Drops the rows of machines that were emptied and have another minion by now.
async fn drop_settled(node: &Node, machines: &[machine::Machine]) {
    let settled: Vec<String> = {
        let view = node.view.read();
        let other = |(name, minion): &(&String, &String)| {
            machines.iter().any(|machine| {
                let now = machine.minion.as_ref().filter(|id| !id.is_empty());
                machine.name == **name && now.is_some_and(|now| now != *minion)
            })
        };
        view.emptying.iter().filter(other).map(|(name, _)| name.clone()).collect()
    };
    drop_emptying(node, &settled).await;
}

/// The services that have minions: all but the spare pool.
fn services(node: &Node) -> Vec<String> {
    let Some(configuration) = node.configuration() else { return Vec::new() };
    let services = configuration.services.iter().filter(|service| !service.spare);
    services.map(|service| service.name.clone()).collect()
}

/// How long to wait before the first order.
///
/// Where the platform doesn't compare tokens, an order that the former holder has sent may still
/// come; two holders taking turns within the lease would break the promise of one.
fn former_pause(owner: &Owner) -> Duration {
    let settings = &owner.node.settings;
    let lease = settings.upkeep_lease.0 + CALL_LIMIT / 5;
    match owner.former {
        Former::None => Duration::ZERO,
        Former::Stopped => lease.saturating_sub(owner.former_quiet),
        // Its orders ended when its renewal was no longer fresh, before it counted as silent.
        Former::Silent => (lease + FRESH_RENEWAL).saturating_sub(settings.takeover_after.0),
    }
}

/// The list of machines as last read.
#[derive(Default)]
struct MachineList {
    machines: Vec<machine::Machine>,
    read: Option<celerythread_engine::time::Time>,
}

impl MachineList {
    /// Reads the list if it is too old; true if it was read.
    async fn refresh(&mut self, node: &Node, client: &machine::Client, busy: bool) -> bool {
        let limit = if busy { LIST_BUSY } else { LIST_IDLE };
        if self.read.is_some_and(|read| clock::now().since(read) < limit) {
            return false;
        }
        match client.list(CALL_LIMIT).await {
            Ok(machines) => {
                self.machines = machines;
                self.read = Some(clock::now());
                true
            }
            Err(failure) => {
                node.journal.warn("machines_unread", &[("reason", &failure)]);
                false
            }
        }
    }
}

/// Whether this holder may give an order for a machine now.
pub(crate) fn order_allowed(owner: &Owner) -> bool {
    let node = &owner.node;
    !owner.is_stopped() && !node.is_stopping() && node.since_renewal() <= FRESH_RENEWAL
}

/// Writes that machines are to be emptied; true if it is written.
pub(crate) async fn write_emptying(node: &Node, machines: &[(String, String)]) -> bool {
    let row = |(machine, minion): &(String, String)| {
        (rows::control(rows::EMPTYING_PREFIX, machine), minion.as_bytes().to_vec())
    };
    let writes = machines.iter().map(row).collect();
    let written =
        node.commit(&Transaction { writes, ..Transaction::default() }, CALL_LIMIT).await.is_ok();
    if written {
        let mut view = node.view.write();
        for (machine, minion) in machines {
            view.emptying.insert(machine.clone(), minion.clone());
            node.journal.note("machine_emptying", &[("machine", machine), ("minion", minion)]);
        }
    }
    written
}

/// Drops the rows of machines that no longer are to be emptied.
pub(crate) async fn drop_emptying(node: &Node, machines: &[String]) {
    if machines.is_empty() {
        return;
    }
    let row = |machine: &String| rows::control(rows::EMPTYING_PREFIX, machine);
    let change =
        Transaction { drops: machines.iter().map(row).collect(), ..Transaction::default() };
    if node.commit(&change, CALL_LIMIT).await.is_ok() {
        let mut view = node.view.write();
        for machine in machines {
            view.emptying.remove(machine);
        }
    }
}

/// Asks the owners of all pools for their demand.
async fn ask_loads(node: &Node, services: &[String]) -> BTreeMap<String, Load> {
    let ask = async |service: &String| {
        let question = Question::Load { service: service.clone() };
        match peers::ask_owner(node, service, question).await {
            Some(Answer::Load(load)) => Some((service.clone(), load)),
            _ => None,
        }
    };
    join_all(services.iter().map(ask)).await.into_iter().flatten().collect()
}
