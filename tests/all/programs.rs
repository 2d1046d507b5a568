//! The two programs' settings, help, exit codes and keys, and the pages that document them.

use celerythread_entry::metrics::Counter;
use celerythread_model::code::Code;
use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use strum::VariantArray;

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).env_remove("CELERYTHREAD_ENTRIES").output().unwrap()
}

fn ctl(arguments: &[&str]) -> Output {
    run(env!("CARGO_BIN_EXE_celerythread"), arguments)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn read_doc(name: &str) -> String {
    fs::read_to_string(format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn write_temp_file(name: &str, content: &str) -> String {
    let name = format!("celerythread-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, content).unwrap();
    path.display().to_string()
}

/// All mistakes of a settings file are printed at once, with section, key, line and result code.
#[test]
fn check_prints_all_ten_mistakes() {
    let path = write_temp_file(
        "ten.ini",
        "[instance]\nname = NOT AN ID\nzone = z\ncolour = blue\n\
         [caller]\nlisten = everywhere\nbody_limit = 9GiB\nhead_timeout = soon\n\
         [operator]\nlisten = 127.0.0.1:1\n\
         [peer]\nlisten = 127.0.0.1:2\nauthority = a\ncertificate = b\nbeat = 5s\n\
         takeover_after = 6s\n\
         [platform]\npoll = 5s\n[lease]\nterm = 2s\n[log]\nformat = pretty\n[nonsense]\n",
    );
    let output = run(env!("CARGO_BIN_EXE_celerythreadd"), &["--settings", &path, "--check"]);
    let printed = text(&output.stderr);
    for expected in [
        "[instance] name (line 2)",
        "3003 unknown-key: [instance] colour (line 4)",
        "[caller] listen (line 6)",
        "3006 out-of-range: [caller] body_limit (line 7)",
        "[caller] head_timeout (line 8)",
        "3004 missing-key: [peer] key",
        "3007 contradiction: [peer] takeover_after (line 16)",
        "[platform] addresses",
        "3007 contradiction: [lease] term (line 20)",
        "[log] format (line 22)",
        "3002 unknown-section: [nonsense] (line 23)",
    ] {
        assert!(printed.contains(expected), "{expected:?} is missing in:\n{printed}");
    }
    assert!(printed.lines().count() >= 10);
    assert_eq!(output.status.code(), Some(3));
    let _ = fs::remove_file(path);
}

#[test]
fn the_example_settings_are_valid() {
    let path = format!("{}/examples/entry.ini", env!("CARGO_MANIFEST_DIR"));
    let output = run(env!("CARGO_BIN_EXE_celerythreadd"), &["--settings", &path, "--check"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn every_command_has_help_with_an_example() {
    for command in
        ["config", "pool", "minion", "maintenance", "job", "status", "timeline", "keys", "codes"]
    {
        let output = ctl(&[command, "--help"]);
        assert!(output.status.success(), "{command}");
        let help = text(&output.stdout) + &text(&output.stderr);
        assert!(help.contains("Example: celerythread"), "{command}: {help}");
    }
}

#[test]
fn exit_codes_follow_the_table() {
    assert_eq!(ctl(&["nonsense"]).status.code(), Some(2));
    assert_eq!(ctl(&["status"]).status.code(), Some(2), "no entry is named");
    // Nothing listens on port 1.
    assert_eq!(ctl(&["status", "--entry", "127.0.0.1:1"]).status.code(), Some(5));
    let missing = ctl(&["config", "check", "no-such-file", "no-such-file"]);
    assert_eq!(missing.status.code(), Some(3));
}

#[test]
fn both_example_configurations_pass_the_command() {
    for name in ["visita-clara", "hodnota-zasob"] {
        let folder = format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let (fleet, parameters) =
            (format!("{folder}/fleet.ini"), format!("{folder}/parameters.ini"));
        let output = ctl(&["config", "check", &fleet, &parameters]);
        assert!(output.status.success(), "{}", text(&output.stderr));
        assert!(text(&output.stdout).contains("3 zones, 5 services"));
    }
}

#[test]
fn keys_are_private_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;
    let folder = std::env::temp_dir().join(format!("celerythread-keys-{}", std::process::id()));
    let path = folder.display().to_string();
    assert!(ctl(&["keys", "authority", "test", &path]).status.success());
    assert!(ctl(&["keys", "issue", "e1", &path]).status.success());
    let mode = fs::metadata(folder.join("e1.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(ctl(&["keys", "issue", "e1", &path]).status.code(), Some(3));
    let _ = fs::remove_dir_all(folder);
}

#[test]
fn the_result_codes_page_matches_the_program() {
    let printed = text(&ctl(&["codes"]).stdout);
    let page = read_doc("RESULT-CODES.md");
    assert!(page.contains(printed.trim()), "update it with the output of: celerythread codes");
    for code in Code::VARIANTS {
        assert!(page.contains(&format!("| {} | {code} |", code.number())));
    }
}

/// docs/SETTINGS.md lists exactly the keys of the settings reader.
#[test]
fn the_settings_page_has_exactly_the_keys() {
    let page = read_doc("SETTINGS.md");
    let mut documented = Vec::new();
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        let mut cells = line.split('|').map(|cell| cell.trim().trim_matches('`'));
        cells.next();
        documented.push((cells.next().unwrap().to_owned(), cells.next().unwrap().to_owned()));
    }
    // The reader must know every documented key, whatever its value.
    let mut sections: Vec<String> = documented.iter().map(|(section, _)| section.clone()).collect();
    sections.dedup();
    let mut nonsense = String::new();
    for section in &sections {
        nonsense.push_str(&format!("[{section}]\n"));
        for (_, key) in documented.iter().filter(|(of, _)| of == section) {
            nonsense.push_str(&format!("{key} = ?\n"));
        }
    }
    let mistakes = celerythread_entry::Settings::read(&nonsense).unwrap_err();
    let unknown: Vec<String> = mistakes
        .iter()
        .filter(|m| matches!(m.code, Code::UnknownKey | Code::UnknownSection))
        .map(ToString::to_string)
        .collect();
    assert!(unknown.is_empty(), "documented, but not a key: {unknown:?}");
    let source = include_str!("../../crates/entry/src/settings.rs");
    for (section, key) in keys_in_source(source) {
        let known = documented.contains(&(section.clone(), key.clone()));
        assert!(known, "[{section}] {key} is not in docs/SETTINGS.md");
    }
}

/// Section and key of each setting that the source of `Settings::read` asks the reader for.
fn keys_in_source(source: &str) -> Vec<(String, String)> {
    let flat: String = source.split_whitespace().collect::<Vec<_>>().join(" ");
    let mut keys = Vec::new();
    for part in flat.split("reader").skip(1) {
        let Some(open) = part.find('(') else { continue };
        if open > 40 {
            continue;
        }
        let literals: Vec<&str> = part[open..].split('"').collect();
        let between = literals.get(2).map(|text| text.trim());
        if literals.len() > 3 && literals[0].trim() == "(" && between == Some(",") {
            keys.push((literals[1].to_owned(), literals[3].to_owned()));
        }
    }
    keys
}

#[test]
fn every_counter_is_explained() {
    let page = read_doc("operations/alarms.md");
    for counter in Counter::VARIANTS {
        assert!(page.contains(&format!("`{counter}`")), "{counter} is not explained");
    }
}

/// The program knows every command and flag in the command lines of the operators' pages.
#[test]
fn commands_in_the_docs_exist() {
    let root = format!("{}/docs/operations", env!("CARGO_MANIFEST_DIR"));
    let mut seen = 0;
    for page in fs::read_dir(root).unwrap() {
        let page = fs::read_to_string(page.unwrap().path()).unwrap();
        for line in page.lines().filter_map(|line| line.trim().strip_prefix("celerythread ")) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let help = ctl(&[words[0], "--help"]);
            let help = text(&help.stdout) + &text(&help.stderr);
            if let Some(second) = words.get(1).filter(|word| !word.starts_with('-')) {
                assert!(help.contains(second), "{line}: no {second}");
            }
            for flag in words.iter().filter(|word| word.starts_with("--")) {
                assert!(help.contains(flag), "{line}: no {flag}");
            }
            seen += 1;
        }
    }
    assert!(seen > 10);
}

/// docs/FAULTS.md is what `faults::render_page` prints.
#[test]
fn the_faults_page_is_current() {
    let printed = crate::faults::render_page();
    if std::env::var_os("PRINT_FAULTS").is_some() {
        let path = format!("{}/docs/FAULTS.md", env!("CARGO_MANIFEST_DIR"));
        fs::write(path, &printed).unwrap();
        return;
    }
    assert!(
        read_doc("FAULTS.md") == printed,
        "update it with: PRINT_FAULTS=1 cargo test the_faults_page"
    );
}

#[test]
fn every_test_named_on_the_faults_page_exists() {
    let mut sources = String::new();
    let root = env!("CARGO_MANIFEST_DIR");
    let mut folders = ["tests", "platform/tests"].map(|name| Path::new(root).join(name)).to_vec();
    folders.extend(
        fs::read_dir(format!("{root}/crates")).unwrap().map(|e| e.unwrap().path().join("tests")),
    );
    while let Some(folder) = folders.pop() {
        let Ok(list) = fs::read_dir(folder) else { continue };
        for entry in list {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|ending| ending == "rs") {
                sources.push_str(&fs::read_to_string(path).unwrap());
            }
        }
    }
    for name in crate::faults::proofs() {
        assert!(sources.contains(&format!("fn {name}(")), "{name} is not a test");
    }
}
