//! Expansion and validation of templates with parameters.

use celerythread_model::code::Code;
use celerythread_model::config::Document;
use celerythread_model::ini::Reader;
use proptest::prelude::*;

const TEMPLATE: &str = "\
[workspace]
name = ${name}
[zone a]
region = north
[service intake]
minions = ${minions}
floor = 7
[team field]
requests = 10
[window night]
opens = 22:00
closes = 05:30
services = intake
";

#[test]
fn template_parameters_are_expanded() {
    let document = Document::read(TEMPLATE, "[parameters]\nname = x\nminions = 9\n").unwrap();
    let service = document.services.values().next().unwrap();
    assert_eq!((service.minions, service.floor, service.slots.0), (9, 7, 8));
    assert_eq!((document.windows[0].opens, document.windows[0].closes), (1320, 330));
}

/// Guards against a reader that stops at the first mistake: an operator would have to correct and
/// resend a file once for each of its mistakes.
#[test]
fn all_mistakes_are_reported_at_once() {
    let template = "\
[workspace]
name = ${name}
rollout_weight = 7
reboot = soon
colour = blue
[service intake]
floor = 12
minions = 9
slots = 0
connections = 5
deadline = 5
[service UPPER]
minions = 1
floor = 1
[window night]
opens = 25:00
services = other
[nonsense]
key = 1
";
    let mistakes = Document::read(template, "[parameters]\nunused = 1\n").unwrap_err();
    let found: Vec<(Code, usize)> = mistakes.iter().map(|m| (m.code, m.line)).collect();
    for expected in [
        (Code::MissingParameter, 2),
        (Code::OutOfRange, 3),
        (Code::BadValue, 4),
        (Code::UnknownKey, 5),
        (Code::Contradiction, 7),
        (Code::OutOfRange, 9),
        (Code::BadValue, 11),
        (Code::BadValue, 12),
        (Code::BadValue, 16),
        (Code::MissingKey, 0),
        (Code::Contradiction, 17),
        (Code::UnknownSection, 18),
        // In the parameter file.
        (Code::UnknownKey, 2),
    ] {
        assert!(found.contains(&expected), "{expected:?} is not in {mistakes:#?}");
    }
}

#[test]
fn a_window_may_span_midnight() {
    let document = Document::read(TEMPLATE, "[parameters]\nname = x\nminions = 9\n").unwrap();
    let window = &document.windows[0];
    for (minute, open) in [(1319, false), (1320, true), (0, true), (329, true), (330, false)] {
        assert_eq!(window.is_open(minute), open, "{minute}");
    }
}

#[test]
fn a_duplicate_key_is_a_mistake() {
    let mistakes = Document::read("[zone a]\nregion = x\nregion = y\n", "").unwrap_err();
    assert_eq!(mistakes[0].code, Code::DuplicateKey);
    assert_eq!(mistakes[0].line, 3);
}

#[test]
fn example_deployments_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for (name, sizes) in [("visita-clara", [9, 9, 11, 12, 8]), ("hodnota-zasob", [9, 9, 11, 12, 8])]
    {
        let read = |file: &str| std::fs::read_to_string(format!("{root}/{name}/{file}")).unwrap();
        let document = Document::read(&read("fleet.ini"), &read("parameters.ini")).unwrap();
        assert_eq!(document.zones.len(), 3);
        let mut found: Vec<u32> = document.services.values().map(|s| s.minions).collect();
        let mut sizes = sizes.to_vec();
        found.sort_unstable();
        sizes.sort_unstable();
        assert_eq!(found, sizes);
        for service in document.services.values() {
            assert_eq!((service.slots.0, service.connections), (8, 64));
        }
    }
}

proptest! {
    /// The reader returns a result for any text and does not panic.
    #[test]
    fn any_text_is_read_without_panic(template in "\\PC{0,300}", parameters in "\\PC{0,100}") {
        let _ = Document::read(&template, &parameters);
    }

    #[test]
    fn ini_like_lines_are_read_without_panic(
        lines in prop::collection::vec("(\\[(service|team|window|zone) [a-z]{0,3}\\]|[a-z]{1,8} ?= ?[0-9a-z:,${}]{0,8})", 0..30)
    ) {
        let text = lines.join("\n");
        let _ = Document::read(&text, "");
        let _ = Reader::new(&text).finish(|_| false);
    }
}
