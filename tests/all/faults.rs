//! The list of proofs, from which `docs/FAULTS.md` is printed.

mod platform;

use std::collections::BTreeSet;
use std::fmt::Write;

/// One promise of the brief.
struct Promise {
    name: &'static str,
    /// Fault, and the tests that prove the promise under it; none where it is not proved.
    cells: &'static [(&'static str, &'static [&'static str])],
    /// The guard, where it stands, and a test that fails without it.
    guards: &'static [(&'static str, &'static str, &'static str)],
}

const NOT: &[&str] = &[];

const PROMISES: &[Promise] = &[
    Promise {
        name: "Each service's availability budget holds, through failures and waves alike",
        cells: &[
            ("failure within a wave", &["a_failure_within_a_wave_pauses_it"]),
            ("any order of failures", &["no_order_of_failures_makes_a_wave_break_the_floor"]),
            ("operator race", &["racing_waves_are_refused", "racing_moves_never_break_the_floor"]),
            ("driver killed", &["a_new_lease_holder_continues_the_wave"]),
            ("driver paused past its lease", &["a_paused_entry_that_wakes_up_does_no_harm"]),
            ("platform outage", &["no_disruption_begins_during_an_outage"]),
            ("a whole availability zone lost within a wave", NOT),
        ],
        guards: &[
            (
                "the disruption's row is rewritten in the transaction that takes an instance out",
                "drive::fleet::exchange",
                "racing_moves_never_break_the_floor",
            ),
            (
                "what is leaving without an errand counts as failed",
                "policy::availability::Standing::count",
                "failures_use_the_budget_and_leaving_minions_never_return",
            ),
        ],
    },
    Promise {
        name: "At any moment, an instance belongs to exactly one pool",
        cells: &[
            (
                "fail before effect, lost answer, hang, slow, late effect, pause, kill: at every call",
                &["every_fault_at_every_call_of_a_move"],
            ),
            ("under load", &["a_move_under_load_loses_and_misroutes_no_request"]),
            (
                "former owner paused or cut off",
                &["a_move_waits_for_a_former_owner_that_may_be_paused"],
            ),
            ("work in flight", &["a_drain_waits_for_work_in_flight"]),
            ("operator race", &["racing_moves_never_break_the_floor"]),
            ("pairs of faults", NOT),
        ],
        guards: &[
            (
                "a drain is complete only when no former owner is left",
                "policy::movement::is_idle",
                "a_drain_is_complete_only_when_nobody_can_have_work_on_it",
            ),
            (
                "the owner confirms the present epoch, not an earlier one",
                "policy::movement::is_idle",
                "a_drain_is_complete_only_when_nobody_can_have_work_on_it",
            ),
            (
                "the pool's name changes only after the boot count has grown",
                "policy::movement::step",
                "the_pool_changes_only_after_the_reboot",
            ),
        ],
    },
    Promise {
        name: "A caller receives the whole answer to its own request",
        cells: &[
            (
                "answer cut",
                &[
                    "a_truncated_answer_is_an_error",
                    "a_truncated_answer_is_never_passed_on_as_complete",
                    "a_long_answer_that_breaks_off_breaks_the_callers_connection",
                    "a_cut_body_is_an_error",
                ],
            ),
            ("answer late", &["a_late_answer_never_reaches_another_caller"]),
            ("interim answer", &["an_interim_answer_is_skipped"]),
            ("requests pipelined", &["pipelined_requests_are_all_answered"]),
            ("connections forgotten", &["silently_dropped_connections_lose_no_request"]),
            ("conflicting lengths", &["conflicting_lengths_of_an_answer_are_an_error"]),
            ("answer of a wrong length within its framing", NOT),
        ],
        guards: &[
            (
                "a body that ends before its length is an error",
                "http::body::Reader::more",
                "a_truncated_answer_is_an_error",
            ),
            (
                "interim answers are skipped",
                "http::client::Connection::read_head",
                "an_interim_answer_is_skipped",
            ),
            (
                "a short answer ends the caller's connection",
                "http::server::write",
                "a_short_answer_ends_the_connection",
            ),
        ],
    },
    Promise {
        name: "When a request is refused as not run, it was not run",
        cells: &[
            ("by phase and idempotence", &["the_table_by_phase_and_idempotence"]),
            ("connection refused", &["a_refused_connection_is_not_run"]),
            ("overload", &["overload_is_refused_at_once_with_retry_after"]),
            ("platform outage", &["an_outage_refuses_keyed_requests_and_serves_the_others"]),
            ("silence", &["a_silent_minion_leaves_the_outcome_unknown_at_once"]),
            ("bad requests", &["invalid_request_headers_get_their_result_codes"]),
            ("half a request", &["half_a_request_is_never_handled"]),
        ],
        guards: &[
            (
                "not run is said only before the first byte",
                "policy::phase::judge",
                "the_table_by_phase_and_idempotence",
            ),
            (
                "a request's body is received whole before it is handled",
                "http::server::read_request",
                "half_a_request_is_never_handled",
            ),
        ],
    },
    Promise {
        name: "A non-idempotent request runs at most once",
        cells: &[
            (
                "fail before effect, lost answer, hang, slow, late effect, pause, kill: at every commit",
                &["every_fault_at_every_call_of_a_claim"],
            ),
            ("repeat at another entry", &["a_repeat_at_another_entry_gets_the_stored_answer"]),
            ("entry dies while it runs", &["a_dead_entrys_claim_is_never_run_again"]),
            ("unkeyed, whatever the minion does", &["an_unkeyed_request_is_sent_once"]),
            ("connections forgotten", &["silently_dropped_connections_lose_no_request"]),
            ("an entry killed", &["a_killed_entry_is_replaced"]),
            ("jobs: every fault at every call", &["every_fault_at_every_call_of_a_job"]),
            (
                "jobs: worker lost or restarted",
                &[
                    "a_lost_worker_leaves_a_non_idempotent_job_unknown",
                    "a_restarted_worker_never_runs_a_non_idempotent_job_twice",
                ],
            ),
            ("pairs of faults", NOT),
        ],
        guards: &[
            (
                "a dead entry's claim stays claimed",
                "policy::claim::decide",
                "a_dead_entrys_claim_is_never_run_again",
            ),
            (
                "after a lost answer the claims are read back",
                "entry::claims::read_back",
                "every_fault_at_every_call_of_a_claim",
            ),
            (
                "an order to a worker is for one boot of it",
                "entry::drive::jobs::settle::order_again",
                "a_restarted_worker_never_runs_a_non_idempotent_job_twice",
            ),
            (
                "non-idempotent requests go onto new connections only",
                "entry::dispatch::attempt",
                "silently_dropped_connections_lose_no_request",
            ),
        ],
    },
    Promise {
        name: "A leaving upstream receives no new work after a few seconds",
        cells: &[
            ("told by the list", &["a_leaving_minion_gets_no_new_work_within_two_seconds"]),
            ("drained by a move or wave", &["a_move_under_load_loses_and_misroutes_no_request"]),
            ("its owner cut off from platform and peers", NOT),
        ],
        guards: &[(
            "a minion that is not active has no free slots",
            "policy::slots::Minion::free",
            "a_draining_minion_gets_nothing_and_is_idle_once_its_grants_end",
        )],
    },
    Promise {
        name: "Every planned stop is graceful",
        cells: &[
            ("entry stopped under load", &["a_stop_under_load_cuts_off_nothing"]),
            ("SIGTERM under load", &["sigterm_under_load_cuts_off_nothing"]),
            ("minion drained under work", &["a_drain_waits_for_work_in_flight"]),
            ("stop during a platform outage", NOT),
        ],
        guards: &[
            (
                "answers say that the connection closes before it does",
                "http::server::serve_one",
                "a_closing_server_says_so_on_its_answers",
            ),
            (
                "a minion is idle only when no grant is left",
                "policy::slots::Ledger::is_idle",
                "a_drain_waits_for_work_in_flight",
            ),
        ],
    },
    Promise {
        name: "An accepted configuration is in force everywhere within seconds and never reverts",
        cells: &[
            ("no fault", &["an_accepted_configuration_is_in_force_everywhere"]),
            ("operator race", &["only_one_of_several_concurrent_changes_is_accepted"]),
            ("lost answer", &["a_repeated_change_is_applied_once"]),
            (
                "fail before effect, lost answer, hang, slow, late effect, pause: at commit, read, changes",
                &["every_fault_at_every_call_of_an_apply"],
            ),
            (
                "zone cut off from the platform",
                &["an_entry_cut_off_from_the_platform_gets_the_configuration_from_its_peers"],
            ),
            ("new entry in an outage", &["an_entry_that_starts_in_an_outage_is_not_ready"]),
            ("rows late, doubled, in any order", &["rows_in_any_order_end_alike"]),
            ("entry cut off from platform and peers", NOT),
        ],
        guards: &[
            (
                "a row with a revision not above the held one is ignored",
                "policy::view::View::apply",
                "rows_in_any_order_end_alike",
            ),
            (
                "a change's id is written against there being none",
                "entry::operator::config::transaction",
                "a_repeated_change_is_applied_once",
            ),
        ],
    },
    Promise {
        name: "Urgent before patient, patient never starved, slots never exceeded",
        cells: &[
            ("saturation", &["urgent_goes_first_and_patient_still_moves"]),
            ("all entries together", &["no_minion_has_more_than_its_slots_from_all_entries"]),
            ("any order of steps", &["grants_never_exceed_the_slots"]),
            ("borrower dies", &["slots_lent_to_a_dead_entry_are_reclaimed"]),
            ("borrower gives up", &["a_slot_granted_to_an_abandoned_request_is_released"]),
            ("fast failing minion", &["a_fast_failing_minion_gets_no_more_than_its_share"]),
            ("everything fails", &["ejection_never_empties_a_service"]),
            ("jobs", &["urgent_jobs_preempt_patient_jobs_which_finish_later"]),
            ("owner cut off from its peers while they take its minions over", NOT),
        ],
        guards: &[
            (
                "a failed dispatch occupies its slot for as long as a success takes",
                "policy::health::Health::penalty",
                "a_fast_failure_occupies_its_slot_like_a_success",
            ),
            (
                "one of several minions is never the last to be set aside",
                "policy::slots::Ledger::compare",
                "ejection_never_empties_a_service",
            ),
            (
                "a grant whose exchange broke is taken back once its borrower's beats do not list it",
                "entry::peers::Peers::note_broken",
                "a_slot_granted_to_an_abandoned_request_is_released",
            ),
            (
                "slots lent to an entry that left the registry are taken back",
                "entry::peers::settle_unregistered",
                "slots_lent_to_a_dead_entry_are_reclaimed",
            ),
        ],
    },
];

