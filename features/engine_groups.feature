Feature: Engine groups
  Replicas share the placement of requests on many engines. Everything runs in
  virtual time; replicas, sessions and placement clients are real.

  Scenario: Placement takes no more than its replicas have time for
    When engine groups run placement_grows_with_the_replicas
    Then no guarantee is violated

  Scenario Outline: <scenario>: groups of engines have one holder each
    When engine groups run <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                     |
      | groups_are_spread            |
      | few_engines_form_one_group   |
      | holder_killed                |
      | holder_stops                 |
      | holder_silent                |
      | holder_cut_from_leader       |
      | lost_group_is_held_again     |
      | budget_holds_over_groups     |
      | small_pool_is_served         |
      | engine_moves_to_another_pool |
      | new_holder_knows_what_runs   |

  Scenario: Random faults of replicas never give an engine two holders
    When replicas fail at random beside engine groups
    Then no guarantee is violated

  Scenario Outline: <check>
    When the check <check> of engine groups runs
    Then no guarantee is violated

    Examples:
      | check                       |
      | run_leases                  |
      | check_unclear_former_holder |
      | check_holders_by_group      |
      | check_call_rate             |
      | check_choice_of_groups      |

  Scenario: Every guard of engine groups that is switched off is noticed
    When each guard of engine groups is switched off
    Then each disabled guard is detected
