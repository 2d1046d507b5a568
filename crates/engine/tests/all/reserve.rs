//! What maintenance leaves in service of each pool.

use celerythread_engine::maintenance::{Action, Machine, Occupation, Planner, Settings, Wave};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Machines of two pools under waves; tests decide when their minions are empty.
struct Fleet {
    planner: Planner,
    machines: BTreeMap<String, Machine>,
    emptying: BTreeSet<String>,
    empty: BTreeSet<String>,
    now: Time,
}

fn minion(machine: &str) -> String {
    format!("minion of {machine}")
}

impl Fleet {
    fn new(pools: &[(&str, usize)]) -> Self {
        let machine = |pool: &str, number: usize| {
            let name = format!("{pool}-{number}");
            let machine = Machine {
                minion: Some(minion(&name)),
                up: true,
                occupation: Occupation::LongRunning,
                pool: pool.into(),
                ..Machine::default()
            };
            (name, machine)
        };
        let pools = pools.iter();
        Self {
            planner: Planner::new(Settings::default()),
            machines: pools
                .flat_map(|(pool, count)| (0..*count).map(move |number| machine(pool, number)))
                .collect(),
            emptying: BTreeSet::new(),
            empty: BTreeSet::new(),
            now: Time(0),
        }
    }

    fn add_wave(&mut self, number: u64, machines: &[&str], at_once: usize) {
        let machines = machines.iter().map(|name| (*name).into()).collect();
        let wave = Wave { machines, at_once, window_ms: 24_000, ..Wave::default() };
        self.planner.add_wave(number, wave, self.now);
    }

    fn machine(&mut self, name: &str) -> &mut Machine {
        self.machines.get_mut(name).unwrap()
    }

    /// Plans and carries out the requests to empty; returns the actions.
    fn plan(&mut self) -> Vec<Action> {
        self.now = self.now + Duration::from_millis(150);
        let Self { machines, emptying, empty, now, .. } = self;
        let actions = self.planner.plan(machines, emptying, empty, *now, now.0);
        for action in &actions {
            match action {
                Action::Empty { minion, .. } => drop(self.emptying.insert(minion.clone())),
                Action::Keep { minion, .. } => drop(self.emptying.remove(minion)),
                Action::Begin { machine, wave } => {
                    self.planner.record_order(machine, self.now);
                    self.planner.record_start(*wave, machine);
                    self.emptying.remove(&minion(machine));
                    self.empty.remove(&minion(machine));
                    let machine = self.machine(machine);
                    (machine.minion, machine.up, machine.in_maintenance) = (None, false, true);
                }
                Action::Complete { wave } => self.planner.record_completion(*wave),
            }
        }
        actions
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.plan();
        }
    }

    fn is_emptying(&self, name: &str) -> bool {
        self.emptying.contains(&minion(name))
    }

    fn emptying_count(&self, pool: &str) -> usize {
        let names = self.machines.keys().filter(|name| name.starts_with(pool));
        names.filter(|name| self.is_emptying(name)).count()
    }
}

/// A wave that empties all machines of a small service at once leaves its jobs without a minion, and
/// their long-running tasks can't move either.
#[test]
fn a_wave_keeps_a_machine_of_a_small_pool_in_service() {
    let mut fleet = Fleet::new(&[("desk", 2), ("hall", 14)]);
    let hall = ["hall-0", "hall-1", "hall-2", "hall-3", "hall-4", "hall-5"];
    fleet.add_wave(1, &[&["desk-0", "desk-1"], &hall[..]].concat(), 3);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.emptying_count("desk"), 1);
    assert!(fleet.emptying_count("hall") > 0);
}

/// Idle machines empty at once, but jobs that arrive while both are down find no minion.
#[test]
fn idle_machines_of_a_small_pool_go_one_after_the_other() {
    let mut fleet = Fleet::new(&[("desk", 2), ("hall", 14)]);
    for name in ["desk-0", "desk-1"] {
        fleet.machine(name).occupation = Occupation::Idle;
    }
    fleet.add_wave(1, &["desk-0", "desk-1"], 2);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.emptying_count("desk"), 1);
}

/// Each of two waves alone leaves a machine in service, but both together would not.
#[test]
fn several_waves_share_what_a_pool_can_do_without() {
    let mut fleet = Fleet::new(&[("desk", 4), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0", "desk-1"], 2);
    fleet.add_wave(2, &["desk-2", "desk-3"], 2);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.emptying_count("desk"), 2);
}

/// Machines that are silent, quarantined or about to move leave less to be emptied.
#[test]
fn machines_out_of_service_for_other_reasons_count() {
    let mut fleet = Fleet::new(&[("desk", 3), ("hall", 14)]);
    fleet.machine("desk-2").out_of_service = true;
    fleet.add_wave(1, &["desk-0", "desk-1"], 3);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.emptying_count("desk"), 0);
    fleet.machine("desk-2").out_of_service = false;
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.emptying_count("desk"), 1);
}

