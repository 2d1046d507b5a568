//! Tasks that fill beside tasks that serve, and queues that need tickets.

use crate::fixture::*;
use celerythread_engine::cell::{Order, Queue, Refusal, Report, Running, StartResult};
use celerythread_engine::job::{Step, TaskName};
use std::time::Duration;

fn paces(orders: &[Order]) -> Vec<(TaskName, u8)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Pace { task, percent, .. } => Some((*task, *percent)),
            _ => None,
        })
        .collect()
}

/// A world with a serving task, whose tail must stay below 100 ms, and one that fills beside it.
fn beside() -> (World, Vec<(std::sync::Arc<str>, TaskName, u32)>) {
    let mut world = World::new(1);
    let serving =
        Step { long_running: true, tail_target_ms: Some(100), max_unavailable: Some(1), ..step(1) };
    let filling = Step { best_effort: true, estimate_ms: 60_000, ..step(1) };
    world.submit(1, definition(vec![serving]));
    world.submit(2, definition(vec![filling]));
    let started = world.start_all();
    assert_eq!(started.len(), 2);
    (world, started)
}

fn report_tail(world: &mut World, started: &[(std::sync::Arc<str>, TaskName, u32)], tail: u64) {
    let listed = started.iter().map(|(_, task, run)| {
        let load = if task.job == id(1) { Some(tail) } else { Some(1000) };
        Running { load, ..running(*task, *run, 100) }
    });
    let report = Report { running: listed.collect(), finished: vec![], ..Report::default() };
    world.pass(700);
    world.cell.report(&started[0].0, &report, world.now, world.now);
}

/// Batch work lengthens the response times of a service beside it past its target, second after
/// second, and the service's users wait.
#[test]
fn what_fills_is_slowed_down_while_a_serving_task_is_over_its_target() {
    let (mut world, started) = beside();
    report_tail(&mut world, &started, 60);
    assert!(paces(&world.plan()).is_empty(), "far enough from the target");
    report_tail(&mut world, &started, 90);
    assert_eq!(paces(&world.plan()), [(task(2, 0, 0), 50)]);
    report_tail(&mut world, &started, 130);
    assert_eq!(paces(&world.plan()), [(task(2, 0, 0), 0)]);
    assert!(stops(&world.plan()).is_empty(), "the serving task stays");
}

#[test]
fn what_fills_goes_on_slowly_when_the_tail_is_low_again() {
    let (mut world, started) = beside();
    report_tail(&mut world, &started, 130);
    world.plan();
    report_tail(&mut world, &started, 20);
    assert!(paces(&world.plan()).is_empty(), "not at once");
    report_tail(&mut world, &started, 20);
    report_tail(&mut world, &started, 20);
    assert_eq!(paces(&world.plan()), [(task(2, 0, 0), 15)]);
}

/// The order to slow down was lost; taken for carried out, the disturbance would go on unseen.
#[test]
fn a_pace_that_was_not_taken_over_is_ordered_again() {
    let (mut world, started) = beside();
    report_tail(&mut world, &started, 130);
    assert_eq!(paces(&world.plan()).len(), 1);
    let (minion, name, run) = started.iter().find(|start| start.1.job == id(2)).unwrap();
    world.cell.pace_missed(minion, name, *run);
    assert_eq!(paces(&world.plan()), [(task(2, 0, 0), 0)]);
}

fn advised(minions: usize) -> World {
    let mut world = World::new(minions);
    let queue = Queue { attempts: 2, advised: true, ..Queue::default() };
    world.cell.configure([("queue".into(), queue)]);
    world
}

/// A start without a ticket is refused, and refused starts are paid for; minions that may not run
/// a step must never be tried.
#[test]
fn nothing_is_started_without_a_ticket() {
    let mut world = advised(3);
    world.submit(1, definition(vec![step(2)]));
    assert!(starts(&world.plan()).is_empty());
    let queries = world.cell.take_queries();
    assert_eq!(queries.len(), 1);
    assert!(starts(&world.plan()).is_empty());
    assert!(world.cell.take_queries().is_empty(), "one question at a time");
    let good = vec![(World::minion(2), "ticket".into())];
    let until = world.now + Duration::from_millis(3000);
    world.cell.advised(&queries[0], good, until);
    let orders = world.plan();
    assert_eq!(starts(&orders).len(), 2);
    for order in &orders {
        let Order::Start { minion, ticket, .. } = order else { continue };
        assert_eq!(*minion, World::minion(2));
        assert_eq!(ticket.as_deref(), Some("ticket"));
    }
}

#[test]
fn a_ticket_that_is_refused_or_over_is_asked_for_again() {
    let mut world = advised(1);
    world.submit(1, definition(vec![step(1)]));
    world.plan();
    let query = world.cell.take_queries().remove(0);
    let until = world.now + Duration::from_millis(1000);
    world.cell.advised(&query, vec![(World::minion(0), "first".into())], until);
    let (minion, name, run) = starts(&world.plan()).remove(0);
    let refused = StartResult::Refused(Refusal::NoTicket);
    world.cell.start_result(&minion, &name, run, refused, world.now);
    assert!(starts(&world.plan()).is_empty());
    let query = world.cell.take_queries().remove(0);
    world.cell.advised(&query, vec![(World::minion(0), "second".into())], until);
    world.pass(1000);
    assert!(starts(&world.plan()).is_empty(), "over by now");
    assert_eq!(world.cell.take_queries().len(), 1);
}

#[test]
fn a_question_without_an_answer_is_asked_again_after_a_pause() {
    let mut world = advised(1);
    world.submit(1, definition(vec![step(1)]));
    world.plan();
    let query = world.cell.take_queries().remove(0);
    world.cell.advice_missed(&query, world.now);
    world.plan();
    assert!(world.cell.take_queries().is_empty());
    world.pass(400);
    world.plan();
    assert_eq!(world.cell.take_queries().len(), 1);
}
