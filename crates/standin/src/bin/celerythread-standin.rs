//! The stand-ins as processes.  Each prints one line `listening ADDRESS` and then serves.

use async_std::task;
use celerythread_http::client;
use celerythread_model::job::Size;
use celerythread_model::unit::Span;
use celerythread_platform::message::Instance;
use celerythread_standin::history;
use celerythread_standin::link::Link;
use celerythread_standin::load::{self, Plan};
use celerythread_standin::minion::{Minion, Record};
use celerythread_standin::platform::Platform;
use http_types::Method;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Longest wait for an order to a stand-in.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use celerythread_model::unit::{Bytes, Millicores, Span};
    use celerythread_platform::message::Role;
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for tests and the quick start; never part of a deployment.
        cmd celerythread-standin {
            /// The platform: table, objects, list of instances, workers.
            cmd platform {
                /// Where to listen.
                required --listen address: SocketAddr
                /// How late the list of instances is.
                optional --lag span: Span
            }
            /// A minion.
            cmd minion {
                /// Where to listen.
                required --listen address: SocketAddr
                /// How long a request takes.
                optional --duration span: Span
            }
            /// Puts an instance on the platform's list.
            cmd instance {
                /// The platform.
                required --platform address: SocketAddr
                /// Its name.
                required --name name: String
                /// entry, minion or worker.
                required --role role: Role
                /// Its availability zone.
                required --zone name: String
                /// Its rack.
                required --rack name: String
                /// Where a minion serves.
                optional --address address: SocketAddr
                /// The pool that a minion was bought for.
                optional --pool name: String
                /// A worker's thousandths of a core.
                optional --cpu count: Millicores
                /// A worker's memory.
                optional --memory size: Bytes
            }
            /// A hop for TCP.
            cmd link {
                /// Where to listen.
                required --listen address: SocketAddr
                /// Where to pass things on to.
                required --target address: SocketAddr
                /// How long each piece takes one way.
                optional --delay span: Span
            }
            /// A load on entries, with its report and history check.
            cmd load {
                /// An entry; may be given several times.
                repeated --entry address: SocketAddr
                /// A minion whose record is joined to the history; may be given several times.
                repeated --minion address: SocketAddr
                /// The service.
                required --service name: String
                /// Requests a second.
                optional --rate number: f64
                /// How many requests.
                optional --count number: u64
                /// The seed.
                optional --seed number: u64
                /// The deadline.
                optional --deadline span: Span
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::CelerythreadStandin::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match task::block_on(run(flags.subcommand)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: flags::CelerythreadStandinCmd) -> io::Result<ExitCode> {
    match command {
        flags::CelerythreadStandinCmd::Platform(flags) => {
            let platform = Platform::start(flags.listen).await?;
            platform.memory.roster.set_lag(flags.lag.unwrap_or_default().0);
            serve_forever(platform.server.address()).await
        }
        flags::CelerythreadStandinCmd::Minion(flags) => {
            let duration = flags.duration.unwrap_or(Span::millis(20)).0;
            let minion = Minion::start(flags.listen, duration).await?;
            serve_forever(minion.server.address()).await
        }
        flags::CelerythreadStandinCmd::Instance(flags) => add_instance(flags).await,
        flags::CelerythreadStandinCmd::Link(flags) => {
            let link = Link::tcp(flags.listen, flags.target).await?;
            link.set_delay(flags.delay.unwrap_or_default().0);
            serve_forever(link.address()).await
        }
        flags::CelerythreadStandinCmd::Load(flags) => run_load(flags).await,
    }
}

async fn serve_forever(address: SocketAddr) -> io::Result<ExitCode> {
    println!("listening {address}");
    async_std::future::pending().await
}

async fn run_load(flags: flags::Load) -> io::Result<ExitCode> {
    let base = Plan::default();
    let plan = Plan {
        entries: flags.entry,
        service: flags.service,
        rate: flags.rate.unwrap_or(base.rate),
        count: flags.count.unwrap_or(base.count),
        seed: flags.seed.unwrap_or(base.seed),
        deadline: flags.deadline.unwrap_or(base.deadline),
        ..base
    };
    if plan.entries.is_empty() {
        return Err(io::Error::other("at least one --entry must be given"));
    }
    let report = load::run(&plan).await;
    print!("{}", report.table());
    let mut runs = Vec::new();
    for minion in flags.minion {
        runs.extend(fetch_record(minion).await?.runs);
    }
    let breaches = history::check(&report.asked(), &runs);
    println!("breaches {}", breaches.len());
    for breach in &breaches {
        println!("  {breach}");
    }
    Ok(if breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn add_instance(flags: flags::Instance) -> io::Result<ExitCode> {
    let pool = flags.pool.map(|pool| pool.parse()).transpose().map_err(io::Error::other)?;
    let instance = Instance {
        name: flags.name,
        role: flags.role,
        zone: flags.zone.parse().map_err(io::Error::other)?,
        rack: flags.rack.parse().map_err(io::Error::other)?,
        address: flags.address,
        pool,
        leaving: false,
        boot: 1,
        size: Size {
            cpu: flags.cpu.unwrap_or_default(),
            memory: flags.memory.unwrap_or_default(),
            ..Size::default()
        },
    };
    let mut request = client::request(Method::Post, flags.platform, "/standin/instance")
        .map_err(|fault| io::Error::other(fault.to_string()))?;
    request.set_body(serde_json::to_string(&instance).map_err(io::Error::other)?);
    let done = client::fetch(flags.platform, request, CONTROL_TIMEOUT, 1 << 20).await;
    done.map_err(|failure| io::Error::other(failure.fault.to_string()))?;
    Ok(ExitCode::SUCCESS)
}

async fn fetch_record(minion: SocketAddr) -> io::Result<Record> {
    let request = client::request(Method::Get, minion, "/standin/record")
        .map_err(|fault| io::Error::other(fault.to_string()))?;
    let (_, body) = client::fetch(minion, request, CONTROL_TIMEOUT, 64 << 20)
        .await
        .map_err(|failure| io::Error::other(failure.fault.to_string()))?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
