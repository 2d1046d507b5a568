//! Maintenance waves.

use celerythread_engine::absence::Reading;
use celerythread_engine::maintenance::{Action, Machine, Occupation, Planner, Settings, Wave};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn machines(count: usize) -> BTreeMap<String, Machine> {
    (0..count)
        .map(|number| {
            let minion = Some(format!("minion-{number}"));
            (
                format!("machine-{number}"),
                Machine { minion, up: true, in_maintenance: false, ..Machine::default() },
            )
        })
        .collect()
}

fn planner(count: usize, at_once: usize) -> Planner {
    let mut planner = Planner::new(Settings::default());
    let machines = (0..count).map(|number| format!("machine-{number}")).collect();
    planner.add_wave(1, Wave { machines, at_once, ..Wave::default() }, Time(0));
    planner
}

fn begins(steps: &[Action]) -> Vec<String> {
    steps
        .iter()
        .filter_map(|step| match step {
            Action::Begin { machine, .. } => Some(machine.clone()),
            _ => None,
        })
        .collect()
}

/// Simulates a wave whose minions empty at once and counts the machines that are down together.
#[test]
fn a_wave_completes_with_never_more_down_than_allowed() {
    let mut planner = planner(12, 3);
    let mut machines = machines(12);
    let mut emptying = BTreeSet::new();
    let mut down: BTreeMap<String, Time> = BTreeMap::new();
    let (mut now, mut max_down, mut completed) = (Time(0), 0, false);
    for _ in 0..200 {
        now = now + Duration::from_millis(350);
        down.retain(|name, since| {
            let back = now.since(*since) >= Duration::from_secs(2);
            if back {
                let minion = Some(format!("{name}-reborn"));
                machines.insert(
                    name.clone(),
                    Machine { minion, up: true, in_maintenance: false, ..Machine::default() },
                );
            }
            !back
        });
        let empty = emptying.clone();
        for step in planner.plan(&machines, &emptying, &empty, now, 0) {
            match step {
                Action::Empty { minion, .. } => drop(emptying.insert(minion)),
                Action::Begin { machine, wave } => {
                    planner.record_order(&machine, now);
                    planner.record_start(wave, &machine);
                    machines.insert(
                        machine.clone(),
                        Machine { in_maintenance: true, ..Machine::default() },
                    );
                    down.insert(machine, now);
                }
                Action::Keep { machine, .. } => panic!("{machine} is needed"),
                Action::Complete { wave } => {
                    planner.record_completion(wave);
                    completed = true;
                }
            }
        }
        max_down = max_down.max(down.len());
    }
    assert!(completed);
    assert_eq!(max_down, 3);
    assert_eq!(planner.wave(1).unwrap().begun.len(), 12);
}

/// The list of machines lags behind an order.  A machine that is ordered down but still listed as
/// up must count as down, or the wave would exceed what may be down at once.
#[test]
fn an_order_that_the_list_does_not_show_yet_counts_as_down() {
    let mut planner = planner(4, 1);
    let machines = machines(4);
    let all: BTreeSet<String> = (0..4).map(|number| format!("minion-{number}")).collect();
    let first = begins(&planner.plan(&machines, &all, &all, Time(0), 0));
    assert_eq!(first.len(), 1);
    planner.record_order(&first[0], Time(0));
    assert!(begins(&planner.plan(&machines, &all, &all, Time(300), 0)).is_empty());
}

/// A machine's maintenance ends all that runs on it at once, so it must be empty first.
#[test]
fn a_machine_that_is_not_empty_stays_up() {
    let mut planner = planner(1, 1);
    let machines = machines(1);
    let emptying: BTreeSet<String> = ["minion-0".to_string()].into();
    assert!(begins(&planner.plan(&machines, &emptying, &BTreeSet::new(), Time(0), 0)).is_empty());
}

/// Plans a wave of `machine-0` after a reading of a list that lacks it.
fn plan_without_machine(planner: &mut Planner, reading: Reading) -> Vec<Action> {
    let mut other = machines(2);
    other.remove("machine-0");
    planner.record_list(|name| other.contains_key(name), reading);
    planner.plan(&other, &BTreeSet::new(), &BTreeSet::new(), reading.sent, 0)
}

fn reading(sent_ms: u64) -> Reading {
    Reading { sent: Time(sent_ms), pages: 1, is_complete: true }
}

#[test]
fn an_unlisted_machine_does_not_block_its_wave() {
    let mut planner = planner(1, 1);
    let steps = planner.plan(&machines(0), &BTreeSet::new(), &BTreeSet::new(), Time(0), 0);
    assert!(steps.is_empty(), "an empty list of machines proves nothing");
    let steps = plan_without_machine(&mut planner, reading(100));
    assert_eq!(steps, [Action::Complete { wave: 1 }]);
}

