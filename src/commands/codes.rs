//! `celerythread codes`: prints the table of result codes.

use super::parsed;
use crate::Error;
use crate::output;
use celerythread_model::code::Code;
use std::ffi::OsString;
use std::fmt::Write;
use strum::VariantArray;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    xflags::xflags! {
        /// Prints the result codes as a Markdown table.
        ///
        /// Example: celerythread codes
        cmd celerythread-codes {}
    }
}

pub(crate) fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    parsed(flags::CelerythreadCodes::from_vec(arguments))?;
    output::text(&table());
    Ok(())
}

/// Renders the table of `docs/RESULT-CODES.md`.
pub(crate) fn table() -> String {
    let mut text =
        String::from("| number | name | HTTP | outcome | exit |\n|---|---|---|---|---|\n");
    for code in Code::VARIANTS {
        let meaning = code.meaning();
        let outcome = meaning.outcome.map_or_else(|| "-".into(), |outcome| outcome.to_string());
        let _ = writeln!(
            text,
            "| {} | {code} | {} | {outcome} | {} |",
            meaning.number,
            meaning.status,
            code.exit_code()
        );
    }
    text
}
