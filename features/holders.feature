Feature: Which replica issues orders to an engine, across leader changes
  Guards against an engine that gets orders from one replica, then from
  another and then from the first again within one lease. This could happen
  after two elections in a row.

  Scenario: Holders of orders never alternate within a lease
    When leadership moves away and back, with and without restarts
    Then no engine got orders from alternating holders
    When leadership moves at random with 4 seeds
    Then no engine got orders from alternating holders

  Scenario Outline: A new holder waits only where necessary: <scenario>
    When the scenario <scenario> of holders runs
    Then no engine got orders from alternating holders

    Examples:
      | scenario                        |
      | new_holder_orders_at_once       |
      | reelected_holder_orders_at_once |
      | no_wait_after_full_restart      |
      | tenure_recorded_before_orders   |
      | unfenced_holder_waits_again     |
      | resident_adapters_while_waiting |

  Scenario: Tenures respect the lease across elections and restarts
    When 400 random histories of elections are tried
    Then no engine got orders from alternating holders

  Scenario: Every disabled guard of the right to issue orders is detected
    When each guard of the right to issue orders is disabled
    Then each disabled guard is detected
