Feature: On which version of its adapter a request begins
  A new version is in force within its bound, also with loads that end late,
  further versions, elections, queues at engines, and orders that are executed
  late.

  Scenario: No request begins on a version that was replaced 5 s ago
    When each version scenario runs
    Then no guarantee is violated

  Scenario: Requests begin in time though their queue can't be rejected
    When each scenario of a queue that is not rejected runs
    Then no guarantee is violated

  Scenario Outline: Callers are served while versions are replaced: <scenario>
    When the version scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                                   |
      | busy_copy_is_replaced                      |
      | load_of_old_version_not_awaited         |
      | replacement_after_election_holds_up_nobody |
      | replacement_of_queue_holds_up_nobody       |
      | replacements_leave_room                    |

  Scenario: Random histories keep the bound of versions
    When 40 random histories of versions, loads and elections are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of versions is noticed
    When each guard of versions is disabled
    Then each disabled guard is detected
