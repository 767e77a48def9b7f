Feature: Requests that crash the targets that run them
  Real replicas, sessions and forwarders run in virtual time.

  Scenario Outline: <scenario>: only fatal requests are quarantined
    When requests crash targets in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                          |
      | order_and_duplicates_ignored      |
      | one_event_counts_once             |
      | invalid_crash_ages                |
      | members_are_isolated              |
      | refused_after_three_crashes       |
      | copies_at_all_entries             |
      | leader_lost_before_third          |
      | leader_lost_after_third           |
      | quarantine_survives_power_loss    |
      | incarnations_count_separately     |
      | two_members                       |
      | one_request_with_many_attempts    |
      | concurrent_requests_are_served    |
      | common_request_in_rack_failures   |
      | retried_after_hold_time           |
      | operator_releases                 |
      | crashes_before_release_ignored    |
      | success_before_quarantine_ignored |
      | random_loads                      |
      | fatal_prompt                      |
      | fatal_call                        |

  Scenario: Every disabled guard against such requests is detected
    When each guard against requests that crash targets is disabled
    Then each disabled guard is detected
