//! Maintenance waves.

use celerythread_engine::maintenance::{Machine, Planner, Settings, Step, Wave};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn machines(count: usize) -> BTreeMap<String, Machine> {
    (0..count)
        .map(|number| {
            let minion = Some(format!("minion-{number}"));
            (format!("machine-{number}"), Machine { minion, up: true, in_maintenance: false })
        })
        .collect()
}

fn planner(count: usize, at_once: usize) -> Planner {
    let mut planner = Planner::new(Settings::default());
    let machines = (0..count).map(|number| format!("machine-{number}")).collect();
    planner.add(1, Wave { machines, at_once, ..Wave::default() });
    planner
}

fn begins(steps: &[Step]) -> Vec<String> {
    steps
        .iter()
        .filter_map(|step| match step {
            Step::Begin { machine, .. } => Some(machine.clone()),
            _ => None,
        })
        .collect()
}

/// Plays a wave whose minions empty at once, counting how many machines are down together.
#[test]
fn a_wave_is_completed_with_never_more_down_than_allowed() {
    let mut planner = planner(12, 3);
    let mut machines = machines(12);
    let mut emptying = BTreeSet::new();
    let mut down: BTreeMap<String, Time> = BTreeMap::new();
    let (mut now, mut most, mut completed) = (Time(0), 0, false);
    for _ in 0..200 {
        now = now + Duration::from_millis(350);
        down.retain(|name, since| {
            let back = now.since(*since) >= Duration::from_secs(2);
            if back {
                let minion = Some(format!("{name}-reborn"));
                machines.insert(name.clone(), Machine { minion, up: true, in_maintenance: false });
            }
            !back
        });
        let empty = emptying.clone();
        for step in planner.plan(&machines, &emptying, &empty, now) {
            match step {
                Step::Empty { minion, .. } => drop(emptying.insert(minion)),
                Step::Begin { machine, wave } => {
                    planner.ordered(&machine, now);
                    planner.begun(wave, &machine);
                    machines.insert(
                        machine.clone(),
                        Machine { in_maintenance: true, ..Machine::default() },
                    );
                    down.insert(machine, now);
                }
                Step::Complete { wave } => {
                    planner.completed(wave);
                    completed = true;
                }
            }
        }
        most = most.max(down.len());
    }
    assert!(completed);
    assert_eq!(most, 3);
    assert_eq!(planner.wave(1).unwrap().begun.len(), 12);
}

/// The list of machines lags behind an order; a machine ordered down and still listed as up
/// counts as down, or the wave would exceed what may be down at once.
#[test]
fn an_order_that_the_list_does_not_show_yet_counts() {
    let mut planner = planner(4, 1);
    let machines = machines(4);
    let all: BTreeSet<String> = (0..4).map(|number| format!("minion-{number}")).collect();
    let first = begins(&planner.plan(&machines, &all, &all, Time(0)));
    assert_eq!(first.len(), 1);
    planner.ordered(&first[0], Time(0));
    assert!(begins(&planner.plan(&machines, &all, &all, Time(300))).is_empty());
}

/// What runs on a machine ends at once with its maintenance, so it goes down only when it is empty.
#[test]
fn a_machine_that_is_not_empty_stays_up() {
    let mut planner = planner(1, 1);
    let machines = machines(1);
    let emptying: BTreeSet<String> = ["minion-0".to_string()].into();
    assert!(begins(&planner.plan(&machines, &emptying, &BTreeSet::new(), Time(0))).is_empty());
}

#[test]
fn a_machine_that_is_gone_for_good_is_not_waited_for() {
    let mut planner = planner(1, 1);
    let steps = planner.plan(&machines(0), &BTreeSet::new(), &BTreeSet::new(), Time(0));
    assert!(steps.is_empty(), "an empty list of machines proves nothing");
    let mut other = machines(2);
    other.remove("machine-0");
    let steps = planner.plan(&other, &BTreeSet::new(), &BTreeSet::new(), Time(0));
    assert_eq!(steps, [Step::Complete { wave: 1 }]);
}
