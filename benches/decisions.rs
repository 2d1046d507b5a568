//! Time of each policy decision at several fleet sizes: `cargo bench --bench decisions`.

use celerythread_model::config::Ratio;
use celerythread_model::fleet::{Minion, State};
use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::{Accelerators, Bytes, Epoch, Millicores, Revision, Slots};
use celerythread_policy::availability::Availability;
use celerythread_policy::ownership::{self, Candidate};
use celerythread_policy::placement::{CandidateWorker, Need, place};
use celerythread_policy::slots::{DispatchResult, Holder, Ledger, Spec};
use celerythread_policy::time::Moment;
use celerythread_policy::view::View;
use celerythread_policy::wave::{self, Target};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const SIZES: [usize; 4] = [50, 200, 650, 1300];

fn id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("a valid id")
}

/// Median time of a call over nine runs of `calls` calls each.
fn time(calls: u32, mut call: impl FnMut()) -> Duration {
    let mut runs: Vec<Duration> = (0..9)
        .map(|_| {
            let began = Instant::now();
            (0..calls).for_each(|_| call());
            began.elapsed() / calls
        })
        .collect();
    runs.sort();
    runs[runs.len() / 2]
}

fn row(name: &str, cells: impl Iterator<Item = Duration>) {
    let cells: Vec<String> = cells.map(|cell| format!("{cell:>10.2?}")).collect();
    println!("{name:38} {}", cells.join(" "));
}

/// Grants and finishes a slot at one of nine entries, which owns a ninth of `minions`.
fn route(minions: usize, services: usize) -> Duration {
    let mut ledger = Ledger::default();
    for n in 0..minions.div_ceil(9) {
        let spec = Spec {
            service: id(format!("s{}", n % services)),
            slots: Slots(8),
            address: "127.0.0.1:1".parse().expect("an address"),
            epoch: Epoch(1),
            active: true,
        };
        ledger.upsert_minion(id(format!("m{n}")), spec, None);
    }
    let service = id("s0".into());
    time(2000, || {
        let permit = ledger.grant(&service, Holder::Own, None, Moment(0)).expect("a free slot");
        ledger.finish(permit.grant, DispatchResult::Answered, Duration::from_millis(9), Moment(9));
    })
}

fn place_job(workers: usize) -> Duration {
    let total = size(16_000, 64, 2);
    let rooms: Vec<CandidateWorker> = (0..workers)
        .map(|n| CandidateWorker {
            worker: id(format!("w{n}")),
            zone: id(format!("z{}", n % 7)),
            rack: id(format!("r{}", n / 4)),
            total,
            free: size((n as u32 * 37) % 16_000, (n as u64 * 11) % 64, n as u32 % 3),
            ejected: n % 50 == 0,
            patient: Default::default(),
        })
        .collect();
    let need = Need { size: size(4000, 8, 1), class: Class::Urgent, avoid: None };
    time(200, || {
        black_box(place(&need, &rooms, None));
    })
}

fn size(cpu: u32, gib: u64, accelerators: u32) -> Size {
    Size {
        cpu: Millicores(cpu),
        memory: Bytes::mebi(gib * 1024),
        accelerators: Accelerators(accelerators),
    }
}

fn targets(minions: usize) -> Vec<Target> {
    (0..minions)
        .map(|n| Target {
            minion: id(format!("m{n:04}")),
            service: id(format!("s{}", n % 31)),
            zone: id(format!("z{}", n % 7)),
            rack: id(format!("r{}", n / 4)),
        })
        .collect()
}

fn standings(minions: usize) -> BTreeMap<id::Service, Availability> {
    (0..31)
        .map(|n| {
            let serving = (minions / 31) as u32 + 1;
            let floor = serving * 8 / 10;
            let by_rack = BTreeMap::from([(id(format!("r{n}")), 2)]);
            let standing = Availability { serving, floor, by_rack, ..Availability::default() };
            (id(format!("s{n}")), standing)
        })
        .collect()
}

fn plan_wave(minions: usize) -> Duration {
    let (targets, standings) = (targets(minions), standings(minions));
    time(20, || {
        black_box(wave::next_targets(&targets, &standings, Ratio(0.5), &[]));
        let each = Duration::from_secs(120);
        black_box(wave::forecast(&targets, &standings, Ratio(0.5), each));
    })
}

fn assign(minions: usize) -> Duration {
    let places = targets(minions).into_iter().map(|t| (t.minion, (t.service, t.zone))).collect();
    let candidates: Vec<Candidate> = (0..28)
        .map(|n| Candidate {
            entry: id(format!("e{n}")),
            zone: id(format!("z{}", n % 7)),
            serves: true,
            silent: false,
        })
        .collect();
    time(5, || {
        black_box(ownership::assign(&places, &candidates));
    })
}

fn first_view(minions: usize) -> Duration {
    let rows: Vec<Row> = (0..minions)
        .map(|n| {
            let minion = Minion {
                minion: id(format!("m{n:04}")),
                pool: id(format!("s{}", n % 31)),
                state: State::Active,
                epoch: Epoch(1),
                zone: id(format!("z{}", n % 7)),
                rack: id(format!("r{}", n / 4)),
                address: "127.0.0.1:1".parse().expect("an address"),
                errand: None,
                boot: 1,
            };
            Row {
                space: Space::Fleet,
                key: format!("minion/m{n:04}"),
                revision: Revision(n as u64 + 1),
                value: serde_json::to_string(&minion).ok(),
            }
        })
        .collect();
    time(3, || {
        let mut view = View::default();
        black_box(view.apply(&rows, Revision(9999)));
    })
}

fn main() {
    println!("median time of a call; columns are sizes {SIZES:?}");
    row("route in 5 services, all minions", SIZES.iter().map(|n| route(*n, 5)));
    row("route in 31 services, all minions", SIZES.iter().map(|n| route(*n, 31)));
    row("place a job, workers", SIZES.iter().map(|n| place_job(*n)));
    row("plan and forecast a wave, minions", SIZES.iter().map(|n| plan_wave(*n)));
    row("assign owners, minions, 28 entries", SIZES.iter().map(|n| assign(*n)));
    row("read a first view, minions", SIZES.iter().map(|n| first_view(*n)));
}
