Feature: Requests that crash the targets that run them
  Real replicas, sessions and forwarders run in virtual time.

  Scenario Outline: <scenario>: only fatal requests are quarantined
    When requests crash targets in <scenario>
    Then no promise is broken

    Examples:
      | scenario                 |
      | any_order                |
      | one_event_counts_once    |
      | strange_words            |
      | members_apart            |
      | comes_again              |
      | at_all_at_once           |
      | leader_lost_before_third |
      | leader_lost_after_third  |
      | all_without_power        |
      | under_its_name           |
      | two_members              |
      | within_one_attempt       |
      | beside_it                |
      | popular_in_a_rack        |
      | runs_again_later         |
      | operator_releases        |
      | released_for_good        |
      | served_before            |
      | random_loads             |
      | fatal_prompt             |
      | fatal_call               |

  Scenario: Every disabled guard against such requests is noticed
    When each guard against requests that crash targets is disabled
    Then each is noticed there
