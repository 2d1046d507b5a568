//! Expansion of `${name}` in a template.

use crate::code::Code;
use crate::ini::{Mistake, Reader};
use std::collections::{BTreeMap, BTreeSet};

/// The only section of the parameter file.
const PARAMETERS_SECTION: &str = "parameters";

/// Replaces the parameters in the template by their values.
///
/// Line numbers stay those of the template, because a value never contains a line break.
pub fn expand(template: &str, parameters: &str) -> (String, Vec<Mistake>) {
    let mut reader = Reader::new(parameters);
    let mut values = BTreeMap::new();
    for name in parameter_names(template) {
        if let Some(value) = reader.text(PARAMETERS_SECTION, &name) {
            values.insert(name, value);
        }
    }
    let mut mistakes = reader.finish(|section| section == PARAMETERS_SECTION);
    for mistake in &mut mistakes {
        mistake.text = format!("in the parameters: {}", mistake.text);
    }
    let mut text = String::with_capacity(template.len());
    for (index, line) in template.lines().enumerate() {
        text.push_str(&expand_line(line, index + 1, &values, &mut mistakes));
        text.push('\n');
    }
    (text, mistakes)
}

fn parameter_names(template: &str) -> BTreeSet<String> {
    let starts = template.split("${").skip(1);
    starts.filter_map(|rest| rest.split_once('}')).map(|(name, _)| name.trim().into()).collect()
}

fn expand_line(
    line: &str,
    number: usize,
    values: &BTreeMap<String, String>,
    mistakes: &mut Vec<Mistake>,
) -> String {
    let mut parts = line.split("${");
    let mut expanded = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let Some((name, rest)) = part.split_once('}') else {
            mistakes.push(missing_parameter(part, number, "${ without a closing brace"));
            continue;
        };
        match values.get(name.trim()) {
            Some(value) => expanded.push_str(value),
            None => {
                mistakes.push(missing_parameter(name.trim(), number, "the parameter has no value"));
                // Most parameters are numbers, so a digit avoids follow-up mistakes.
                expanded.push('1');
            }
        }
        expanded.push_str(rest);
    }
    expanded
}

fn missing_parameter(name: &str, line: usize, text: &str) -> Mistake {
    let (section, key, text) = (PARAMETERS_SECTION.into(), name.into(), text.into());
    Mistake { code: Code::MissingParameter, section, key, line, text }
}
