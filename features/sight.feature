Feature: Why a lead was lost can be read afterwards

  Scenario Outline: <scenario> is told
    When the sight scenario <scenario> runs
    Then its lines tell all

    Examples:
      | scenario      |
      | lost_lead     |
      | refused_stand |
      | late_loop     |
      | shed_calls    |
      | steps_not_waits |
      | work_told     |
