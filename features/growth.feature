Feature: Route tables, the bootstrap of the log, and retry budgets

  Scenario Outline: A table of routes with <fault> is refused
    Then the table with <fault> is refused with an error message

    Examples:
      | fault           |
      | unknown_pool    |
      | no_weight       |
      | negative_weight |
      | no_pool         |
      | no_timeout      |
      | same_place      |
      | no_slash        |
      | no_attempts     |
      | no_host         |
      | no_version      |

  Scenario: The longest prefix of the host selects the route
    Then the longest prefix selects the route

  Scenario: A snapshot keeps which instances gave orders to engines
    Then a snapshot keeps which instances gave orders

  Scenario: A split follows its weights
    Then a split follows its weights

  Scenario: The highest version wins, over restarts too
    When 150 random histories of versions are tried
    Then every one agrees with the oracle

  Scenario Outline: <scenario> holds
    When the scenario <scenario> of the log runs
    Then no promise is broken

    Examples:
      | scenario                 |
      | forms_by_itself          |
      | part_of_a_library        |
      | forms_with_slow_starters |
      | forms_by_order_while_loading |
      | called_while_loading     |
      | votes_while_loading      |
      | caller_gone_in_append    |
      | log_out_of_step          |
      | restart_then_power_loss  |
      | luck_of_its_own          |
      | split_votes_end          |
      | cut_off_entry            |
      | former_daemons_count     |
      | moved_leader_wakes       |
      | two_restart_at_once      |
      | all_restart_at_once      |
      | lease_outlives_restarts  |
      | never_forms_twice        |
      | successor_takes_a_place  |
      | reads_are_the_newest     |
      | late_hand_over           |

  Scenario: A new leader is not deposed by a candidate that wins no election
    When the scenario won_leads_last of the log runs
    Then no promise is broken

  Scenario: A candidate that has voted for another gives up its election
    When the scenario slow_votes_end_stands of the log runs
    Then no promise is broken

  Scenario: Changes of a table of many routes reach entries in time
    When the scenario many_routes_over_small_links of the log runs
    Then no promise is broken

  Scenario Outline: <scenario> of routes holds
    When the scenario <scenario> of the log runs
    Then no promise is broken

    Examples:
      | scenario                    |
      | huge_table_over_small_links |
      | huge_tables_in_a_row        |
      | lost_fetch_is_repeated      |

  Scenario: As many replicas may be lost as the deployment says
    When the scenarios of lost replicas run
      | scenario                  |
      | disks_lost_in_a_power_cut |
      | voters_away               |
      | voters_grow_in_steps      |
      | spare_takes_a_place       |
      | disks_lost_during_repair  |
      | disk_lost_twice           |
      | lost_datacentre           |
    Then no promise is broken

  Scenario: Resends over all daemons stay within one budget
    Then resends stay within the budget

  Scenario: Every guard of the log that is switched off is noticed
    When each guard of the log is switched off
    Then each is noticed there