/// A machine in maintenance counts until its minion serves again.
#[test]
fn the_next_machine_waits_until_the_first_is_back() {
    let mut fleet = Fleet::new(&[("desk", 2), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0", "desk-1"], 2);
    fleet.run(Duration::from_secs(1));
    let first = if fleet.is_emptying("desk-0") { "desk-0" } else { "desk-1" };
    fleet.empty.insert(minion(first));
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.emptying_count("desk"), 0);
    let machine = fleet.machine(first);
    (machine.in_maintenance, machine.up) = (false, true);
    machine.minion = Some("another".into());
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.emptying_count("desk"), 1);
}

/// If the last machine in service is lost while another is being emptied, nothing of the service
/// could start until the emptying ends, which may be never.
#[test]
fn a_machine_that_is_emptied_returns_when_the_last_other_is_lost() {
    let mut fleet = Fleet::new(&[("desk", 2), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0"], 3);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.is_emptying("desk-0"));
    fleet.machine("desk-1").out_of_service = true;
    fleet.run(Duration::from_secs(1));
    assert!(!fleet.is_emptying("desk-0"));
    fleet.machine("desk-1").out_of_service = false;
    fleet.run(Duration::from_secs(1));
    assert!(fleet.is_emptying("desk-0"), "asked again once its pool can do without it");
}

/// A machine that is empty already gains nothing by returning, since it goes down at once.
#[test]
fn an_empty_machine_goes_down_although_the_last_other_is_lost() {
    let mut fleet = Fleet::new(&[("desk", 2), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0"], 3);
    fleet.run(Duration::from_secs(2));
    fleet.machine("desk-1").out_of_service = true;
    fleet.empty.insert(minion("desk-0"));
    let begin = Action::Begin { machine: "desk-0".into(), wave: 1 };
    assert_eq!(fleet.plan(), [begin]);
}

/// The long-running tasks of a pool's only machine have nowhere to move.
#[test]
fn the_only_machine_of_a_pool_is_emptied_only_if_that_is_quick() {
    let mut fleet = Fleet::new(&[("desk", 1), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0"], 3);
    fleet.run(Duration::from_secs(60));
    assert!(!fleet.is_emptying("desk-0"));
    fleet.machine("desk-0").time_to_empty = Some(Duration::from_secs(9));
    fleet.run(Duration::from_secs(1));
    assert!(!fleet.is_emptying("desk-0"));
    fleet.machine("desk-0").time_to_empty = Some(Duration::from_millis(300));
    fleet.run(Duration::from_secs(1));
    assert!(fleet.is_emptying("desk-0"));
}

/// Estimates may be wrong: a service must not wait for good until its only machine is empty.
#[test]
fn the_only_machine_of_a_pool_returns_if_its_tasks_take_longer() {
    let mut fleet = Fleet::new(&[("desk", 1), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0"], 3);
    fleet.machine("desk-0").time_to_empty = Some(Duration::from_millis(300));
    fleet.run(Duration::from_secs(1));
    assert!(fleet.is_emptying("desk-0"));
    fleet.machine("desk-0").time_to_empty = Some(Duration::from_secs(9));
    fleet.run(Duration::from_secs(3));
    assert!(!fleet.is_emptying("desk-0"));
}

/// Long-running tasks that may never be stopped keep their machines from becoming empty.  If these
/// occupied all slots, no other machine of the wave would ever have its maintenance.
#[test]
fn machines_that_never_empty_do_not_stop_their_wave() {
    let mut fleet = Fleet::new(&[("desk", 8), ("hall", 14)]);
    fleet.add_wave(1, &["desk-0", "desk-1", "desk-2", "hall-0", "hall-1", "hall-2"], 1);
    fleet.run(Duration::from_secs(30));
    let all = fleet.emptying_count("desk") + fleet.emptying_count("hall");
    assert_eq!(all, 6);
}

/// A pool of which most machines are due takes several batches, so it must begin early.
#[test]
fn pools_that_take_several_batches_begin_first() {
    let mut fleet = Fleet::new(&[("hall", 14), ("small", 2)]);
    fleet.add_wave(1, &["hall-0", "hall-1", "hall-2", "hall-3", "small-0", "small-1"], 1);
    let actions = fleet.plan();
    let first = actions.first().unwrap();
    assert!(
        matches!(first, Action::Empty { machine, .. } if machine.starts_with("small")),
        "{actions:?}"
    );
}
