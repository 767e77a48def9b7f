Feature: Logs and metrics of elections, replication, event loop lag and work

  Scenario Outline: <scenario> is logged or counted
    When the logging scenario <scenario> runs
    Then its events and metrics are complete

    Examples:
      | scenario           |
      | lost_leadership    |
      | refused_election   |
      | failed_replication |
      | blocked_loop       |
      | shed_calls         |
      | waits_not_counted  |
      | work_logged        |
