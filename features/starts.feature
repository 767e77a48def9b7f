Feature: Targets that restart under the same name
  A restart invalidates the state kept for a target: its ledger, the requests
  counted there, its copies and its faults. The instance list is updated with
  a delay, and may lack the start time of a target.

  Scenario Outline: Outdated state is discarded: <scenario>
    When targets restart as in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                   |
      | restart_reported_by_engine |
      | restart_shown_by_list      |
      | restart_without_start_time |
      | same_start_listed_again    |
      | start_time_listed_late     |

  Scenario: Ledger and engine agree when engines restart under load
    When 16 random loads with restarts are tried
    Then no guarantee is violated

  Scenario: A reported start stays in force although the list is older
    When 300 random histories of starts are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of restarts is detected
    When each guard of restarts is disabled
    Then each disabled guard is detected
