//! What clients that hold all that they are given can't bring about.

use super::{Guarantee, UNPROVED};

pub(super) const GUARANTEES: &[Guarantee] = &[Guarantee {
    name: "On the platform: clients end no process, and ordinary callers are answered beside them",
    faults: &[
        (
            "bodies that stop short of their end, at once, in pieces, in large and small chunks",
            &[
                "unfinished_bodies_are_held_within_the_memory",
                "unfinished_bodies_in_pieces_are_held_within_the_memory",
                "unfinished_chunked_bodies_are_held_within_the_memory",
                "unfinished_bodies_in_small_chunks_are_held_within_the_memory",
            ],
        ),
        (
            "idle connections and unfinished heads, at each listener",
            &[
                "idle_connections_of_callers_leave_descriptors",
                "unfinished_heads_of_callers_leave_descriptors",
                "idle_connections_to_the_readiness_check_leave_descriptors",
                "idle_connections_to_the_metrics_leave_descriptors",
            ],
        ),
        (
            "jobs that can't be stored, or that are many times larger when decoded",
            &[
                "jobs_with_a_spec_beyond_the_protocol_are_refused",
                "jobs_beyond_a_row_of_the_store_are_refused",
                "bodies_of_empty_steps_are_decoded_within_the_memory",
            ],
        ),
        (
            "requests while the store doesn't answer",
            &[
                "requests_that_wait_for_the_store_are_held_within_the_memory",
                "requests_that_read_the_store_leave_descriptors",
            ],
        ),
        (
            "a deadline of any length, and amounts of any size",
            &[
                "a_request_with_the_longest_deadline_is_answered",
                "jobs_with_the_largest_numbers_are_held",
            ],
        ),
        (
            "accepted jobs, at their owner and at the next one",
            &[
                "an_owner_accepts_jobs_within_its_memory",
                "another_entry_accepts_jobs_within_the_owners_memory",
                "the_next_owner_holds_the_accepted_jobs",
            ],
        ),
        (
            "a large job right after the loss of its owner",
            &["a_single_job_of_many_steps_waits_for_the_next_owner"],
        ),
        (
            "crowds of all kinds beside signals, restarts and outages of the store",
            &["crowds_overlap_with_faults"],
        ),
        (
            "answers that nobody reads, while more requests are sent",
            &["answers_that_nobody_reads_are_held_within_the_memory"],
        ),
        (
            "answers that are read a few bytes at a time",
            &["slow_readers_of_the_metrics_leave_connections"],
        ),
        ("the product's own interface: forwarded bodies", UNPROVED),
    ],
    guards: &[
        (
            "a response has a longest time",
            "http::server::Session::respond",
            "a_response_has_a_longest_time",
        ),
        (
            "a slow reader loses its place to a new connection",
            "http::connections::Places::take",
            "a_slow_reader_loses_its_place_to_a_new_connection",
        ),
        (
            "bodies are received into reserved memory",
            "http::memory::Incoming::append",
            "unfinished_bodies_are_held_within_the_memory",
        ),
        (
            "small bodies find room beside large ones",
            "http::memory::Budget::ceiling",
            "small_bodies_find_room_beside_large_ones",
        ),
        (
            "the slowest body is given up for another",
            "http::memory::State::reserve",
            "the_slowest_body_is_given_up_for_another",
        ),
        (
            "a body that was received whole is never given up",
            "http::memory::Incoming::finish",
            "a_whole_body_is_never_given_up",
        ),
        (
            "connections that keep the process waiting lose their places",
            "http::connections::Places::take",
            "the_connection_that_waits_longest_loses_its_place",
        ),
        (
            "an owner promises memory to a job before it is stored",
            "engine::admission::Admission::admit",
            "promised_memory_counts_until_the_job_is_known",
        ),
        (
            "large jobs leave memory to small ones",
            "engine::admission::Admission::admit",
            "large_jobs_leave_memory_to_small_ones",
        ),
        (
            "a job with more steps than a row has room for is not decoded",
            "adapter::submission::Body::new",
            "a_job_with_too_many_steps_is_not_decoded",
        ),
    ],
}];
