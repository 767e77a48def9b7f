Feature: The holder of an engine's orders
  Orders are not answered or are executed late, or their answers are lost.
  The fake engine is the oracle: loads must never exceed its adapter slots.

  Scenario Outline: <scenario> keeps the ledger true
    When the ledger scenario <scenario> runs
    Then no promise is broken

    Examples:
      | scenario                |
      | dropped_load            |
      | no_order_without_lead   |
      | lead_in_doubt           |
      | quiet_new_holder        |
      | taken_over              |
      | taken_over_idle         |
      | returned_goes_behind    |
      | long_prompt_goes_sooner |
      | full_home               |
      | deposed_in_a_load       |
      | storm_of_waiters        |
      | asked_again             |
      | models_in_turn          |
      | named_version           |

  Scenario: Random loads with late and lost orders keep the ledger true
    When 24 random loads are tried
    Then no promise is broken

  Scenario: Every guard of the ledger that is switched off is noticed
    When each guard of the ledger is switched off
    Then each is noticed there