/// A machine that was added after the list was requested is not gone: its wave must not be reported
/// as completed without its maintenance.
#[test]
fn a_list_from_before_the_wave_does_not_show_that_a_machine_is_gone() {
    let mut planner = Planner::new(Settings::default());
    let wave = Wave { machines: vec!["machine-0".into()], at_once: 1, ..Wave::default() };
    planner.add_wave(1, wave, Time(1000));
    assert_eq!(plan_without_machine(&mut planner, reading(900)), []);
    assert_eq!(plan_without_machine(&mut planner, reading(1000)), []);
    planner.record_list(|_| true, reading(1100));
    let steps = planner.plan(&machines(2), &BTreeSet::new(), &BTreeSet::new(), Time(1100), 0);
    assert!(matches!(&steps[..], [Action::Empty { .. }]), "{steps:?}");
}

/// One of the machines that can't be read may be the one that seems to be gone.
#[test]
fn a_list_with_unreadable_machines_does_not_show_that_one_is_gone() {
    let mut planner = planner(1, 1);
    let incomplete = Reading { is_complete: false, ..reading(100) };
    assert_eq!(plan_without_machine(&mut planner, incomplete), []);
    assert_eq!(plan_without_machine(&mut planner, incomplete), []);
}

/// A machine may change its place in the list between the readings of two pages.
#[test]
fn a_machine_that_one_reading_in_pages_lacks_is_not_gone() {
    let mut planner = planner(1, 1);
    let paged = |sent| Reading { pages: 2, ..reading(sent) };
    assert_eq!(plan_without_machine(&mut planner, paged(100)), []);
    planner.record_list(|_| true, paged(200));
    assert_eq!(plan_without_machine(&mut planner, paged(300)), []);
    assert_eq!(plan_without_machine(&mut planner, paged(400)), [Action::Complete { wave: 1 }]);
}

/// A new controller has seen no list of its own yet.
#[test]
fn a_new_controller_reads_the_list_before_it_completes_a_wave() {
    let mut planner = planner(1, 1);
    let mut other = machines(2);
    other.remove("machine-0");
    assert_eq!(planner.plan(&other, &BTreeSet::new(), &BTreeSet::new(), Time(0), 0), []);
}

/// An order of the former controller may be carried out after the new one has read the list.
#[test]
fn a_machine_that_a_former_controller_may_have_ordered_counts_as_down() {
    let mut planner = planner(2, 1);
    let mut machines = machines(2);
    machines.get_mut("machine-0").unwrap().may_be_down = true;
    let all: BTreeSet<String> = ["minion-0".to_string(), "minion-1".to_string()].into();
    assert!(begins(&planner.plan(&machines, &all, &all, Time(0), 0)).is_empty());
    machines.get_mut("machine-0").unwrap().may_be_down = false;
    assert_eq!(begins(&planner.plan(&machines, &all, &all, Time(100), 0)).len(), 1);
}

/// A simulated wave in steps of 100 ms: a machine empties in the time that its tasks take, is down
/// for two seconds and comes back with another minion.
struct Simulation {
    planner: Planner,
    machines: BTreeMap<String, Machine>,
    /// When each machine that was asked to empty will be empty.
    empty_at: BTreeMap<String, Time>,
    down: BTreeMap<String, Time>,
    now: Time,
    max_under_way: usize,
    start_order: Vec<String>,
}

impl Simulation {
    fn new(count: usize, at_once: usize, window_ms: u64) -> Self {
        let mut planner = Planner::new(Settings::default());
        let names = (0..count).map(|number| format!("machine-{number}")).collect();
        planner.add_wave(
            1,
            Wave { machines: names, at_once, window_ms, ..Wave::default() },
            Time(0),
        );
        Self {
            planner,
            machines: machines(count),
            empty_at: BTreeMap::new(),
            down: BTreeMap::new(),
            now: Time(0),
            max_under_way: 0,
            start_order: Vec::new(),
        }
    }

    fn set_occupation(&mut self, numbers: std::ops::Range<usize>, occupation: Occupation) {
        for number in numbers {
            self.machines.get_mut(&format!("machine-{number}")).unwrap().occupation = occupation;
        }
    }