/// What the brief asks and nothing here proves, or not in full.
const NOT_PROVED: &[&str] = &[
    "Pairs of faults: the matrices strike one call at a time.",
    "On the platform there is no matrix of every fault at every call; days of trouble over real \
     processes take its place, outside of CI.  The guards listed there were each switched off in \
     a scratch copy, or the code from before them was, and the test named beside each failed; but \
     for what idles before its turn, what was never started (the matrix of the engine stays green \
     without it: its draws don't reach that case), and one answer that ends an outage (not tried).",
    "Of the guards for fleets of hundreds of machines only that of turns which are due was switched off (its test failed); dials that outlive their question, owners that are waited for beside the moves and machines whose rows are being dropped have no test of their own.",
    "Guards were switched off one at a time in a scratch copy for only eight of this page's: six \
     tests failed, one of them by its time limit, and two stayed green.  The fast failing minion's \
     is held by suspicion too; its guard now has a test of its own, not tried with the guard off.  \
     The move over real sockets is held up by the slots kept free for a former owner too; the \
     policy's own test is named instead, not tried with the guard off either.  The other guards \
     were not switched off.",
    "Slots: an owner that is cut off from its peers and from the platform, and still reaches its \
     minions, goes on handing out; when its peers reach the platform they take its minions over \
     after `takeover_after`, and until the cut ends a minion can get up to twice its slots. \
     Pools are safe all the same: a move waits for the former owner.",
    "Leaving upstreams: an owner cut off from the platform and from every peer learns of a \
     leaving minion only from the minion's own signs (503, refused connections).",
    "A minion that answers 503 is taken at its word only for idempotent requests; whether it ran \
     the request is not known, so nothing is said to be not run.",
    "In a platform outage minions of an entry that dies stay without an owner until the platform \
     answers again.",
    "The bodies of long kept answers stay in the object store when their claims are cleared.",
    "A request given up on at its deadline may still run on its minion beyond its slot.",
    "Whether the platform's own list, reboot and worker calls keep the contracts written at the \
     traits; the stand-in keeps them.",
    "The figures at the letter's size: docs/CAPACITY.md works them out from slopes.",
];

