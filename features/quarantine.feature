Feature: Requests that crash the targets that run them
  Real replicas, sessions and forwarders run in virtual time.

  Scenario Outline: <scenario>: only fatal requests are quarantined
    When requests crash targets in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                         |
      | any_order                        |
      | simultaneous_crashes_count_once  |
      | extreme_ages                     |
      | members_are_isolated             |
      | repeated_request                 |
      | simultaneous_copies              |
      | leader_lost_before_third         |
      | leader_lost_after_third          |
      | full_restart                     |
      | same_name_restarts               |
      | two_members                      |
      | within_one_attempt               |
      | concurrent_requests              |
      | popular_request_in_a_failed_rack |
      | runs_again_after_hold            |
      | operator_releases                |
      | release_survives_new_leader      |
      | earlier_success                  |
      | random_faults                    |
      | fatal_prompt                     |
      | fatal_message                    |
      | fatal_call                       |

  Scenario: Every disabled guard against such requests is noticed
    When each guard against requests that crash targets is disabled
    Then each disabled guard is detected
