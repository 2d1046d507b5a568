//! Tests of the decisions about requests: phases, retries, queues, slots, health, claims and
//! quotas.

use assert_matches::assert_matches;
use celerythread_model::config::{Document, Ratio};
use celerythread_model::id;
use celerythread_model::request::{Class, Idempotence, Outcome};
use celerythread_model::unit::{Epoch, Slots};
use celerythread_policy::claim::{self, Answer, Claim, Decision, Settlement, Stage};
use celerythread_policy::health::{Health, State};
use celerythread_policy::phase::{self, Phase};
use celerythread_policy::queue::{Bounds, Queue, QueuedRequest};
use celerythread_policy::quota::Quota;
use celerythread_policy::retry::Budget;
use celerythread_policy::slots::{DispatchResult, Grant, Holder, Ledger, Spec};
use celerythread_policy::time::Moment;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use strum::VariantArray;

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// All combinations: "not run" is reported only before the first byte, and a non-idempotent request
/// is never resent after it.
#[test]
fn outcome_and_resend_by_phase_and_idempotence() {
    for phase in Phase::VARIANTS {
        for idempotence in Idempotence::VARIANTS {
            let decision = phase::decide(*phase, *idempotence);
            let nothing_written = *phase <= Phase::Connected;
            let expected = if nothing_written { Outcome::NotRun } else { Outcome::Unknown };
            assert_eq!(decision.outcome, expected, "{phase:?}");
            let may_resend = nothing_written || *idempotence == Idempotence::Idempotent;
            assert_eq!(decision.may_resend, may_resend, "{phase:?} {idempotence}");
        }
    }
}

#[test]
fn combined_outcome_is_not_run_only_if_no_attempt_ran() {
    use Outcome::{NotRun, Run, Unknown};
    assert_eq!(phase::combine(None, NotRun), NotRun);
    assert_eq!(phase::combine(Some(NotRun), NotRun), NotRun);
    assert_eq!(phase::combine(Some(Unknown), NotRun), Unknown);
    assert_eq!(phase::combine(Some(NotRun), Unknown), Unknown);
    assert_eq!(phase::combine(Some(Unknown), Run), Run);
    assert_eq!(phase::combine(Some(Run), NotRun), Run);
}

/// Guards against retries that turn slowness into an outage: when every request fails, sending each
/// three times triples the load.  The budget limits resent requests to the configured share.
#[test]
fn retries_cannot_multiply_an_overload() {
    let mut budget = Budget::new(Ratio(0.1));
    let mut resent = 0;
    for _ in 0..1000 {
        budget.deposit();
        resent += u32::from(budget.try_withdraw());
    }
    assert!((90..=104).contains(&resent), "{resent} of 1000");
}

fn bounds() -> Bounds {
    Bounds { limit: 100, patient_share: Ratio(0.125) }
}

fn waiting(item: u32, class: Class) -> QueuedRequest<u32> {
    QueuedRequest { item, class, deadline: Moment(1_000_000) }
}

#[test]
fn urgent_goes_first_and_patient_still_moves() {
    let mut queue = Queue::default();
    for n in 0..80 {
        let class = if n % 2 == 0 { Class::Urgent } else { Class::Patient };
        queue.push(waiting(n, class), Moment(0), bounds(), 0.5).unwrap();
    }
    let order: Vec<u32> =
        (0..80).filter_map(|n| queue.pop(Moment(n * 10), bounds().patient_share)).collect();
    let patient_in = |part: &[u32]| part.iter().filter(|n| **n % 2 == 1).count();
    assert_eq!(order.len(), 80);
    assert_eq!(order[0], 0, "an urgent request goes first");
    // Patient requests get an eighth of the turns while both classes wait, so 40 urgent ones take
    // 45 turns.
    assert!((4..=6).contains(&patient_in(&order[..45])), "{order:?}");
}

#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let mut queue = Queue::default();
    for n in 0..50 {
        queue.push(waiting(n, Class::Urgent), Moment(0), bounds(), 0.5).unwrap();
    }
    let short_deadline = QueuedRequest { item: 99, class: Class::Urgent, deadline: Moment(100) };
    let refusal = queue.push(short_deadline, Moment(0), bounds(), 0.5).unwrap_err();
    // 50 waiting requests at 20 ms each take a second.
    assert!(refusal.retry_after >= Duration::from_millis(500), "{refusal:?}");
    assert_eq!(queue.len(), 50);
}

