Feature: On which version of its adapter a request begins
  A new version is in force within its bound, whatever happens meanwhile:
  loads that end late, further versions, elections, queues at engines, and
  orders that are executed late.

  Scenario: No request begins on a version that was replaced 5 s ago
    When each version scenario runs
    Then no guarantee is violated

  Scenario: Calls for a busy adapter are served while its copies are replaced
    When the version scenario busy_copy_is_replaced runs
    Then no guarantee is violated

  Scenario: Requests don't wait for a load of an old version
    When the version scenario load_of_old_version_is_not_awaited runs
    Then no guarantee is violated

  Scenario: Random histories keep the bound of versions
    When 40 random histories of versions, loads and elections are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of versions is noticed
    When each guard of versions is disabled
    Then each disabled guard is detected