    fn begun(&self) -> usize {
        self.planner.wave(1).unwrap().begun.len()
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(100);
        let now = self.now;
        let back = |since: &Time| now.since(*since) >= Duration::from_secs(2);
        for (name, _) in self.down.extract_if(.., |_, since| back(since)) {
            let minion = Some(format!("{name}-reborn"));
            self.machines.insert(name, Machine { minion, up: true, ..Machine::default() });
        }
        let minion = |name: &String| name.replace("machine", "minion");
        let emptying = self.empty_at.keys().map(minion).collect();
        let empty = self.empty_at.iter().filter(|(_, at)| now >= **at);
        let empty = empty.map(|(name, _)| minion(name)).collect();
        for step in self.planner.plan(&self.machines, &emptying, &empty, now, now.0) {
            match step {
                Action::Empty { machine, .. } => {
                    let takes = match self.machines[&machine].occupation {
                        Occupation::Idle => 0,
                        Occupation::Working(_) => 1000,
                        Occupation::LongRunning => 3000,
                    };
                    self.empty_at.insert(machine, now + Duration::from_millis(takes));
                }
                Action::Begin { machine, wave } => {
                    self.planner.record_order(&machine, now);
                    self.planner.record_start(wave, &machine);
                    self.empty_at.remove(&machine);
                    self.start_order.push(machine.clone());
                    let under = Machine { in_maintenance: true, ..Machine::default() };
                    self.machines.insert(machine.clone(), under);
                    self.down.insert(machine, now);
                }
                Action::Keep { machine, .. } => panic!("{machine} is needed"),
                Action::Complete { wave } => self.planner.record_completion(wave),
            }
        }
        self.max_under_way = self.max_under_way.max(self.empty_at.len() + self.down.len());
    }

    fn run(&mut self, until: Time) {
        while self.now < until {
            self.step();
        }
    }
}

/// Half of a fleet is due within 26 seconds, and a fifth of it may be down at once.  If all of
/// these were taken at once, a fifth of the capacity would be missing at peak load, and only a
/// third of the window would be used.
#[test]
fn a_wave_takes_no_more_working_machines_than_its_window_requires() {
    let mut simulation = Simulation::new(580, 225, 26_000);
    simulation.set_occupation(0..580, Occupation::Working(8000));
    simulation.run(Time(26_000));
    assert_eq!(simulation.begun(), 580);
    assert!(simulation.max_under_way <= 160, "{} at once", simulation.max_under_way);
}

/// Machines with long-running tasks empty one after the other; if they began last, they would miss
/// the window.
#[test]
fn machines_that_take_long_to_empty_begin_early() {
    let mut simulation = Simulation::new(60, 20, 26_000);
    simulation.set_occupation(0..40, Occupation::Working(8000));
    simulation.set_occupation(40..60, Occupation::LongRunning);
    simulation.run(Time(26_000));
    assert_eq!(simulation.begun(), 60);
    let long_running = |name: &&String| name["machine-".len()..].parse::<usize>().unwrap() >= 40;
    let early = simulation.start_order[..30].iter().filter(long_running).count();
    assert!(early >= 8, "{early} of the first thirty");
}

/// Taking idle machines or ones that are off out of service costs nothing, so they go as soon as
/// allowed.
#[test]
fn idle_machines_go_first_and_as_many_as_allowed() {
    let mut simulation = Simulation::new(100, 30, 26_000);
    simulation.set_occupation(0..60, Occupation::Working(8000));
    simulation.run(Time(3000));
    assert!(simulation.begun() >= 30, "{} in three seconds", simulation.begun());
    let idle = |name: &&String| name["machine-".len()..].parse::<usize>().unwrap() >= 60;
    assert!(
        simulation.start_order[..30].iter().all(|name| idle(&name)),
        "{:?}",
        simulation.start_order
    );
}

/// After a store outage in the middle of a wave, or with a short window, the remaining machines go
/// as fast as allowed, but no faster.
#[test]
fn a_wave_that_falls_behind_catches_up() {
    let mut simulation = Simulation::new(150, 40, 26_000);
    simulation.set_occupation(0..150, Occupation::Working(8000));
    simulation.run(Time(5000));
    let before = simulation.begun();
    simulation.now = Time(12_000);
    simulation.run(Time(26_000));
    assert!(before < 60, "{before} in the first five seconds");
    assert_eq!(simulation.begun(), 150);
    let mut short = Simulation::new(40, 10, 3000);
    short.set_occupation(0..40, Occupation::Working(8000));
    short.run(Time(2000));
    assert_eq!(short.max_under_way, 10 + Settings::default().extra_emptying);
}

/// A rate limit refuses dozens of orders.  If they counted as possibly carried out, their machines
/// would stay empty and occupy slots for three and a half seconds.
#[test]
fn a_refused_order_is_repeated_at_once() {
    let mut planner = planner(2, 1);
    let machines = machines(2);
    let all: BTreeSet<String> = (0..2).map(|number| format!("minion-{number}")).collect();
    let first = begins(&planner.plan(&machines, &all, &all, Time(0), 0));
    planner.record_order(&first[0], Time(0));
    planner.record_refusal(&first[0]);
    assert_eq!(begins(&planner.plan(&machines, &all, &all, Time(100), 0)), first);
}

/// A minion that is empty but was not asked to empty may be sent a task at any time.
#[test]
fn a_machine_goes_down_only_after_it_was_asked_to_empty() {
    let mut planner = planner(1, 1);
    let empty: BTreeSet<String> = ["minion-0".to_string()].into();
    let steps = planner.plan(&machines(1), &BTreeSet::new(), &empty, Time(0), 0);
    assert!(begins(&steps).is_empty(), "{steps:?}");
}