#[test]
fn patient_work_cannot_keep_urgent_work_out() {
    let mut queue = Queue::default();
    let mut patient = 0;
    while queue.push(waiting(0, Class::Patient), Moment(0), bounds(), 0.5).is_ok() {
        patient += 1;
    }
    assert_eq!(patient, 100);
    assert!(queue.push(waiting(1, Class::Urgent), Moment(0), bounds(), 0.5).is_ok());
    assert_eq!(queue.pop(Moment(1), bounds().patient_share), Some(1));
}

#[test]
fn refused_callers_are_spread_out() {
    let mut queue = Queue::default();
    for n in 0..50 {
        queue.push(waiting(n, Class::Urgent), Moment(0), bounds(), 0.5).unwrap();
    }
    let times: Vec<Duration> = (0..=4).map(|n| queue.retry_after(f64::from(n) / 4.0)).collect();
    assert!(times.is_sorted());
    assert!(times[4] >= times[0] * 2, "{times:?}");
}

#[test]
fn expired_requests_are_removed() {
    let mut queue = Queue::default();
    let short_deadline = QueuedRequest { item: 1, class: Class::Urgent, deadline: Moment(50) };
    queue.push(short_deadline, Moment(0), bounds(), 0.5).unwrap();
    queue.push(waiting(2, Class::Urgent), Moment(0), bounds(), 0.5).unwrap();
    assert_eq!(queue.remove_expired(Moment(60)), [1]);
    assert_eq!(queue.pop(Moment(60), bounds().patient_share), Some(2));
}

proptest! {
    /// No request is lost or duplicated, and the order of arrival holds within each class.
    #[test]
    fn a_queue_keeps_everything_in_order(classes in prop::collection::vec(any::<bool>(), 0..100)) {
        let mut queue = Queue::default();
        for (n, urgent) in classes.iter().enumerate() {
            let class = if *urgent { Class::Urgent } else { Class::Patient };
            queue.push(waiting(n as u32, class), Moment(0), bounds(), 0.5).unwrap();
        }
        let order: Vec<u32> =
            std::iter::from_fn(|| queue.pop(Moment(1), bounds().patient_share)).collect();
        for urgent in [true, false] {
            let expected: Vec<u32> =
                (0..classes.len() as u32).filter(|n| classes[*n as usize] == urgent).collect();
            let got: Vec<u32> =
                order.iter().copied().filter(|n| classes[*n as usize] == urgent).collect();
            prop_assert_eq!(got, expected);
        }
    }
}

fn spec(slots: u32, active: bool) -> Spec {
    Spec {
        service: id("s"),
        slots: Slots(slots),
        address: "127.0.0.1:1".parse().unwrap(),
        epoch: Epoch(1),
        active,
    }
}

fn ledger(minions: u32, slots: u32) -> Ledger {
    let mut ledger = Ledger::default();
    for n in 0..minions {
        ledger.upsert_minion(id(&format!("m{n}")), spec(slots, true), None);
    }
    ledger
}

#[test]
fn equally_loaded_minions_take_turns() {
    let mut ledger = ledger(3, 8);
    let mut served: BTreeMap<id::Minion, u32> = BTreeMap::new();
    for n in 0..30 {
        let permit = ledger.grant(&id("s"), Holder::Own, None, Moment(n)).unwrap();
        *served.entry(permit.minion).or_default() += 1;
        ledger.finish(permit.grant, DispatchResult::Answered, Duration::from_millis(1), Moment(n));
    }
    assert!(served.values().all(|count| *count == 10), "{served:?}");
}

/// A minion that returns after a drain was rebooted, so its old failures no longer apply.
#[test]
fn a_new_epoch_resets_the_health() {
    let mut ledger = ledger(2, 8);
    let mut now = Moment(0);
    while ledger.ejected(now).is_empty() {
        now = now + Duration::from_millis(50);
        assert!(now < Moment(60_000), "the minion was never ejected");
        let Some(permit) = ledger.grant(&id("s"), Holder::Own, None, now) else { continue };
        let result = if permit.minion == id("m0") {
            DispatchResult::Failed
        } else {
            DispatchResult::Answered
        };
        ledger.finish(permit.grant, result, Duration::from_millis(1), now);
    }
    assert_eq!(ledger.ejected(now), [id("m0")]);
    ledger.upsert_minion(id("m0"), Spec { epoch: Epoch(2), ..spec(8, true) }, None);
    assert!(ledger.ejected(now).is_empty());
}

