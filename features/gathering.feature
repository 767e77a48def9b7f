Feature: Gathered placement calls
  Replicas that don't lead pass on the placement calls of a large deployment.
  Everything runs in virtual time; replicas, sessions and placement clients
  are real.

  Scenario Outline: <scenario>: requests are placed through other replicas
    When gathered calls run <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                   |
      | leader_carries_few_calls   |
      | few_daemons_call_directly  |
      | gatherer_killed            |
      | gatherer_silent            |
      | gatherer_cut_from_leader   |
      | leader_killed              |
      | leader_silent              |
      | callers_leave              |
      | leader_sheds_exchanges     |

  Scenario: Random faults of replicas leave no placement behind
    When replicas fail at random beside gathered calls
    Then no guarantee is violated

  Scenario: Every guard of gathered calls that is switched off is noticed
    When each guard of gathered calls is switched off
    Then each disabled guard is detected
