Feature: Targets that report that they are leaving or paused
  The instance list lags, so what a response says of the target that sent it
  applies at once.

  Scenario Outline: <scenario>: entries obey what targets report
    When targets report that they are leaving or paused in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | leaving_ahead_of_the_list      |
      | leaving_while_cut_off          |
      | leaving_across_leader_change   |
      | next_incarnation_gets_requests |
      | paused                         |
      | paused_for_forty_entries       |
      | all_paused                     |
      | all_paused_for_long            |
      | paused_without_leader          |
      | leaving_during_placement       |
      | short_pause_is_waited_out      |
      | long_pause_is_avoided          |
      | random_events                  |

  Scenario: Every disabled guard of what targets report is noticed
    When each guard of what targets report is disabled
    Then each disabled guard is detected
