Feature: Route tables, the replicated log and retry budgets

  Scenario Outline: A route table with <fault> is refused
    Then the table with <fault> is refused with an error message

    Examples:
      | fault                |
      | unknown_pool         |
      | zero_weight          |
      | negative_weight      |
      | no_splits            |
      | zero_timeout         |
      | same_prefix          |
      | prefix_without_slash |
      | zero_attempts        |
      | empty_host           |
      | zero_version         |

  Scenario: The longest matching prefix selects the route
    Then the longest prefix selects the route

  Scenario: A snapshot restores which instances gave orders to engines
    Then a snapshot keeps which instances gave orders

  Scenario: A split distributes requests by weight
    Then a split follows its weights

  Scenario: The highest version wins, also across restarts
    When 150 random histories of versions are tried
    Then every one agrees with the oracle

  Scenario Outline: Replicated log: <scenario>
    When the scenario <scenario> of the log runs
    Then no guarantee is violated

    Examples:
      | scenario                          |
      | seeds_form_one_log                |
      | replica_imports_no_unused_modules |
      | forms_with_slow_disks             |
      | form_call_waits_for_disks         |
      | no_appends_while_loading          |
      | no_votes_while_loading            |
      | append_survives_cancelled_call    |
      | unordered_log_is_not_loaded       |
      | restart_then_power_loss           |
      | random_numbers_differ             |
      | backoff_after_split_votes         |
      | cut_off_entry_is_relayed          |
      | daemons_of_former_leaders_count   |
      | leader_change_wakes_callers       |
      | two_replicas_restart              |
      | all_replicas_restart              |
      | lease_outlives_restarts           |
      | no_second_log_is_formed           |
      | new_replica_replaces_voter        |
      | isolated_leader_confirms_no_read  |
      | late_leadership_transfer          |

  Scenario: A new leader is not deposed by a candidate that wins no election
    When the scenario new_leader_is_not_deposed of the log runs
    Then no guarantee is violated

  Scenario: A candidate that has voted for another gives up its election
    When the scenario vote_for_another_ends_election of the log runs
    Then no guarantee is violated

  Scenario: Changes of a table of many routes reach entries in time
    When the scenario many_routes_over_slow_links of the log runs
    Then no guarantee is violated

  Scenario Outline: Route tables: <scenario>
    When the scenario <scenario> of the log runs
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | huge_table_over_slow_links     |
      | frequent_changes_of_huge_table |
      | stalled_fetch_is_repeated      |

  Scenario: The configured number of replicas may be lost
    When the scenarios of lost replicas run
      | scenario                    |
      | disks_lost_in_a_power_cut   |
      | voters_without_power        |
      | voters_are_added_one_by_one |
      | learner_replaces_voter      |
      | disks_lost_during_recovery  |
      | disk_lost_twice             |
      | lost_datacentre             |
      | lost_voter_before_spread    |
    Then no guarantee is violated

  Scenario: Resends of all daemons together stay within one budget
    Then resends stay within the budget

  Scenario: Every disabled guard of the log is detected
    When each guard of the log is disabled
    Then each disabled guard is detected
