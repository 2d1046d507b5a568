//! The promises of the daemon on the users' platform.

use super::{NOT, Promise};

pub(super) const PROMISES: &[Promise] = &[
    Promise {
        name: "On the platform: no task runs twice, and none after it is done",
        cells: &[
            ("owner killed", &["a_killed_owner_is_replaced_and_nothing_runs_twice"]),
            ("owner paused past its silence", &["a_paused_owner_that_wakes_runs_nothing_twice"]),
            ("owner stopped", &["a_stopping_owner_hands_over_and_ends"]),
            ("all entries killed", &["accepted_jobs_survive_the_loss_of_all_entries"]),
            ("starts answered late or never", &["unanswered_starts_run_nothing_twice"]),
            ("minion cut off", &["a_silent_worker_keeps_its_tasks_until_their_lease_lapses"]),
            ("minion crashed", &["tasks_of_a_crashed_worker_run_elsewhere"]),
            (
                "store refuses, is silent, loses answers",
                &[
                    "jobs_refused_while_the_store_refuses_never_run",
                    "a_silent_store_leaves_no_job_half_accepted",
                    "lost_answers_of_the_store_are_not_taken_for_refusals",
                ],
            ),
            (
                "call lost, answer lost, late; owner killed, paused, cut off with one minion; minion \
                 crashed or cut off; table down: at every call of start, stop, end, renewal",
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
                "a minion restarts under the same id, receives a start and is cut off within one look",
                NOT,
            ),
            ("a start is carried out late on the next incarnation of its minion", NOT),
            ("every fault at every call of accept, cancel, move, maintenance", NOT),
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
                "an owner that may have a successor starts only what was never started",
                "engine::cell::permit",
                "tasks_that_a_successor_may_run_are_not_started_during_a_store_outage",
            ),
            (
                "an answer that can't be read doesn't say that nothing runs",
                "adapter::minion::Client::send",
                "an_unreadable_answer_does_not_say_that_nothing_runs",
            ),
            (
                "an owner that may extend no lease starts nothing",
                "engine::cell::Cell::plan",
                "without_leave_to_start_nothing_is_started",
            ),
            (
                "inherited tasks wait for every minion that may run them",
                "engine::cell::Cell::is_takeover_complete",
                "inherited_tasks_wait_until_every_minion_has_answered",
            ),
            (
                "a minion whose machine has another one is not waited for",
                "engine::termination::has_terminated",
                "a_minion_whose_machine_has_another_one_is_over",
            ),
            (
                "a silent minion's runs count until their lease must have lapsed",
                "engine::cell::plan::expire_leases",
                "runs_of_a_silent_minion_are_given_up_after_their_lease_has_lapsed",
            ),
            (
                "an unanswered start is stopped for certain first",
                "engine::cell::Cell::process_start_result",
                "an_unanswered_start_is_stopped_before_the_task_starts_elsewhere",
            ),
            (
                "an end is acknowledged only after it is kept",
                "engine::cell::persist",
                "an_end_is_acknowledged_only_after_it_is_stored",
            ),
            (
                "a completion is told only after it is kept",
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
    Promise {
        name: "On the platform: a task that crashes its minions costs few of them, and no other task is blamed",
        cells: &[
            ("it runs alone", &["a_task_that_crashes_its_minions_is_given_up"]),
            ("others run beside it", &["tasks_beside_a_crashing_one_are_not_given_up"]),
            ("all tasks of a job", &["a_job_of_crashing_tasks_is_given_up_with_the_first"]),
            (
                "owner killed",
                &[
                    "suspicions_survive_a_change_of_owner",
                    "a_task_that_crashes_its_workers_is_given_up_whoever_owns_it",
                ],
            ),
            (
                "owner killed before the crash is known",
                &["a_trial_is_stored_when_its_minion_falls_silent"],
            ),
            (
                "call lost, answer lost, late; owner killed, paused, cut off; minion crashed or cut off; table down: \
                 at every call, and two to four at once",
                &["every_fault_at_every_call", "several_faults"],
            ),
            ("the store is away", &["a_suspected_task_waits_until_its_suspicion_is_stored"]),
            (
                "minions go down together",
                &["a_task_on_minions_that_went_down_together_is_not_given_up"],
            ),
            ("minions are cut off", &["tasks_of_minions_that_are_cut_off_start_again_together"]),
            ("minions are emptied or drain", &["planned_minion_shutdowns_raise_no_suspicion"]),
            ("its job is cancelled", &["a_cancelled_job_stays_cancelled"]),
            ("it crashes them only after it was at work for five seconds", NOT),
            ("a minion's room shrinks", &["nothing_is_started_beyond_a_reduced_capacity"]),
            (
                "minions restart under the same id",
                &["a_task_that_crashes_a_minion_which_keeps_its_id_is_given_up"],
            ),
        ],
        guards: &[
            (
                "each unplanned end counts against what it ended",
                "engine::cell::crash::record_loss",
                "a_task_that_crashes_its_minions_is_given_up",
            ),
            (
                "likely causes of one job are tried one at a time, the likeliest first",
                "engine::cell::crash::is_next_suspect",
                "a_job_of_crashing_tasks_is_given_up_with_the_first",
            ),
            (
                "likely causes are tried apart",
                "engine::cell::crash::can_host_suspect",
                "suspects_are_tried_separately",
            ),
            (
                "nothing is started beside a task on trial",
                "engine::cell::crash::runs_isolated_trial",
                "nothing_is_started_beside_a_task_on_trial",
            ),
            (
                "what is on trial when its minion falls silent is kept as doubted",
                "engine::cell::crash::mark_possible_crash",
                "a_trial_is_stored_when_its_minion_falls_silent",
            ),
            (
                "a suspected task is tried only after that is kept",
                "engine::cell::crash::may_start_suspect",
                "a_suspected_task_waits_until_its_suspicion_is_stored",
            ),
            (
                "a loss with a common cause proves nothing",
                "engine::cell::crash::has_common_cause",
                "a_task_on_minions_that_went_down_together_is_not_given_up",
            ),
            (
                "a minion that is silent stays to be emptied",
                "engine::cell::Cell::set_leaving",
                "planned_minion_shutdowns_raise_no_suspicion",
            ),
            (
                "what is at work for long is acquitted",
                "engine::cell::crash::record_run_time",
                "a_task_that_ran_for_long_is_not_suspected",
            ),
        ],
    },
    Promise {
        name: "On the platform: what is accepted is done, what is refused as not run never runs",
        cells: &[
            ("the same job again", &["a_job_submitted_again_runs_once"]),
            ("bad requests", &["an_invalid_job_is_refused_with_the_matching_status"]),
            ("a cancelled job", &["a_cancelled_job_ends_and_stays_cancelled"]),
            ("a hopeless job", &["a_job_that_always_fails_is_shown_as_failed"]),
            ("history forgotten", &["a_lost_feed_history_is_recovered_by_rereading"]),
            ("the store is a hundred times slower", &["a_slow_store_takes_in_a_burst"]),
            (
                "the store is away for a time",
                &[
                    "jobs_are_refused_during_a_store_outage",
                    "tasks_never_started_are_started_during_a_store_outage",
                ],
            ),
            (
                "entries of another writer",
                &["minion_entries_of_another_writer_are_ignored", "decoders_take_any_bytes"],
            ),
            ("the store turns one entry away", NOT),
        ],
        guards: &[
            (
                "a caller of an entry that is cut off has time left for another",
                "engine::submission::Attempt::should_give_up",
                "a_caller_of_an_entry_that_is_cut_off_has_time_left_for_another_one",
            ),
            (
                "nothing is sent to a store that is away",
                "scheduler::submit::write",
                "jobs_are_refused_during_a_store_outage",
            ),
            ("one answer ends an outage", "engine::outage", "one_answer_ends_an_outage"),
            (
                "an element that can't be read doesn't hide the others",
                "adapter::lenient",
                "a_feed_goes_on_beside_a_row_that_cannot_be_read",
            ),
            (
                "a row whose bytes can't be read is there",
                "adapter::store::RowBody::decode",
                "a_spoiled_row_is_still_there",
            ),
            (
                "an id that no header can hold names no minion",
                "adapter::minion::Entry::decode",
                "an_id_that_no_header_can_hold_names_no_minion",
            ),
            (
                "the end of a late run lets its task start again",
                "engine::cell::work::Phase",
                "the_end_of_a_late_run_lets_its_task_start_again",
            ),
            (
                "a stop that is repeated stays confirmed",
                "engine::cell::plan::stop_run",
                "a_confirmed_stop_stays_confirmed_until_the_next_look",
            ),
            (
                "what time a caller comes back with is used",
                "engine::submission::usable_time",
                "a_caller_with_little_time_is_served",
            ),
            (
                "a slow store isn't given up on",
                "engine::submission::Attempt::should_give_up",
                "a_slow_store_is_waited_for",
            ),
            (
                "an overdue write is looked for before it is sent again",
                "scheduler::confirm::commit",
                "a_slow_store_takes_in_a_burst",
            ),
            (
                "a write is lost only by the measure of a read",
                "engine::timeout::is_write_lost",
                "a_write_is_lost_only_by_the_measure_of_a_read",
            ),
            (
                "steps wait for the steps before them",
                "engine::cell::work::Job::is_step_ready",
                "a_step_waits_for_all_tasks_of_the_steps_before_it",
            ),
            (
                "a failure that is listed again counts once",
                "engine::cell::report::process_end",
                "a_failure_that_is_listed_again_counts_once",
            ),
            (
                "a minion that fails whatever it starts is left out",
                "engine::cell::report::update_quarantine",
                "a_minion_that_fails_two_jobs_in_a_row_is_quarantined",
            ),
            (
                "a run that stands still is stopped",
                "engine::cell::plan::stop_stalled",
                "a_stalled_run_is_stopped_and_its_minion_quarantined",
            ),
            (
                "a task without room reserves a minion",
                "engine::cell::plan::reserve_minion",
                "a_lasting_task_gets_room_although_smaller_tasks_wait_for_it",
            ),
            (
                "a lasting task finds room on a minion that is being emptied and isn't empty",
                "engine::cell::place::find_fallback",
                "a_lasting_task_returns_to_a_minion_that_is_being_emptied_if_nothing_else_has_room",
            ),
            (
                "a gang with a missing member is stopped",
                "engine::cell::plan::stop_broken_gangs",
                "the_rest_of_a_gang_is_stopped_when_one_member_is_refused",
            ),
            (
                "no start without a ticket where one is needed",
                "engine::cell::advice",
                "nothing_is_started_without_a_ticket",
            ),
        ],
    },
    Promise {
        name: "On the platform: keys and limits of workspaces hold",
        cells: &[
            ("no key, unknown, malformed, doubled", &["a_call_without_a_valid_key_is_refused"]),
            ("another workspace's job", &["a_job_is_accessible_only_to_its_workspace"]),
            (
                "keys withdrawn; entry restarted",
                &["a_withdrawn_key_is_refused_everywhere_and_its_jobs_go_on"],
            ),
            (
                "store turns an entry away; entry cut off from all",
                &[
                    "an_entry_cut_off_from_the_store_learns_of_keys_from_its_peers",
                    "an_isolated_entry_refuses_keys_only_with_strict_keys",
                ],
            ),
            (
                "owners killed, frozen, cut off, replaced while alive; writes lost, late, refused; limits lowered",
                &["a_limit_holds_under_all_drawn_faults"],
            ),
            ("owner killed", &["a_limit_holds_over_services_and_killed_owners"]),
            ("owner frozen and woken", &["a_limit_holds_when_a_frozen_owner_wakes"]),
            ("answers of transfers lost", &["a_limit_holds_while_the_store_loses_answers"]),
            (
                "limit lowered",
                &["a_lowered_limit_stops_nothing_and_starts_nothing_until_there_is_room"],
            ),
            ("a limit where there was none before, with an owner cut off", NOT),
        ],
        guards: &[
            (
                "shares are written on condition of the split's version",
                "engine::quota::account::Account::next_change",
                "the_model_detects_a_broken_limit",
            ),
            (
                "a successor counts its predecessor's whole share until all minions told",
                "engine::quota::account::Account::in_use",
                "a_successor_counts_its_predecessors_share_until_all_minions_have_reported",
            ),
            (
                "a share that may have been lowered counts as lowered",
                "engine::quota::account::Account::confirmed_size",
                "a_share_that_may_have_been_lowered_counts_as_lowered",
            ),
            (
                "nothing starts while shares are more than a fallen limit",
                "engine::quota::account::Account::may_start",
                "nothing_starts_while_shares_exceed_a_lowered_limit",
            ),
            (
                "nothing starts before the split is written by a lower limit's configuration",
                "engine::quota::account::Account::is_split_current",
                "nothing_starts_before_the_split_is_written_with_the_lower_limit",
            ),
            (
                "what can't be read opens nothing",
                "adapter::configuration::Configuration::decode",
                "what_cannot_be_read_opens_nothing_and_hides_nothing",
            ),
        ],
    },
    Promise {
        name: "On the platform: budgets hold through waves, moves and shared minions",
        cells: &[
            ("a wave under load", &["a_wave_is_completed_without_ending_what_runs"]),
            ("the carrier of a wave killed", &["a_wave_continues_after_its_controller_is_killed"]),
            ("a wave while the store or the interface is away", NOT),
        ],
        guards: &[
            (
                "lasting tasks leave within what may be away",
                "engine::cell::plan::can_evacuate",
                "long_running_tasks_are_evacuated_within_max_unavailable",
            ),
            (
                "no more machines down than allowed",
                "engine::maintenance::Planner::plan_wave",
                "a_wave_completes_with_never_more_down_than_allowed",
            ),
            (
                "an order that the list doesn't show yet counts",
                "engine::maintenance::Planner::down_count",
                "an_order_that_the_list_does_not_show_yet_counts_as_down",
            ),
            (
                "only an empty machine goes down",
                "engine::maintenance::Planner::plan_wave",
                "a_machine_that_is_not_empty_stays_up",
            ),
            (
                "machines about to be ordered stay where they are",
                "engine::pools::Planner::candidates",
                "machines_that_must_stay_are_not_moved",
            ),
            (
                "a pool keeps the machines of its spread",
                "engine::pools::Planner::machines_needed",
                "a_pool_keeps_the_machines_over_which_lasting_tasks_are_spread",
            ),
            (
                "what idles is in the next pool before its turn",
                "engine::pools::turns",
                "machines_are_moved_ahead_of_a_known_turn",
            ),
            ("what is no turn hides none", "engine::pools::turns", "a_single_large_job_is_no_turn"),
            (
                "the rows of any number of machines are dropped",
                "scheduler::fleet::emptying::delete_in_chunks",
                "any_number_of_stale_emptying_rows_is_dropped",
            ),
            (
                "a large remainder doesn't take all machines",
                "engine::pools::Planner::fill_shortfalls",
                "a_pool_with_a_large_remainder_does_not_take_all",
            ),
            (
                "what can't be started asks for no machines",
                "engine::cell::load",
                "what_may_still_run_elsewhere_asks_for_no_machines",
            ),
            (
                "what fills is slowed down before a target is missed",
                "engine::cell::pace",
                "best_effort_tasks_are_slowed_down_while_a_serving_task_exceeds_its_target",
            ),
            (
                "a call that is given up takes back what was not delivered",
                "http::client::Connection::open_resetting",
                "a_connection_that_is_given_up_is_reset",
            ),
        ],
    },
    Promise {
        name: "On the platform: one owner a cell",
        cells: &[
            ("any order of candidates", &["only_the_first_candidate_takes_a_vacant_cell"]),
            ("a planned stop", &["a_cell_is_handed_to_a_living_entry_that_stays"]),
            (
                "the store away for longer than a term",
                &["an_outage_of_the_store_is_nobodys_silence"],
            ),
            ("the store is a hundred times slower", &["a_slow_store_keeps_its_owners_at_work"]),
            ("a holder that renews at the last moment, over the store", NOT),
        ],
        guards: &[
            (
                "a living holder keeps its cell",
                "engine::ownership::decide",
                "a_living_holder_keeps_its_cell",
            ),
            (
                "the term follows the renewals",
                "engine::ownership::term",
                "the_term_follows_the_renewals",
            ),
            (
                "a strong entry goes before a weak one",
                "engine::ownership::cells_per_core",
                "a_strong_instance_with_a_cell_goes_before_a_weak_one_without",
            ),
            (
                "what nobody could read is nobody's silence",
                "engine::ownership::record_read",
                "an_outage_of_the_store_is_nobodys_silence",
            ),
            (
                "a takeover requires the holder to be silent still",
                "engine::ownership::decide",
                "a_silent_holder_is_replaced_on_condition_that_it_stays_silent",
            ),
            (
                "holders among many entries are missed soon",
                "engine::ownership::renewal_interval",
                "a_holder_among_many_entries_is_missed_as_soon_as_among_few",
            ),
            (
                "who may be cut off with the holder comes later",
                "engine::ownership::decide",
                "entries_seen_since_the_holder_come_before_those_that_may_be_cut_off_with_it",
            ),
        ],
    },
    Promise {
        name: "On the platform: a fleet of hundreds of machines",
        cells: &[
            (
                "the holder of the fleet's duty is killed within a wave",
                &["a_wave_continues_after_its_controller_is_killed"],
            ),
            ("the store away within a wave", &["a_wave_that_falls_behind_catches_up"]),
            ("the holder lost, or an answer of its lost, at each other of its calls", NOT),
            ("all entries dial a new owner at once", NOT),
            ("a machine that is off, and its order's holder lost", NOT),
        ],
        guards: &[
            (
                "a wave takes from working machines what its window asks for",
                "engine::maintenance::pace",
                "a_wave_takes_no_more_working_machines_than_its_window_requires",
            ),
            (
                "a wave that falls behind goes as fast as is allowed",
                "engine::maintenance::pace",
                "a_wave_that_falls_behind_catches_up",
            ),
            (
                "lasting tasks begin to leave early",
                "engine::maintenance::Slots::choose",
                "machines_that_take_long_to_empty_begin_early",
            ),
            (
                "an order refused for its rate is given again",
                "engine::maintenance::Planner::record_refusal",
                "a_refused_order_is_repeated_at_once",
            ),
            (
                "only what was asked to empty goes down",
                "engine::maintenance::Planner::plan_wave",
                "a_machine_goes_down_only_after_it_was_asked_to_empty",
            ),
            (
                "a pool asks for what it can use",
                "engine::cell::load",
                "tasks_ask_for_no_more_cores_than_they_can_use",
            ),
            (
                "a wider step asks ahead",
                "engine::cell::load",
                "a_wider_step_requests_its_missing_cores_ahead",
            ),
            (
                "an unanswered start is looked for",
                "engine::cell::report",
                "a_run_whose_start_was_not_answered_goes_on_if_its_minion_lists_it",
            ),
            (
                "a standstill is told by reports",
                "engine::cell::plan",
                "a_run_without_news_is_not_taken_for_one_that_stands_still",
            ),
            (
                "machines go ahead of a turn that is due",
                "engine::pools::turns",
                "machines_are_moved_ahead_of_a_due_turn_while_the_last_one_has_demand",
            ),
        ],
    },
];
