Feature: Large deployments
  Real replicas, sessions and placement clients run in virtual time.

  Scenario Outline: Leader changes: <scenario>
    When the fleet scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                     |
      | reports_in_time_small_fleet  |
      | reports_in_time_large_fleet  |
      | heartbeat_held_until_elected |

  Scenario: Every guard of a large fleet that is switched off is noticed
    When each guard of a large fleet is disabled
    Then each disabled guard is detected
