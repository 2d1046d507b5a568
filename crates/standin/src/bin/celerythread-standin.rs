//! Runs a stand-in as a process.  A serving stand-in prints one line `listening ADDRESS` first.

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

/// Timeout of a control request to a stand-in.
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
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Delay of changes to the list of instances.
                optional --lag span: Span
            }
            /// A minion.
            cmd minion {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Processing time of a request.
                optional --duration span: Span
            }
            /// Adds an instance to the platform's list.
            cmd instance {
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Name of the instance.
                required --name name: String
                /// Role: entry, minion or worker.
                required --role role: Role
                /// Availability zone of the instance.
                required --zone name: String
                /// Rack of the instance.
                required --rack name: String
                /// Address at which a minion serves.
                optional --address address: SocketAddr
                /// The pool that a minion was bought for.
                optional --pool name: String
                /// A worker's processor capacity in millicores.
                optional --cpu count: Millicores
                /// A worker's memory capacity.
                optional --memory size: Bytes
            }
            /// A TCP proxy.
            cmd link {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Address to forward to.
                required --target address: SocketAddr
                /// Delay of each forwarded chunk, one way.
                optional --delay span: Span
            }
            /// Sends requests to entries, prints a report and checks the history.
            cmd load {
                /// Address of an entry; may be given several times.
                repeated --entry address: SocketAddr
                /// Address of a minion whose record is checked too; may be given several times.
                repeated --minion address: SocketAddr
                /// Name of the service.
                required --service name: String
                /// Requests per second.
                optional --rate number: f64
                /// Number of requests.
                optional --count number: u64
                /// Seed of the random choices.
                optional --seed number: u64
                /// Deadline of each request.
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
