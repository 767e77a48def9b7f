Feature: Logs and metrics of elections, event loop lag, shed calls and work

  Scenario Outline: <scenario> is logged or counted
    When the logging scenario <scenario> runs
    Then its events and metrics are complete

    Examples:
      | scenario      |
      | lost_lead     |
      | refused_stand |
      | late_loop     |
      | shed_calls    |
      | steps_not_waits |
      | work_told     |
