Feature: Orders of the placer to engines
  Orders are not answered or are executed late, or their answers are lost.
  The fake engine is the oracle: loads must never exceed its adapter slots.

  Scenario Outline: The placer passes the scenario <scenario>
    When the placer scenario <scenario> runs
    Then no guarantee is violated

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
      | unanswered_unload              |
      | repeated_request               |
      | one_store_load_at_a_time       |
      | new_default_version            |

  Scenario: Late and lost orders under random load never overfill an engine
    When 24 random loads are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of the placer is noticed
    When each guard of the placer is disabled
    Then each disabled guard is detected
