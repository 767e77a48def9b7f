Feature: Targets that restart under the same name
  A restart makes the record of the target obsolete: its orders, the requests
  counted there, its copies and its faults. The list of targets lags, and the
  start time of a target may be unknown.

  Scenario Outline: A record covers one start of its target: <scenario>
    When the restart scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                 |
      | start_reported_by_engine |
      | start_shown_by_list      |
      | no_start_time            |
      | same_start_listed_again  |
      | start_listed_late        |

  Scenario: Engines that restart under random load are never overfilled
    When 16 random loads with restarts are tried
    Then no guarantee is violated

  Scenario: A stale list never brings back an earlier start
    When 300 random histories of restarts are tried
    Then no guarantee is violated

  Scenario: Every disabled guard against obsolete starts is noticed
    When each guard against obsolete starts is disabled
    Then each disabled guard is detected
