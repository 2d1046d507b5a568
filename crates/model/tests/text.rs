//! Ids, units and codes as text.

use assert_matches::assert_matches;
use celerythread_model::code::Code;
use celerythread_model::id;
use celerythread_model::request::{Idempotence, Outcome};
use celerythread_model::unit::{Bytes, Span};
use proptest::prelude::*;
use std::collections::BTreeSet;
use strum::VariantArray;

#[test]
fn ids_are_safe_in_a_path() {
    assert!("med-a.1_x".parse::<id::Zone>().is_ok());
    for wrong in ["", "-a", "A", "a/b", "a b", "../x", &"a".repeat(65)] {
        assert!(wrong.parse::<id::Zone>().is_err(), "{wrong:?}");
    }
}

#[test]
fn an_id_is_checked_when_it_is_deserialized() {
    assert!(serde_json::from_str::<id::Job>("\"../../etc\"").is_err());
}

#[test]
fn quantities_are_parsed_with_units() {
    assert_eq!("8MiB".parse(), Ok(Bytes::mebi(8)));
    assert_eq!("250ms".parse(), Ok(Span::millis(250)));
    assert_eq!("2h".parse(), Ok(Span::secs(7200)));
    for wrong in ["", "5", "5 s", "-1s", "1d", "99999999999999999999ms"] {
        assert!(wrong.parse::<Span>().is_err(), "{wrong:?}");
    }
    for wrong in ["", "8MB", "-1", "99999999999GiB"] {
        assert!(wrong.parse::<Bytes>().is_err(), "{wrong:?}");
    }
}

proptest! {
    #[test]
    fn quantities_round_trip(n in 0u64..1 << 50) {
        prop_assert_eq!(Bytes(n).to_string().parse(), Ok(Bytes(n)));
        prop_assert_eq!(Span::millis(n).to_string().parse(), Ok(Span::millis(n)));
    }
}

#[test]
fn numbers_are_unique_and_only_caller_codes_have_an_outcome() {
    let numbers: BTreeSet<u16> = Code::VARIANTS.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::VARIANTS.len());
    for code in Code::VARIANTS {
        let is_callers = code.number() / 1000 == 1;
        assert_eq!(code.meaning().outcome.is_some(), is_callers, "{code}");
    }
}

#[test]
fn methods_are_idempotent_as_in_rfc_9110() {
    assert_eq!(Idempotence::of_method("PUT"), Idempotence::Idempotent);
    assert_eq!(Idempotence::of_method("POST"), Idempotence::NonIdempotent);
    assert_eq!(Idempotence::of_method("PATCH"), Idempotence::NonIdempotent);
    assert_matches!("not-run".parse(), Ok(Outcome::NotRun));
}
