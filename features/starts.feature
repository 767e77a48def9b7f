Feature: Targets that start again under the name that they had
  A restart voids what is known of the target: its ledger, the requests
  counted there, its copies and its faults. The list of targets lags, and a
  start may have no start time.

  Scenario Outline: <scenario>: what is known is of this start
    When the starts go as in <scenario>
    Then no promise is broken

    Examples:
      | scenario                   |
      | restart_reported_by_engine |
      | restart_shown_by_list      |
      | restart_without_start_time |
      | same_start_listed_again    |
      | start_time_listed_late     |

  Scenario: Random loads with engines that start again keep the ledger true
    When 16 random loads with starts are tried
    Then no promise is broken

  Scenario: A start that was told stays in force, however old the list is
    When 300 random histories of starts are tried
    Then no promise is broken

  Scenario: Every guard of a start that is switched off is noticed
    When each guard of a start is switched off
    Then each is noticed there
