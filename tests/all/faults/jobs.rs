//! The promises of the scheduler daemon on the users' platform for accepted jobs, and for workspaces.

use super::{Guarantee, UNPROVED};

pub(super) const GUARANTEES: &[Guarantee] = &[
    Guarantee {
        name: "On the platform: an accepted job is run, and a job refused as not run never runs",
        faults: &[
            ("the same job submitted again", &["a_job_submitted_again_runs_once"]),
            ("bad requests", &["an_invalid_job_is_refused_with_the_matching_status"]),
            ("a cancelled job", &["a_cancelled_job_ends_and_stays_cancelled"]),
            (
                "its queue is sent to another service, also back and forth, with owners lost, while an entry has the former configuration",
                &[
                    "a_job_that_is_submitted_again_after_its_queue_was_moved_remains_one",
                    "jobs_of_both_services_are_known_after_a_queue_was_moved_back",
                    "jobs_of_a_moved_queue_are_known_after_their_owners_were_lost",
                    "entries_with_different_configurations_accept_one_job",
                    "a_cancellation_before_the_move_applies_to_a_job_submitted_after_it",
                ],
            ),
            (
                "a job that is stored after its cancellation: by a late write, a retry, unheard, before a takeover",
                &[
                    "a_job_that_is_stored_seconds_after_its_cancellation_does_not_run",
                    "a_job_that_its_entry_stores_after_its_cancellation_does_not_run",
                    "an_owner_that_reads_both_a_job_and_its_earlier_cancellation_does_not_run_it",
                    "a_new_owner_does_not_run_a_job_that_was_cancelled_before_it_was_stored",
                ],
            ),
            (
                "a job cancelled while its owner is short of processor time, or is replaced",
                &[
                    "jobs_cancelled_while_their_cell_changes_owner_are_neither_started_nor_left_running",
                    "an_owner_with_a_slow_load_starts_no_job_that_was_cancelled_meanwhile",
                    "an_owner_short_of_processor_time_starts_no_cancelled_job",
                ],
            ),
            (
                "the owner gets no changes of the jobs after a cancellation",
                &[
                    "an_owner_without_the_changes_of_the_jobs_starts_no_cancelled_job",
                    "an_owner_without_the_changes_of_the_jobs_stops_a_cancelled_job",
                    "every_fault_at_some_calls_with_a_held_feed_of_the_jobs",
                ],
            ),
            (
                "a queue removed, and its cell's owners or all entries lost",
                &[
                    "every_fault_at_some_calls_with_a_removed_queue",
                    "the_attempts_of_a_removed_queue_survive_the_loss_of_all_entries",
                ],
            ),
            ("a job that always fails", &["a_job_that_always_fails_is_shown_as_failed"]),
            ("the feed's history lost", &["a_lost_feed_history_is_recovered_by_rereading"]),
            ("the store is a hundred times slower", &["a_slow_store_takes_in_a_burst"]),
            (
                "the store is unavailable for a time",
                &[
                    "jobs_are_refused_during_a_store_outage",
                    "tasks_never_started_are_started_during_a_store_outage",
                ],
            ),
            (
                "minion rows of another writer",
                &[
                    "minion_entries_of_another_writer_are_ignored",
                    "decoders_do_not_panic_on_any_bytes",
                ],
            ),
            ("the store refuses the calls of one entry", UNPROVED),
        ],
        guards: &[
            (
                "a job is stored with the policies by which it was accepted",
                "engine::cell::policies",
                "a_successor_allows_the_attempts_of_a_removed_queue",
            ),
            (
                "a cell stores the policies that changed while jobs were active",
                "engine::cell::policies",
                "a_changed_policy_outlives_its_owner",
            ),
            (
                "nothing is started with an old view of the jobs' cancellations",
                "engine::recency",
                "nothing_is_started_with_an_old_view_of_the_jobs",
            ),
            (
                "a start whose job was cancelled while it waited is not sent",
                "scheduler::owner::starts::is_wanted",
                "starts_that_wait_behind_others_are_dropped_when_their_job_is_cancelled",
            ),
            (
                "a cancellation that finds no job is stored before it is answered",
                "scheduler::front::cancel",
                "a_job_that_is_stored_seconds_after_its_cancellation_does_not_run",
            ),
            (
                "it applies only to jobs that its caller may access",
                "engine::job::Cancellation",
                "an_early_cancellation_applies_to_jobs_that_its_caller_may_access",
            ),
            (
                "it is forgotten only once its row is certainly deleted",
                "engine::cell::cancellation",
                "an_early_cancellation_is_forgotten_once_its_row_is_deleted",
            ),
            (
                "its row is deleted after the retention if no job came",
                "scheduler::owner::cancellation",
                "rows_of_early_cancellations_are_deleted_after_the_retention",
            ),
            (
                "an entry stores a limited number of them",
                "engine::cancellation",
                "an_entry_keeps_a_limited_number_of_early_cancellations",
            ),
            (
                "its row is written on condition that there is no job",
                "scheduler::front::cancel",
                "a_job_that_is_stored_during_its_cancellation_is_checked_for_access",
            ),
            (
                "a stop does not wait behind starts",
                "scheduler::owner::supervisor::orders",
                "a_stop_does_not_wait_behind_unanswered_starts",
            ),
            (
                "no order of a stopped owner is sent",
                "scheduler::owner::supervisor::orders",
                "an_owner_that_was_replaced_sends_none_of_its_queued_orders",
            ),
            (
                "an owner whose feed of the jobs lags reads them",
                "scheduler::owner::reread",
                "an_owner_without_the_changes_of_the_jobs_stops_a_cancelled_job",
            ),
            (
                "a caller of a disconnected entry has time left to retry at another one",
                "engine::submission::Attempt::should_give_up",
                "a_caller_of_a_disconnected_entry_has_time_to_ask_another_one",
            ),
            (
                "nothing is written to an unavailable store",
                "scheduler::submit::write",
                "jobs_are_refused_during_a_store_outage",
            ),
            ("one answer ends an outage", "engine::outage", "one_answer_ends_an_outage"),
            (
                "an unreadable element does not hide the others",
                "adapter::lenient",
                "a_feed_continues_past_unreadable_rows",
            ),
            (
                "a row with unreadable bytes still counts as present",
                "adapter::store::RowBody::decode",
                "a_row_with_an_unreadable_value_is_returned",
            ),
            (
                "a minion id that is no valid header value is ignored",
                "adapter::minion::Entry::decode",
                "an_entry_with_an_id_unfit_for_a_header_is_rejected",
            ),
            (
                "the end of a late run requeues its task",
                "engine::cell::work::Phase",
                "the_end_of_a_late_run_lets_its_task_start_again",
            ),
            (
                "a confirmed stop stays confirmed when it is sent again",
                "engine::cell::plan::stop_run",
                "a_confirmed_stop_stays_confirmed_until_the_next_look",
            ),
            (
                "the remaining time of a caller that retries is used",
                "engine::submission::usable_time",
                "a_caller_with_little_time_is_served",
            ),
            (
                "writes to a slow store are waited for",
                "engine::submission::Attempt::should_give_up",
                "a_slow_store_is_waited_for",
            ),
            (
                "the row of an overdue write is read before the write is sent again",
                "scheduler::confirm::commit",
                "a_slow_store_takes_in_a_burst",
            ),
            (
                "a write counts as lost only in relation to the latency of a read",
                "engine::timeout::is_write_lost",
                "a_write_is_lost_only_by_the_measure_of_a_read",
            ),
            (
                "steps wait for the steps before them",
                "engine::cell::work::Job::is_step_ready",
                "a_step_waits_for_all_tasks_of_the_steps_before_it",
            ),
            (
                "a failure that is reported again counts once",
                "engine::cell::report::process_end",
                "a_failure_that_is_listed_again_counts_once",
            ),
            (
                "a minion that fails every run is quarantined",
                "engine::cell::report::update_quarantine",
                "a_minion_that_fails_two_jobs_in_a_row_is_quarantined",
            ),
            (
                "leases on a restarted minion count as the longest until it refuses calls of before",
                "engine::lease::Grants::record_answer",
                "leases_are_uncertain_until_a_call_with_a_higher_token_is_answered",
            ),
            (
                "a successor reckons with leases by calls to a former incarnation",
                "engine::lease::Grants::record_answer",
                "a_successor_waits_for_leases_by_calls_to_the_former_incarnation",
            ),
            (
                "a successor waits longer for a recently restarted minion that never answers",
                "engine::cell::takeover::have_former_leases_expired",
                "a_successor_waits_for_a_restarted_minion_that_never_answers_it",
            ),
            (
                "failures that occur elsewhere, too, don't quarantine a minion",
                "engine::cell::quarantine::fails_elsewhere",
                "jobs_that_fail_everywhere_keep_no_minion_from_others",
            ),
            (
                "failures long ago don't quarantine a minion",
                "engine::cell::quarantine::Record::remove_old",
                "failures_count_for_a_limited_time",
            ),
            (
                "half of the minions get tasks whatever fails",
                "engine::cell::quarantine::can_do_without",
                "half_of_the_minions_get_tasks_whatever_fails",
            ),
            (
                "a minion that fails everything gets no tasks",
                "engine::cell::quarantine::judge",
                "a_minion_that_fails_everything_is_quarantined",
            ),
            (
                "a stalled run is stopped",
                "engine::cell::plan::stop_stalled",
                "a_stalled_run_is_stopped_and_its_minion_quarantined",
            ),
            (
                "a task without free capacity reserves a minion",
                "engine::cell::plan::reserve_minion",
                "a_lasting_task_gets_room_although_smaller_tasks_wait_for_it",
            ),
            (
                "a long-running task may start on a minion that is being emptied and is not empty",
                "engine::cell::place::find_fallback",
                "a_lasting_task_returns_to_a_minion_that_is_being_emptied_if_nothing_else_has_room",
            ),
            (
                "a gang with a missing member is stopped",
                "engine::cell::plan::stop_broken_gangs",
                "the_rest_of_a_gang_is_stopped_when_one_member_is_refused",
            ),
            (
                "no start without a required ticket",
                "engine::cell::advice",
                "nothing_is_started_without_a_ticket",
            ),
        ],
    },
    Guarantee {
        name: "On the platform: keys and limits of workspaces are enforced",
        faults: &[
            (
                "key missing, unknown, malformed, duplicated",
                &["a_call_without_a_valid_key_is_refused"],
            ),
            ("another workspace's job", &["a_job_is_accessible_only_to_its_workspace"]),
            (
                "keys withdrawn; entry restarted",
                &["a_withdrawn_key_is_refused_everywhere_and_its_jobs_go_on"],
            ),
            (
                "store refuses the calls of an entry; entry disconnected from all others",
                &[
                    "an_entry_cut_off_from_the_store_learns_of_keys_from_its_peers",
                    "an_isolated_entry_refuses_keys_only_with_strict_keys",
                ],
            ),
            (
                "owners killed, paused, partitioned, replaced while alive; writes lost, late, refused; limits lowered",
                &["a_limit_holds_under_random_faults"],
            ),
            ("owner killed", &["a_limit_holds_over_services_and_killed_owners"]),
            ("owner paused and resumed", &["a_limit_holds_when_a_paused_owner_resumes"]),
            ("answers to share changes lost", &["a_limit_holds_while_the_store_loses_answers"]),
            (
                "limit lowered",
                &["a_lowered_limit_stops_nothing_and_starts_nothing_until_there_is_room"],
            ),
            ("a first limit for a workspace, with an owner disconnected", UNPROVED),
        ],
        guards: &[
            (
                "shares are written on condition of the split's version",
                "engine::quota::account::Account::next_change",
                "the_model_detects_a_broken_limit",
            ),
            (
                "a new owner counts the former owner's whole share until all minions have reported",
                "engine::quota::account::Account::in_use",
                "a_successor_counts_its_predecessors_share_until_all_minions_have_reported",
            ),
            (
                "a share that may have been lowered counts as lowered",
                "engine::quota::account::Account::confirmed_size",
                "a_share_that_may_have_been_lowered_counts_as_lowered",
            ),
            (
                "nothing starts while the sum of the shares exceeds a lowered limit",
                "engine::quota::account::Account::may_start",
                "nothing_starts_while_shares_exceed_a_lowered_limit",
            ),
            (
                "nothing starts before the split is written with the lowered limit",
                "engine::quota::account::Account::is_split_current",
                "nothing_starts_before_the_split_is_written_with_the_lower_limit",
            ),
            (
                "an unreadable part of a configuration grants no access",
                "adapter::configuration::Configuration::decode",
                "unreadable_elements_are_skipped_and_grant_no_access",
            ),
        ],
    },
];
