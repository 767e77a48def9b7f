Feature: Logs and metrics of elections, event loop lag, shed calls and work

  Scenario Outline: <scenario> is logged or counted
    When the logging scenario <scenario> runs
    Then its events and metrics are complete

    Examples:
      | scenario           |
      | lost_leadership    |
      | refused_election   |
      | event_loop_lag     |
      | shed_calls         |
      | work_without_waits |
      | work_logged        |