/// Guards against a minion that attracts all requests because it fails them immediately: a failure
/// must occupy its slot for as long as a success takes.
#[test]
fn a_fast_failure_occupies_its_slot_like_a_success() {
    let mut ledger = ledger(1, 1);
    let grant = |ledger: &mut Ledger, now| ledger.grant(&id("s"), Holder::Own, None, Moment(now));
    let first = grant(&mut ledger, 0).unwrap();
    ledger.finish(first.grant, DispatchResult::Answered, Duration::from_millis(100), Moment(100));
    let second = grant(&mut ledger, 100).unwrap();
    ledger.finish(second.grant, DispatchResult::Failed, Duration::ZERO, Moment(100));
    assert!(grant(&mut ledger, 199).is_none());
    assert!(grant(&mut ledger, 200).is_some());
}

/// Guards against a minion that never gets work again after a single failure, for example a lost
/// packet: in a quiet service its sibling would get all requests.
#[test]
fn a_single_failure_is_forgotten() {
    let mut ledger = ledger(2, 8);
    let first = ledger.grant(&id("s"), Holder::Own, None, Moment(0)).unwrap();
    let failed = first.minion.clone();
    ledger.finish(first.grant, DispatchResult::Failed, Duration::ZERO, Moment(1));
    let mut served = false;
    for n in 0..20 {
        let now = Moment(1000 + n);
        let permit = ledger.grant(&id("s"), Holder::Own, None, now).unwrap();
        served |= permit.minion == failed;
        ledger.finish(permit.grant, DispatchResult::Answered, Duration::from_millis(1), now);
    }
    assert!(served);
}

/// When all minions fail alike, the cause lies elsewhere; ejecting one after another would leave
/// the service without minions.
#[test]
fn ejection_never_empties_a_service() {
    let mut ledger = ledger(4, 8);
    let mut now = 0;
    for _ in 0..400 {
        now += 1;
        if let Some(permit) = ledger.grant(&id("s"), Holder::Own, None, Moment(now)) {
            ledger.finish(permit.grant, DispatchResult::Failed, Duration::ZERO, Moment(now));
        }
        assert!(ledger.ejected(Moment(now)).len() < 4);
        assert!(ledger.capacity(&id("s"), Moment(now)).slots == 32);
    }
    assert!(ledger.grant(&id("s"), Holder::Own, None, Moment(now + 100_000)).is_some());
}

#[test]
fn a_draining_minion_gets_nothing_and_is_idle_once_its_grants_end() {
    let mut ledger = ledger(1, 8);
    let permit = ledger.grant(&id("s"), Holder::Peer(id("e2")), None, Moment(0)).unwrap();
    ledger.upsert_minion(id("m0"), spec(8, false), None);
    assert!(ledger.grant(&id("s"), Holder::Own, None, Moment(1)).is_none());
    assert!(!ledger.is_idle(&id("m0"), Moment(1)));
    ledger.finish(permit.grant, DispatchResult::Answered, Duration::from_millis(5), Moment(5));
    assert!(ledger.is_idle(&id("m0"), Moment(5)));
}

/// The link to a peer is lost while the peer uses a slot.  The slot must neither be lost forever
/// nor count as free while the peer still uses it.
#[test]
fn a_lost_peers_grants_end_only_when_it_no_longer_lists_them() {
    let mut ledger = ledger(1, 2);
    let peer: id::Entry = id("e2");
    let grants: Vec<Grant> = (0..2)
        .map(|_| ledger.grant(&id("s"), Holder::Peer(peer.clone()), None, Moment(0)).unwrap().grant)
        .collect();
    assert_eq!(ledger.reconcile_peer_grants(&peer, |grant| grant == grants[0]), 1);
    assert_eq!(ledger.capacity(&id("s"), Moment(1)).free, 1);
    assert_eq!(ledger.reconcile_peer_grants(&peer, |_| false), 1);
    assert_eq!(ledger.capacity(&id("s"), Moment(1)).free, 2);
    assert_eq!(ledger.finish(grants[0], DispatchResult::Answered, Duration::ZERO, Moment(2)), None);
}

#[test]
fn slots_of_a_former_owner_stay_reserved_for_a_while() {
    let mut ledger = Ledger::default();
    ledger.upsert_minion(id("m0"), spec(4, true), Some((3, Moment(100))));
    assert_eq!(ledger.capacity(&id("s"), Moment(50)).free, 1);
    assert!(!ledger.is_idle(&id("m0"), Moment(50)));
    assert_eq!(ledger.capacity(&id("s"), Moment(100)).free, 4);
}

#[derive(Clone, Debug)]
enum Step {
    Grant(bool),
    Finish(usize, bool),
    Drain(bool),
    Reconcile(u8),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => any::<bool>().prop_map(Step::Grant),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(n, ok)| Step::Finish(n, ok)),
        1 => any::<bool>().prop_map(Step::Drain),
        1 => any::<u8>().prop_map(Step::Reconcile),
        2 => any::<u16>().prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..120)
}

