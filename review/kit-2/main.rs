//! The cases of the second review that are no days: `standin CASE FOLDER`.  Exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod http;
mod json;
mod site;

use std::path::PathBuf;

/// A case's surroundings.
pub struct Case {
    /// The repository's root.
    pub root: PathBuf,
    /// A temporary folder.
    pub temp: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub record: site::Record,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("standin CASE FOLDER");
        std::process::exit(2);
    };
    let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let case = Case {
        root: std::env::current_dir().expect("the repository's root"),
        temp: temp.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: site::Record::new(&PathBuf::from(folder).join("record.txt")),
    };
    // A case that panics couldn't run; its processes end as it unwinds.
    let run = std::panic::AssertUnwindSafe(|| cases::run(name, &case));
    let outcome = std::panic::catch_unwind(run).unwrap_or_else(|_| Err("a stand-in has panicked".into()));
    let (code, text) = match outcome {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    case.record.log(&text);
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    } else {
        println!("{}", temp.display());
    }
    std::process::exit(code);
}
