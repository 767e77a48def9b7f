Feature: Prompts with a part that crashes the targets that answer them
  Real replicas, sessions, placements and forwarders run in virtual time.

  Scenario: Requests that share a part stop crashing one target after another
    When prompts crash targets in no_two_requests_alike
    Then no guarantee is violated

  Scenario Outline: <scenario>: only fatal parts are quarantined
    When prompts crash targets in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | first_part                     |
      | several_at_once                |
      | quick_succession               |
      | once_per_attempt               |
      | rare                           |
      | slow_engines                   |
      | long_answers                   |
      | beside_other_crashes           |
      | beside_failed_racks            |
      | leader_lost_before_fifth       |
      | leader_lost_at_third           |
      | leader_lost_after_hold         |
      | entries_restarted              |
      | all_entries_restarted          |
      | restarted_into_crashes         |
      | two_parts_in_turn              |
      | fatal_on_a_new_part            |
      | part_turns_fatal               |
      | without_power                  |
      | random_faults                  |
      | fatal_request_is_no_fatal_part |
      | crashes_of_other_causes        |
      | popular_part_runs_together     |
      | other_members_part             |
      | runs_again_after_hold          |
      | operator_releases              |
      | part_is_named                  |
      | narrowest_explanation          |
      | any_order                      |
      | failed_answers_clear_nothing   |
      | made_up_parts_evict_nobody     |
      | answers_evict_no_losses        |
      | held_for_another_pool          |

  Scenario: Every disabled guard against fatal parts is noticed
    When each guard against fatal parts is disabled
    Then each disabled guard is detected
