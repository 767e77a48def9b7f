Feature: The ledger of orders to engines
  Orders are not answered or are executed late, or their answers are lost.
  The fake engine is the oracle: loads must never exceed its adapter slots.

  Scenario Outline: Ledger and engine agree: <scenario>
    When the ledger scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | dropped_load                   |
      | no_orders_after_lost_lead      |
      | leadership_briefly_unconfirmed |
      | new_leader_waits_to_order      |
      | no_eviction_before_reports     |
      | eviction_on_idle_engine        |
      | late_retry_served_later        |
      | long_prompt_served_first       |
      | home_engine_stays_full         |
      | leadership_lost_during_load    |
      | many_waiting_requests          |
      | repeated_request_counts_once   |
      | store_loads_one_model_at_once  |
      | new_default_version            |

  Scenario: Ledger and engine agree despite late and lost orders
    When 24 random loads are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of the ledger is detected
    When each guard of the ledger is disabled
    Then each disabled guard is detected
