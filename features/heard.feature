Feature: Targets that report that they are leaving or paused
  The instance list is updated with a delay. The state that a target reports
  in a response therefore applies at once.

  Scenario Outline: <scenario>: entries obey what targets report
    When targets report that they are leaving or paused in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                         |
      | leaving_reported_before_list     |
      | leaving_while_cut_off            |
      | leaving_across_leader_change     |
      | next_incarnation_gets_requests   |
      | paused                           |
      | forty_daemons_paused             |
      | all_targets_paused               |
      | all_targets_paused_past_deadline |
      | paused_without_leader            |
      | leaving_before_place_is_granted  |
      | short_pause_is_waited_out        |
      | long_pause_is_avoided            |
      | random_events_with_six_seeds     |

  Scenario: Every disabled guard of what targets report is detected
    When each guard of what targets report is disabled
    Then each disabled guard is detected
