//! Guarantees on the users' platform that concern the fleet and the ownership of cells.

use super::{Guarantee, UNPROVED};

pub(super) const GUARANTEES: &[Guarantee] = &[
    Guarantee {
        name: "On the platform: availability budgets hold through waves, moves and shared minions",
        faults: &[
            ("a wave under load", &["a_wave_is_completed_without_ending_what_runs"]),
            (
                "fleet controller killed during a wave",
                &["a_wave_continues_after_its_controller_is_killed"],
            ),
            ("a wave while the store or the machine interface is unavailable", UNPROVED),
        ],
        guards: &[
            (
                "long-running tasks are evacuated within the number that may be unavailable",
                "engine::cell::availability::Availability::permits_stop",
                "long_running_tasks_are_evacuated_within_max_unavailable",
            ),
            (
                "a run that a former owner may have stopped doesn't count as at work",
                "engine::cell::availability::may_be_ending",
                "a_new_owner_evacuates_nothing_while_a_stop_of_the_former_owner_may_be_under_way",
            ),
            (
                "an old report doesn't show that a task is at work",
                "engine::cell::availability::active_report_age",
                "a_task_is_not_evacuated_by_an_old_report_of_another_one",
            ),
            (
                "unanswered starts of long-running tasks are stopped unseen within that number",
                "engine::cell::plan::contested_starts",
                "unanswered_starts_of_a_step_are_stopped_unseen_only_within_its_allowance",
            ),
            (
                "half of a pool stays in service, whatever takes machines out",
                "engine::maintenance::reserve::Reserve::take",
                "a_wave_keeps_a_machine_of_a_small_pool_in_service",
            ),
            (
                "several waves share what a pool can do without",
                "engine::maintenance::reserve::Reserve",
                "several_waves_share_what_a_pool_can_do_without",
            ),
            (
                "a machine returns to service when the last other of its pool is lost",
                "engine::maintenance::reserve::Reserve::restore",
                "a_machine_that_is_emptied_returns_when_the_last_other_is_lost",
            ),
            (
                "no pool gives machines that it needs in service",
                "engine::pools::Planner::plan",
                "a_pool_gives_only_machines_that_it_can_do_without_in_service",
            ),
            (
                "a machine is gone only by a list requested after its wave was known",
                "engine::absence::Absence",
                "a_list_from_before_the_wave_does_not_show_that_a_machine_is_gone",
            ),
            (
                "no more machines down than allowed",
                "engine::maintenance::Planner::plan_wave",
                "a_wave_completes_with_never_more_down_than_allowed",
            ),
            (
                "an order that the list does not show yet counts as down",
                "engine::maintenance::Planner::down_count",
                "an_order_that_the_list_does_not_show_yet_counts_as_down",
            ),
            (
                "only an empty machine goes down",
                "engine::maintenance::Planner::plan_wave",
                "a_machine_that_is_not_empty_stays_up",
            ),
            (
                "machines that are about to be ordered are not moved",
                "engine::pools::Planner::candidates",
                "machines_that_must_stay_are_not_moved",
            ),
            (
                "a pool keeps the machines over which long-running tasks are spread",
                "engine::pools::Planner::machines_needed",
                "a_pool_keeps_the_machines_over_which_lasting_tasks_are_spread",
            ),
            (
                "idle machines are moved to the next pool before its turn",
                "engine::pools::turns",
                "machines_are_moved_ahead_of_a_known_turn",
            ),
            (
                "a peak that is no turn does not hide one",
                "engine::pools::turns",
                "a_single_large_job_is_no_turn",
            ),
            (
                "the stale rows of any number of machines are deleted",
                "scheduler::fleet::emptying::delete_in_chunks",
                "any_number_of_stale_emptying_rows_is_deleted",
            ),
            (
                "a pool with a large backlog does not get all machines",
                "engine::pools::Planner::fill_shortfalls",
                "a_pool_with_a_large_remainder_does_not_take_all",
            ),
            (
                "tasks that cannot be started yet add no demand",
                "engine::cell::load",
                "what_may_still_run_elsewhere_asks_for_no_machines",
            ),
            (
                "best-effort tasks are slowed down before a serving task misses its target",
                "engine::cell::pace",
                "best_effort_tasks_are_slowed_down_while_a_serving_task_exceeds_its_target",
            ),
            (
                "an abandoned call resets its connection, so that undelivered bytes are discarded",
                "http::client::Connection::open_with_abortive_close",
                "a_connection_that_is_given_up_is_reset",
            ),
        ],
    },
    Guarantee {
        name: "On the platform: each cell has one owner",
        faults: &[
            ("any order of candidates", &["only_the_first_candidate_takes_a_vacant_cell"]),
            ("a planned stop", &["a_cell_is_handed_to_a_living_entry_that_stays"]),
            (
                "the store unavailable for longer than a term",
                &["an_outage_of_the_store_is_nobodys_silence"],
            ),
            ("the store is a hundred times slower", &["a_slow_store_keeps_its_owners_at_work"]),
            ("a holder that renews at the last moment, through the store", UNPROVED),
        ],
        guards: &[
            (
                "a living holder keeps its cell",
                "engine::ownership::decide",
                "a_living_holder_keeps_its_cell",
            ),
            (
                "the term adapts to the duration of renewals",
                "engine::ownership::term",
                "the_term_follows_the_renewals",
            ),
            (
                "candidates are ordered by cells per core",
                "engine::ownership::cells_per_core",
                "a_strong_instance_with_a_cell_goes_before_a_weak_one_without",
            ),
            (
                "an outage of the store does not count as silence of entries",
                "engine::ownership::record_read",
                "an_outage_of_the_store_is_nobodys_silence",
            ),
            (
                "a takeover requires that the holder is still silent",
                "engine::ownership::decide",
                "a_silent_holder_is_replaced_on_condition_that_it_stays_silent",
            ),
            (
                "the loss of a holder is noticed as soon among many entries as among few",
                "engine::ownership::renewal_interval",
                "a_holder_among_many_entries_is_missed_as_soon_as_among_few",
            ),
            (
                "candidates that may be disconnected together with the holder come last",
                "engine::ownership::decide",
                "entries_seen_since_the_holder_come_before_those_that_may_be_cut_off_with_it",
            ),
        ],
    },
    Guarantee {
        name: "On the platform: a fleet of hundreds of machines",
        faults: &[
            (
                "fleet controller killed during a wave",
                &["a_wave_continues_after_its_controller_is_killed"],
            ),
            ("the store unavailable during a wave", &["a_wave_that_falls_behind_catches_up"]),
            (
                "fleet controller lost, or an answer to it lost, at each of its other calls",
                UNPROVED,
            ),
            ("all entries dial a new owner at once", UNPROVED),
            ("the fleet controller lost that ordered a machine which is off", UNPROVED),
        ],
        guards: &[
            (
                "a wave takes only as many working machines as its window requires",
                "engine::maintenance::concurrency",
                "a_wave_takes_no_more_working_machines_than_its_window_requires",
            ),
            (
                "a wave that falls behind proceeds as fast as allowed",
                "engine::maintenance::concurrency",
                "a_wave_that_falls_behind_catches_up",
            ),
            (
                "machines with long-running tasks begin to empty early",
                "engine::maintenance::Slots::choose",
                "machines_that_take_long_to_empty_begin_early",
            ),
            (
                "an order refused by the rate limit is repeated",
                "engine::maintenance::Planner::record_refusal",
                "a_refused_order_is_repeated_at_once",
            ),
            (
                "only a machine that was asked to empty goes down",
                "engine::maintenance::Planner::plan_wave",
                "a_machine_goes_down_only_after_it_was_asked_to_empty",
            ),
            (
                "tasks ask for no more cores than they can use",
                "engine::cell::load",
                "tasks_ask_for_no_more_cores_than_they_can_use",
            ),
            (
                "a wider next step adds demand ahead of its start",
                "engine::cell::load",
                "a_wider_step_requests_its_missing_cores_ahead",
            ),
            (
                "the result of an unanswered start is polled before it is stopped",
                "engine::cell::report",
                "a_run_whose_start_was_not_answered_goes_on_if_its_minion_lists_it",
            ),
            (
                "a run counts as stalled only by its minion's reports",
                "engine::cell::plan",
                "a_run_without_news_is_not_taken_for_one_that_stands_still",
            ),
            (
                "machines are moved ahead of a turn that is due",
                "engine::pools::turns",
                "machines_are_moved_ahead_of_a_due_turn_while_the_last_one_has_demand",
            ),
        ],
    },
];
