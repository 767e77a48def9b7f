Feature: The holder of an engine's orders
  Orders are not answered or are executed late, or their answers are lost.
  The fake engine is the oracle: loads must never exceed its adapter slots.

  Scenario Outline: <scenario> keeps the ledger true
    When the ledger scenario <scenario> runs
    Then no promise is broken

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

  Scenario: Random loads with late and lost orders keep the ledger true
    When 24 random loads are tried
    Then no promise is broken

  Scenario: Every guard of the ledger that is switched off is noticed
    When each guard of the ledger is switched off
    Then each is noticed there
