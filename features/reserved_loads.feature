Feature: Loads reserved for adapters that were left out
  Neither a network nor a clock is needed.

  Scenario Outline: <scenario>
    When reserved loads run <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                        |
      | most_refused_is_loaded_first    |
      | nothing_reserved_without_refusals |
      | share_bounds_reserved_loads     |
      | counts_are_bounded              |
      | refused_adapter_gets_free_slot  |

  Scenario: Random refusals, grants and loads keep to the share
    When reserved loads run at random
    Then no guarantee is violated
