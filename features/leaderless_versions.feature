Feature: Versions at an entry that finds no leader
  Requests may begin on an older version of an adapter for 5 s.

  Scenario Outline: <scenario>: no request is placed on an outdated version
    When an entry without a leader runs <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                     |
      | leader_sheds_place_calls     |
      | engine_reports_newer_version |
      | entry_comes_back             |
      | survey_ends_after_return     |
      | grants_arrive_late           |

  Scenario: Every guard of versions without a leader is noticed
    When each guard of versions without a leader is switched off
    Then each disabled guard is detected
