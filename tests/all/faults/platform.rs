//! The promises of the scheduler daemon on the users' platform.

use super::{Guarantee, UNPROVED};

pub(super) const GUARANTEES: &[Guarantee] = &[
    Guarantee {
        name: "On the platform: no task runs twice, and none after it is done",
        faults: &[
            ("owner killed", &["a_killed_owner_is_replaced_and_nothing_runs_twice"]),
            (
                "owner paused until it is replaced",
                &["a_paused_owner_that_wakes_runs_nothing_twice"],
            ),
            ("owner stopped", &["a_stopping_owner_hands_over_and_ends"]),
            ("all entries killed", &["accepted_jobs_survive_the_loss_of_all_entries"]),
            ("starts answered late or never", &["unanswered_starts_run_nothing_twice"]),
            ("minion disconnected", &["a_silent_worker_keeps_its_tasks_until_their_lease_expires"]),
            ("minion crashed", &["tasks_of_a_crashed_worker_run_elsewhere"]),
            (
                "store refuses calls, does not answer, loses answers",
                &[
                    "jobs_refused_while_the_store_refuses_never_run",
                    "a_silent_store_leaves_no_job_half_accepted",
                    "lost_answers_of_the_store_are_not_taken_for_refusals",
                ],
            ),
            (
                "call lost, answer lost, late; owner killed, paused, partitioned with one minion; minion \
                 crashed or disconnected; table unavailable: at every call of start, stop, end, renewal",
                &["every_fault_at_every_call"],
            ),
            ("two to four of these at once", &["several_faults"]),
            (
                "crashed minions restart under the same id: at every call, and two to four faults at once",
                &[
                    "every_fault_at_every_call_with_minions_that_keep_their_ids",
                    "several_faults_with_minions_that_keep_their_ids",
                    "a_worker_that_starts_again_under_its_id_runs_nothing_twice",
                ],
            ),
            (
                "a minion restarts under the same id, receives a start and is disconnected within one poll",
                UNPROVED,
            ),
            ("a start is carried out late on the next incarnation of its minion", UNPROVED),
            ("every fault at every call of accept, cancel, move, maintenance", UNPROVED),
        ],
        guards: &[
            (
                "ends are tracked and acknowledged per incarnation of a minion",
                "engine::cell::restart",
                "ends_of_a_restarted_minion_are_taken_in",
            ),
            (
                "ends are acknowledged only on a connection on which their incarnation has answered",
                "adapter::minion::session",
                "ends_are_acknowledged_only_where_their_incarnation_has_answered",
            ),
            (
                "an owner that may have a successor starts only tasks that were never started",
                "engine::cell::permit",
                "tasks_that_a_successor_may_run_are_not_started_during_a_store_outage",
            ),
            (
                "an owner that may have a successor starts nothing on a minion that restarted since",
                "engine::cell::permit",
                "nothing_is_started_on_a_minion_that_restarted_after_a_takeover_was_possible",
            ),
            (
                "a takeover that was completed after that time makes no inherited task a never started one",
                "engine::cell::permit",
                "inherited_tasks_do_not_count_as_never_started_if_the_takeover_was_completed_too_late",
            ),
            (
                "an unreadable answer does not count as one that lists no runs",
                "adapter::minion::Client::send",
                "an_unreadable_answer_is_not_an_empty_report",
            ),
            (
                "an owner that may not extend leases starts nothing",
                "engine::cell::Cell::plan",
                "without_leave_to_start_nothing_is_started",
            ),
            (
                "a version of the store bounds what a silent owner knew only if read late enough",
                "engine::ownership::former",
                "an_answer_produced_before_the_moment_does_not_count",
            ),
            (
                "a version read before a renewal of the owner bounds nothing",
                "engine::ownership::former::Watch::record_renewal",
                "a_renewal_in_a_gap_between_reads_voids_the_version",
            ),
            (
                "jobs that an owner before the former one knew are inherited",
                "engine::ownership::former::is_bounding",
                "a_version_read_before_the_holder_took_the_cell_does_not_count",
            ),
            (
                "a wait covers the leases of the owners before the former one",
                "engine::ownership::former::renewed_by_ms",
                "the_wait_covers_the_owners_before_the_former_one",
            ),
            (
                "a wait covers silent owners before one that stopped during its takeover",
                "engine::ownership::former::Predecessors",
                "the_wait_covers_silent_owners_before_owners_that_stopped",
            ),
            (
                "a renewal that is committed late doesn't shorten the wait for leases",
                "engine::ownership::former::Watch::record_renewal",
                "a_renewal_committed_late_does_not_shorten_the_wait",
            ),
            (
                "a store's clock that stepped bounds nothing",
                "engine::store_clock::StoreClock::record",
                "no_bound_is_given_after_the_clock_stepped_forward",
            ),
            (
                "concurrent readings of a steady clock don't contradict each other",
                "engine::store_clock::at_least",
                "concurrent_calls_within_a_millisecond_do_not_contradict_each_other",
            ),
            (
                "inherited tasks wait for every minion that may run them",
                "engine::cell::Cell::is_takeover_complete",
                "inherited_tasks_wait_until_every_minion_has_answered",
            ),
            (
                "a minion whose machine runs another one is not waited for",
                "engine::termination::has_terminated",
                "a_minion_whose_machine_has_another_one_is_over",
            ),
            (
                "a silent minion's runs count until their lease must have expired",
                "engine::cell::plan::expire_leases",
                "runs_of_a_silent_minion_are_requeued_after_their_lease_has_expired",
            ),
            (
                "an unanswered start is stopped with certainty before its task starts elsewhere",
                "engine::cell::Cell::process_start_result",
                "an_unanswered_start_is_stopped_before_the_task_starts_elsewhere",
            ),
            (
                "a cancellation that arrives before its job is kept for it",
                "engine::cell::cancellation",
                "a_job_whose_cancellation_arrived_first_is_not_started",
            ),
            (
                "a job that was removed after its end is not added again",
                "engine::cell::retention",
                "a_removed_job_whose_rows_are_read_again_is_not_run_again",
            ),
            (
                "a run end is acknowledged only after it is persisted",
                "engine::cell::persist",
                "an_end_is_acknowledged_only_after_it_is_stored",
            ),
            (
                "a completion is reported only after it is persisted",
                "engine::cell::Cell::state",
                "a_completion_is_reported_only_after_it_is_stored",
            ),
            (
                "owners' run numbers don't overlap",
                "engine::cell::Cell::next_run_number",
                "a_new_owner_numbers_its_runs_above_all_of_its_predecessors",
            ),
            (
                "a second run of a task is stopped",
                "engine::cell::report::process_running",
                "a_second_run_of_a_task_is_stopped",
            ),
        ],
    },
    Guarantee {
        name: "On the platform: a task that crashes its minions takes down few of them, and no other task fails for it",
        faults: &[
            ("it runs alone", &["a_task_that_crashes_its_minions_is_given_up"]),
            ("other tasks run on the same minions", &["tasks_beside_a_crashing_one_complete"]),
            ("all tasks of a job", &["a_job_of_crashing_tasks_fails_with_the_first"]),
            (
                "owner killed",
                &[
                    "suspicions_survive_a_change_of_owner",
                    "a_task_that_crashes_its_workers_is_given_up_whoever_owns_it",
                ],
            ),
            (
                "owner killed before the crash is known",
                &["a_possible_crash_is_stored_when_a_minion_stops_answering"],
            ),
            (
                "call lost, answer lost, late; owner killed, paused, partitioned; minion crashed or disconnected; table unavailable: \
                 at every call, and two to four at once",
                &["every_fault_at_every_call", "several_faults"],
            ),
            ("the store is unavailable", &["a_suspected_task_waits_until_its_suspicion_is_stored"]),
            ("minions go down together", &["a_loss_with_a_common_cause_fails_no_job"]),
            ("minions are disconnected", &["tasks_of_disconnected_minions_are_restarted_together"]),
            ("minions are emptied or drain", &["planned_minion_shutdowns_raise_no_suspicion"]),
            ("its job is cancelled", &["a_cancelled_job_stays_cancelled"]),
            ("it crashes them only after it has run for five seconds", UNPROVED),
            ("a minion's capacity shrinks", &["nothing_is_started_beyond_a_reduced_capacity"]),
            (
                "minions restart under the same id",
                &["a_task_that_crashes_a_minion_which_keeps_its_id_fails_its_job"],
            ),
        ],
        guards: &[
            (
                "each unplanned end of a minion counts against the tasks that ran there",
                "engine::cell::crash::record_loss",
                "a_task_that_crashes_its_minions_is_given_up",
            ),
            (
                "suspected tasks of one job are started one at a time, the likeliest cause first",
                "engine::cell::crash::is_next_suspect",
                "a_job_of_crashing_tasks_fails_with_the_first",
            ),
            (
                "suspected tasks are not on trial on one minion at the same time",
                "engine::cell::crash::can_host_suspect",
                "suspects_are_tried_separately",
            ),
            (
                "nothing is started beside a task on trial",
                "engine::cell::crash::runs_isolated_trial",
                "nothing_is_started_beside_a_task_on_trial",
            ),
            (
                "a possible crash is persisted for tasks on trial when their minion becomes silent",
                "engine::cell::crash::mark_possible_crash",
                "a_possible_crash_is_stored_when_a_minion_stops_answering",
            ),
            (
                "a suspected task is started only after its suspicion is persisted",
                "engine::cell::work::is_possible_crash_persisted",
                "a_suspected_task_waits_until_its_suspicion_is_stored",
            ),
            (
                "the same for a task with one certain crash",
                "engine::cell::crash::needs_persisted_trial",
                "a_trial_is_stored_before_a_task_is_started_again_after_a_crash",
            ),
            (
                "other changes of its job hold no suspected task back",
                "engine::cell::work::is_possible_crash_persisted",
                "a_suspected_task_waits_only_until_its_own_trial_is_stored",
            ),
            (
                "trials of lost owners count only beside enough crashes",
                "engine::cell::crash::is_conclusive",
                "trials_of_lost_owners_fail_a_job_only_with_enough_crashes",
            ),
            (
                "a trial is recorded for the next suspect of a job only",
                "engine::cell::crash::is_next_suspect",
                "a_trial_is_stored_for_the_next_suspect_only",
            ),
            (
                "a new owner learns the result of its predecessor's trial from the minion",
                "engine::cell::crash::trial::resolve_former_trials",
                "a_trial_on_a_minion_that_answers_the_next_owner_was_no_crash",
            ),
            (
                "the same for a minion that was silent and has ended",
                "engine::cell::crash::trial::resolve_former_trials",
                "a_trial_on_a_minion_that_was_silent_and_has_ended_was_a_crash",
            ),
            (
                "a trial takes place on the minion that its record names",
                "engine::cell::crash::trial::is_trial_persisted",
                "a_trial_takes_place_on_the_stored_minion",
            ),
            (
                "no trial counts for a former owner of a step that it can't have reached",
                "engine::cell::work::has_earlier_step_run_after",
                "a_task_that_no_former_owner_can_have_started_gets_no_trial_for_it",
            ),
            (
                "a crash after the trial is no trial",
                "engine::cell::crash::record_loss",
                "a_crash_after_the_trial_counts_as_no_trial",
            ),
            (
                "a new owner fails no job before it has looked for the runs of its tasks",
                "engine::cell::takeover::update_takeover",
                "a_job_whose_suspected_task_is_found_running_does_not_fail",
            ),
            (
                "an unanswered start that is being stopped counts when its minion restarts",
                "engine::cell::restart::former_minion",
                "an_unanswered_start_whose_stop_was_ordered_counts_when_its_minion_restarts",
            ),
            (
                "losses of minions with a common cause count against no single task",
                "engine::cell::crash::has_common_cause",
                "a_loss_with_a_common_cause_fails_no_job",
            ),
            (
                "a silent minion remains marked for emptying",
                "engine::cell::Cell::set_leaving",
                "planned_minion_shutdowns_raise_no_suspicion",
            ),
            (
                "the suspicion of a task that has run for long is cleared",
                "engine::cell::crash::record_run_time",
                "a_task_that_ran_for_long_is_not_suspected",
            ),
        ],
    },
    Guarantee {
        name: "On the platform: an accepted job is run, and a job refused as not run never runs",
        faults: &[
            ("the same job submitted again", &["a_job_submitted_again_runs_once"]),
            ("bad requests", &["an_invalid_job_is_refused_with_the_matching_status"]),
            ("a cancelled job", &["a_cancelled_job_ends_and_stays_cancelled"]),
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
