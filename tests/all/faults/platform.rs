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
                "no job reads as queued while a task of it may run where nobody has looked",
                "engine::cell::Cell::is_state_known",
                "the_state_of_an_inherited_job_is_unknown_until_its_tasks_were_looked_for",
            ),
            (
                "the same while its owner does not answer, or only its successor knows it",
                "scheduler::peers::ask_current_owner",
                "a_running_job_is_never_queued_again_after_its_owner_was_lost",
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
                "trials of lost owners are no evidence",
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
                "a job fails only by losses that leave no doubt",
                "engine::cell::crash::evidence::doubt",
                "a_task_whose_minions_are_replaced_is_not_given_up",
            ),
            (
                "a minion that comes back after its lease has crashed",
                "engine::cell::crash::trial::resolve_lapsed_trials",
                "a_crash_that_is_certain_only_after_the_lease_counts",
            ),
            (
                "a poll without an answer tells since when a minion is silent",
                "engine::cell::report::record_unanswered_poll",
                "a_minion_counts_as_silent_since_the_first_poll_that_it_did_not_answer",
            ),
            (
                "tasks that crash minions at the same time are spread",
                "engine::cell::crash::restart_delay",
                "tasks_that_crash_their_minions_at_the_same_time_are_given_up",
            ),
            (
                "it takes a third crash while minions are lost for other reasons",
                "engine::cell::crash::evidence::evidence_weight",
                "two_crashes_are_not_enough_while_other_minions_crash",
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
                "engine::cell::crash::evidence::other_losses",
                "jobs_of_minions_that_are_lost_together_are_not_given_up",
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
];