proptest! {
    /// In any order of steps, no minion has more grants than slots, and an idle minion has none.
    #[test]
    fn grants_never_exceed_the_slots(steps in steps()) {
        const SLOTS: u32 = 3;
        let mut ledger = ledger(2, SLOTS);
        let mut open: Vec<(Grant, id::Minion, bool)> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Grant(own) => {
                    let holder = if own { Holder::Own } else { Holder::Peer(id("e2")) };
                    if let Some(permit) = ledger.grant(&id("s"), holder, None, Moment(now)) {
                        open.push((permit.grant, permit.minion, own));
                    }
                }
                Step::Finish(n, ok) if !open.is_empty() => {
                    let (grant, _, _) = open.swap_remove(n % open.len());
                    let result = if ok { DispatchResult::Answered } else { DispatchResult::Failed };
                    ledger.finish(grant, result, Duration::from_millis(3), Moment(now));
                }
                Step::Finish(..) => {}
                Step::Drain(active) => ledger.upsert_minion(id("m0"), spec(SLOTS, active), None),
                Step::Reconcile(bits) => {
                    let listed: Vec<Grant> = open
                        .iter()
                        .enumerate()
                        .filter(|(n, (_, _, own))| *own || bits & (1 << (n % 8)) != 0)
                        .map(|(_, (grant, _, _))| *grant)
                        .collect();
                    ledger.reconcile_peer_grants(&id("e2"), |grant| listed.contains(&grant));
                    open.retain(|(grant, _, _)| listed.contains(grant));
                }
                Step::Wait(ms) => now += u64::from(ms),
            }
            for name in ["m0", "m1"] {
                let held = open.iter().filter(|(_, minion, _)| minion.as_str() == name).count();
                prop_assert_eq!(ledger.outstanding(&id(name)) as usize, held);
                prop_assert!(held <= SLOTS as usize);
                prop_assert_eq!(ledger.is_idle(&id(name), Moment(now)), held == 0);
            }
        }
    }
}

#[test]
fn an_ejected_minion_is_probed_and_readmitted() {
    let mut health = Health::default();
    let mut ejected = false;
    for n in 0..20 {
        ejected |= health.record_failure(Moment(n), 0.0, true);
    }
    assert!(ejected);
    assert_matches!(health.state(Moment(20)), State::Ejected(_));
    assert_eq!(health.state(Moment(100_000)), State::Probing);
    assert!(health.record_success(Duration::from_millis(5)));
    assert_eq!(health.state(Moment(100_001)), State::Healthy);
}

fn claim(stage: Stage) -> Claim {
    Claim { attempt: id("a1"), entry: id("e1"), fingerprint: "f".into(), stage, made_at: 0 }
}

#[test]
fn decisions_for_a_repeated_key() {
    let answer = Answer { status: 200, headers: vec![], body: None, object: None };
    let (own, other) = (id::<id::Attempt>("a1"), id::<id::Attempt>("a2"));
    let decide = |stage, attempt: &id::Attempt, fingerprint: &str, is_registered: bool| {
        claim::decide(&claim(stage), attempt, fingerprint, |_| is_registered)
    };
    let done = Stage::Done { answer: answer.clone() };
    assert_eq!(decide(done.clone(), &other, "f", false), Decision::Replay(answer));
    assert_eq!(decide(done, &other, "other", true), Decision::KeyReused);
    assert_eq!(decide(Stage::Running, &own, "f", true), Decision::Run);
    assert_eq!(decide(Stage::Running, &other, "f", true), Decision::StillRunning);
    // A dead entry's claim is never released.
    assert_eq!(decide(Stage::Running, &other, "f", false), Decision::Unknown);
    assert_eq!(decide(Stage::Unknown, &other, "f", true), Decision::Unknown);
}

#[test]
fn only_a_request_that_was_not_run_releases_its_key() {
    assert_eq!(claim::settle(Outcome::NotRun, None), Settlement::Release);
    assert_eq!(claim::settle(Outcome::Unknown, None), Settlement::MarkUnknown);
    assert_eq!(claim::settle(Outcome::Run, None), Settlement::MarkUnknown);
}

#[test]
fn a_finished_request_frees_its_quota() {
    let document = Document::read("[team t]\nrequests = 2\n", "").unwrap();
    let mut quota = Quota::default();
    let team = id("t");
    assert!(quota.try_acquire(&team, &document) && quota.try_acquire(&team, &document));
    assert!(!quota.try_acquire(&team, &document));
    quota.release(&team);
    assert!(quota.try_acquire(&team, &document));
    assert!((0..100).all(|_| quota.try_acquire(&id("unbounded"), &document)));
}
