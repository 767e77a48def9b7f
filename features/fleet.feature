Feature: Large deployments
  Real replicas, sessions and placement clients run in virtual time.

  Scenario Outline: <scenario>: a new leader is found by all
    When the fleet goes through <scenario>
    Then no promise is broken

    Examples:
      | scenario                     |
      | reports_in_time_small_fleet  |
      | reports_in_time_large_fleet  |
      | heartbeat_held_until_elected |

  Scenario: Every guard of a large fleet that is switched off is noticed
    When each guard of a fleet is switched off
    Then each is noticed there
