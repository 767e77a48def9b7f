Feature: Who gives orders to an engine, over changes of the leader
  Guards against an engine that takes orders from one replica, then from
  another, then from the first again within one lease, after two elections
  in a row.

  Scenario: No holder of orders has two turns within a lease
    When the lead moves away and back, with and without restarts
    Then no engine saw holders take turns
    When the lead moves at random with 4 seeds
    Then no engine saw holders take turns

  Scenario Outline: <scenario>: a wait only where it guards something
    When the scenario <scenario> of holders runs
    Then no engine saw holders take turns

    Examples:
      | scenario                        |
      | new_holder_orders_at_once       |
      | reelected_holder_orders_at_once |
      | no_wait_after_full_restart      |
      | tenure_recorded_before_orders   |
      | unfenced_holder_waits_again     |
      | resident_adapters_while_waiting |

  Scenario: A tenure keeps to the lease over any elections and restarts
    When 400 random histories of elections are tried
    Then no engine saw holders take turns

  Scenario: Every guard of the right to order that is switched off is noticed
    When each guard of the right to order is switched off
    Then each is noticed there