/// Those of the product's own interface, then those on the users' platform.
fn promises() -> impl Iterator<Item = &'static Promise> {
    PROMISES.iter().chain(platform::PROMISES)
}

/// The tests that the list names.
pub(crate) fn proofs() -> BTreeSet<&'static str> {
    let cells = promises().flat_map(|p| p.cells.iter().flat_map(|(_, tests)| *tests)).copied();
    let guards = promises().flat_map(|p| p.guards.iter().map(|(_, _, test)| *test));
    cells.chain(guards).collect()
}

/// The text of `docs/FAULTS.md`.
pub(crate) fn render_page() -> String {
    let mut text = String::from(
        "# Faults\n\nPrinted by `PRINT_FAULTS=1 cargo test --test all the_faults_page`; CI checks \
         that it is current and that every test it names exists.\n",
    );
    for promise in promises() {
        let _ = write!(text, "\n## {}\n\n| fault | proved by |\n|---|---|\n", promise.name);
        for (fault, tests) in promise.cells {
            let proof = if tests.is_empty() {
                "**not proved**".to_owned()
            } else {
                tests.iter().map(|test| format!("`{test}`")).collect::<Vec<_>>().join(", ")
            };
            let _ = writeln!(text, "| {fault} | {proof} |");
        }
        let _ = write!(text, "\n| guard | where | fails without it |\n|---|---|---|\n");
        for (guard, place, test) in promise.guards {
            let _ = writeln!(text, "| {guard} | `{place}` | `{test}` |");
        }
    }
    text.push_str("\n## Not proved, or only in part\n\n");
    for line in NOT_PROVED {
        let _ = writeln!(text, "- {line}");
    }
    text
}
