//! Tasks that crash the minions that start them, and tasks that were only beside them.

use crate::fixture::*;
use celerythread_engine::cell::{MinionId, Report};
use celerythread_engine::job::{State, TaskName};

/// Starts of a task that may follow the third crash under it.
const STARTS_AFTER_THREE: usize = 2;

/// A cell whose minions crash as soon as they start certain tasks, and come back as others.
struct Fleet {
    world: World,
    crashing: Vec<TaskName>,
    next: usize,
    /// Minions on which each crashing task was started.
    crashed: Vec<(TaskName, MinionId)>,
}

impl Fleet {
    fn new(minions: usize, crashing: &[TaskName]) -> Self {
        let world = World::new(minions);
        Self { world, crashing: crashing.to_vec(), next: minions, crashed: Vec::new() }
    }

    /// Plans, and has the minions that start a crashing task crash; each is known to be over, and
    /// back as another, three seconds later.
    fn step(&mut self) {
        let started = self.world.start_all();
        let crashed: Vec<_> =
            started.into_iter().filter(|(_, task, _)| self.crashing.contains(task)).collect();
        for (minion, task, _) in crashed {
            self.crashed.push((task, minion.clone()));
            self.world.cell.missed(&minion);
            self.world.pass(3000);
            self.world.cell.bury(&minion, self.world.now);
            self.world.list(self.next);
            self.world.answer(self.next, Report::default());
            self.next += 1;
        }
        self.world.keep();
        self.world.pass(100);
    }
}

/// A job's task ends each minion that starts it within milliseconds.  Its caller hears `running` for as long
/// as the job lives, and every three seconds the callers of all that runs beside it wait for
/// their work to be begun anew.
#[test]
fn a_task_that_crashes_its_minions_is_given_up() {
    let name = task(1, 0, 0);
    let mut fleet = Fleet::new(6, &[name]);
    fleet.world.submit(1, definition(vec![step(1)]));
    for _ in 0..40 {
        fleet.step();
    }
    let starts = fleet.crashed.len();
    assert!(starts <= 3 + STARTS_AFTER_THREE, "started {starts} times");
    assert_eq!(fleet.world.cell.state(&id(1)), Some(State::Failed));
}
