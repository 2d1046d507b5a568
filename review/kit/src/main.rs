//! Review cases that need real processes: `review-cases CASE RECORD`.
//!
//! The daemons are the product's own processes, started with the command of the deploy file.  The
//! platform is the project's own stand-in ([`celerythread_standin::site`]).

mod cancelled;
mod harness;
mod policy;
mod stalled;
mod twice;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Path::new(record);
    let outcome = match case.as_str() {
        "twice" => async_std::task::block_on(twice::run(record)),
        "cancelled" => async_std::task::block_on(cancelled::run(record)),
        "policy" => async_std::task::block_on(policy::run(record)),
        "stalled" => async_std::task::block_on(stalled::run(record)),
        _ => Err(format!("unknown case {case}")),
    };
    match outcome {
        Ok(violations) if violations.is_empty() => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(violations) => {
            println!("broken");
            violations.iter().for_each(|violation| println!("  {violation}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
