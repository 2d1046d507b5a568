//! The duty for the whole fleet: machines' maintenance and their pools, one entry at a time.
//!
//! [`maintenance`] carries maintenance waves, [`pools`] moves machines between pools.  A machine is
//! emptied before either: a row names it for as long as nothing may be started on it, whoever
//! owns its service's cell meanwhile.

pub(crate) mod maintenance;
pub(crate) mod pools;

use crate::clock;
use crate::node::Node;
use crate::owner::Owner;
use crate::peers;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::{MAX_ENTRIES, Transaction};
use celerythread_engine::pools::Load;
use celerythread_engine::time::Time;
use celerythread_engine::{maintenance as maintenance_plan, pools as pool_plan};
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

/// What the holder of the duty knows and plans.
pub(crate) struct Fleet {
    pub(crate) owner: Arc<Owner>,
    pub(crate) client: machine::Client,
    pub(crate) waves: maintenance_plan::Planner,
    pub(crate) pools: pool_plan::Planner,
    list: MachineList,
    /// Machines for which an order may have been given, by this holder or the former one, and
    /// until when nobody else may give one.
    ///
    /// Where the platform doesn't compare tokens, two holders that take turns on a machine within
    /// the lease would break the promise of one holder.  Each order is preceded by the machine's
    /// row and the row stays for the lease, so a new holder knows exactly which machines to leave
    /// alone, and can order all others at once: in a burst, a pause of the lease would be most of
    /// it.
    ordered: BTreeMap<String, Time>,
}

/// Carries the duty until it is lost.
pub(crate) async fn carry(owner: Arc<Owner>) {
    let node = owner.node.clone();
    let Some(client) = node.machines.clone() else { return };
    let settings = maintenance_plan::Settings {
        duration: node.settings.maintenance_duration.0,
        ..maintenance_plan::Settings::default()
    };
    let mut fleet = Fleet {
        owner: owner.clone(),
        client,
        waves: maintenance_plan::Planner::new(settings),
        pools: pool_plan::Planner::new(pool_plan::Settings::default()),
        list: MachineList::default(),
        ordered: BTreeMap::new(),
    };
    while !fleet.load().await {
        if !owner.pause(RETRY).await {
            return;
        }
    }
    loop {
        let pools = fleet.step().await;
        if !owner.pause(TICK.max(TICK_PER_POOL * pools as u32)).await {
            return;
        }
    }
}

impl Fleet {
    /// Reads what a former holder kept; true if it is read.
    async fn load(&mut self) -> bool {
        let node = self.owner.node.clone();
        let rows = node.store.all(rows::CONTROL, "", rows::EMPTYING_PREFIX, CALL_LIMIT).await;
        node.store_result(&rows);
        let Ok(rows) = rows else { return false };
        for row in &rows.rows {
            if let Some(machine) = row.key.strip_prefix(rows::EMPTYING_PREFIX) {
                self.note_order(machine);
            }
        }
        pools::load(&node, &mut self.pools).await && maintenance::load(&node, &mut self.waves).await
    }

    /// Takes everything a step further; returns how many pools were asked.
    async fn step(&mut self) -> usize {
        let node = self.owner.node.clone();
        maintenance::take_new(&node, &mut self.waves).await;
        let services = services(&node);
        let loads = ask_loads(&node, &services).await;
        let emptying = !node.view.read().emptying.is_empty();
        let busy = self.waves.is_busy() || self.pools.is_busy() || emptying;
        if self.list.refresh(&node, &self.client, busy).await {
            self.drop_settled().await;
            if self.waves.is_busy() {
                maintenance::step(self, &loads).await;
            }
        }
        pools::step(self, &loads).await;
        services.len()
    }

    /// The list of machines as last read.
    pub(crate) fn machines(&self) -> &[machine::Machine] {
        &self.list.machines
    }

    /// Notes that an order for a machine is about to be given, or may have been.
    pub(crate) fn note_order(&mut self, machine: &str) {
        let lease = self.owner.node.settings.maintenance_lease.0 + CALL_LIMIT / 4;
        self.ordered.insert(machine.into(), clock::now() + lease);
    }

    /// Whether a machine must be left alone: somebody may have given an order for it lately.
    pub(crate) fn is_held_back(&self, machine: &str) -> bool {
        self.ordered.get(machine).is_some_and(|until| clock::now() < *until)
    }

    /// Drops the rows of machines that nobody is about to order any more: they have another
    /// minion, or a former holder asked for them, and its orders are over.
    async fn drop_settled(&mut self) {
        let now = clock::now();
        let settled: Vec<String> = {
            let view = self.owner.node.view.read();
            let mine = |name: &str| self.pools.is_pending(name) || self.waves.is_emptying(name);
            let keeps = |name: &str, minion: &str| {
                let listed = self.list.machines.iter().find(|machine| machine.name == name);
                let same = listed
                    .is_some_and(|machine| machine.minion.as_deref().unwrap_or_default() == minion);
                same && mine(name)
            };
            let over = |name: &str| self.ordered.get(name).is_none_or(|until| now >= *until);
            let rows = view.emptying.iter();
            rows.filter(|(name, minion)| over(name) && !keeps(name, minion))
                .map(|(name, _)| name.clone())
                .collect()
        };
        self.ordered.retain(|_, until| now < *until);
        drop_emptying(&self.owner.node, &settled).await;
    }
}

/// The services that have minions.
fn services(node: &Node) -> Vec<String> {
    let Some(configuration) = node.configuration() else { return Vec::new() };
    configuration.serving().map(Into::into).collect()
}

/// The list of machines as last read.
#[derive(Default)]
struct MachineList {
    machines: Vec<machine::Machine>,
    read: Option<Time>,
}

impl MachineList {
    /// Reads the list if it is too old; true if it was read.
    async fn refresh(&mut self, node: &Node, client: &machine::Client, busy: bool) -> bool {
        let limit = if busy { LIST_BUSY } else { LIST_IDLE };
        if self.read.is_some_and(|read| clock::now().since(read) < limit) {
            return false;
        }
        match client.list(CALL_LIMIT).await {
            Ok(list) => {
                if list.unreadable > 0 {
                    let unreadable = list.unreadable;
                    node.journal.warn("machines_unreadable", &[("machines", &unreadable)]);
                }
                self.machines = list.machines;
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
    for chunk in machines.chunks(MAX_ENTRIES) {
        let writes = chunk.iter().map(row).collect();
        let change = Transaction { writes, ..Transaction::default() };
        if node.commit(&change, CALL_LIMIT).await.is_err() {
            return false;
        }
        let mut view = node.view.write();
        for (machine, minion) in chunk {
            view.emptying.insert(machine.clone(), minion.clone());
            node.journal.note("machine_emptying", &[("machine", machine), ("minion", minion)]);
        }
    }
    true
}

/// Drops the rows of machines that no longer are to be emptied.
///
/// They are independent of each other, so many go in several transactions: after an outage more
/// were settled than one may hold, it was refused each time, and no row was dropped any more.
pub(crate) async fn drop_emptying(node: &Node, machines: &[String]) {
    let row = |machine: &String| rows::control(rows::EMPTYING_PREFIX, machine);
    for chunk in machines.chunks(MAX_ENTRIES) {
        let change =
            Transaction { drops: chunk.iter().map(row).collect(), ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_LIMIT).await {
            // Looked at again with the next list of machines.
            let left = machines.len();
            node.journal.warn("emptying_left", &[("machines", &left), ("reason", &error)]);
            return;
        }
        let mut view = node.view.write();
        for machine in chunk {
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
