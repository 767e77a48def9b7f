Feature: Entries that lost their links to the targets
  Callers and the other entries still reach such an entry, so callers keep
  sending their requests there.

  Scenario: Callers of an entry without a path to any target are served
    When links to targets are cut in served_past_a_cut
    Then no guarantee is violated

  Scenario Outline: <scenario>
    When links to targets are cut in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario              |
      | goes_directly_again   |
      | lost_for_everybody    |
      | silent_for_a_second   |
      | some_links            |
      | all_entries_cut       |
      | caller_leaves         |
      | neighbour_stops       |
      | load_of_neighbours    |
      | sends_that_never_left |

  Scenario: Whatever is cut, a request runs at most once
    When 12 random histories of cuts are tried
    Then no guarantee is violated

  Scenario Outline: <scenario>
    When a request is relayed over HTTP in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                   |
      | pieces_pass_as_they_come   |
      | leaving_ends_the_run       |
      | neighbour_gives_up_in_time |
      | refusals_sent_nothing      |
      | errors_keep_their_types    |
