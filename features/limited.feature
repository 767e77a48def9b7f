Feature: Targets that limit the requests of all entries together
  A target says in its answers how many requests a second it takes. From 4 s
  on it gets at most one and a half times as many in 4 s, and 5 more, from
  entries that have passed on such an answer.

  Scenario: Targets get no more requests than they allow all entries
    When targets name limits in these deployments
      | scenario             |
      | one_engine           |
      | a_small_limit        |
      | all_engines          |
      | many_entries         |
      | a_plain_service      |
      | all_plain_services   |
      | few_requests_for_limited_services |
      | leader_is_lost       |
      | no_leader_for_long   |
      | entries_start_again  |
      | a_tenth_a_second_at_engines_of_many  |
      | a_tenth_a_second_at_services_of_many |
      | cut_off_entry_keeps_to_limits   |
      | entry_without_targets_keeps_to_limits |
      | refused_at_once                 |
      | limit_falls_and_ends |
      | wrong_values         |
    Then no guarantee is violated

  Scenario: Every disabled guard of limits is detected
    When each guard of limits is disabled
    Then each disabled guard is detected
