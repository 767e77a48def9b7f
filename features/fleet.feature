Feature: Large deployments
  Real replicas, sessions and placement clients run in virtual time.

  Scenario Outline: <scenario>: all daemons find a new leader
    When a large deployment runs <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                             |
      | reports_in_time_small                |
      | reports_in_time_large                |
      | heartbeat_held_in_election           |
      | heartbeat_held_until_leader_is_ready |

  Scenario: A waiting request costs the leader no decision for each other one
    When a large deployment runs decisions_per_request
    Then no guarantee is violated

  Scenario: Adapters that are rarely asked for are served beside hot ones
    When a large deployment runs rare_adapters_are_served
    Then no guarantee is violated

  Scenario: Rare adapters are not left out for the number of hot ones beside them
    When a large deployment runs rare_adapters_are_served_wide
    Then no guarantee is violated

  Scenario: Every guard of a large fleet that is switched off is noticed
    When each guard of a large deployment is switched off
    Then each disabled guard is detected
