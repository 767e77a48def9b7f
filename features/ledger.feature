Feature: The holder of an engine's orders
  Orders are not answered or are executed late, or their answers are lost.
  The fake engine is the oracle: loads must never exceed its adapter slots.

  Scenario Outline: <scenario> keeps the ledger true
    When the ledger scenario <scenario> runs
    Then no promise is broken

    Examples:
      | scenario                       |
      | dropped_load                   |
      | no_order_without_leadership    |
      | leadership_briefly_unconfirmed |
      | initial_order_delay            |
      | takeover_of_busy_engine        |
      | takeover_of_idle_engine        |
      | late_retry_goes_last           |
      | long_prompt_goes_first         |
      | full_engine_with_copy          |
      | leadership_lost_during_load    |
      | many_waiting_requests          |
      | repeated_request               |
      | one_store_load_at_a_time       |
      | new_default_version            |

  Scenario: Random loads with late and lost orders keep the ledger true
    When 24 random loads are tried
    Then no promise is broken

  Scenario: Every guard of the ledger that is switched off is noticed
    When each guard of the ledger is switched off
    Then each is noticed there
