Feature: Which replica gives orders to an engine, across leader changes
  Guards against an engine that takes orders from one replica, then from
  another, then from the first again within one lease, after two elections
  in a row.

  Scenario: Order holders don't alternate at an engine within a lease
    When leadership moves away and back, with and without restarts
    Then no order holders alternate at an engine
    When leadership moves at random with 4 seeds
    Then no order holders alternate at an engine

  Scenario Outline: A leader waits only where it must: <scenario>
    When the order holder scenario <scenario> runs
    Then no order holders alternate at an engine

    Examples:
      | scenario                        |
      | new_leader_orders_at_once       |
      | reelected_leader_orders_at_once |
      | no_wait_after_full_restart      |
      | recorded_before_first_order     |
      | initial_delay_in_each_term      |
      | resident_adapters_during_wait   |

  Scenario: Tenures respect the lease in any history of elections and restarts
    When 400 random histories of elections are tried
    Then no order holders alternate at an engine

  Scenario: Every disabled guard of the right to order is noticed
    When each guard of the right to order is disabled
    Then each disabled guard is detected
