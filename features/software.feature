Feature: Targets that run several versions of their software
  What two versions write doesn't fit together, so a stream goes on only at
  the version that began it.

  Scenario: A broken answer does not go on at another software version
    When streams are broken in goes_on_at_the_same_version
    Then no guarantee is violated

  Scenario: A caller's next attempt does not go on at another software version
    When streams are broken in resumed_after_its_entry_was_killed
    Then no guarantee is violated

  Scenario: A stream resumed after all entries were killed does not go on at another software version
    When streams are broken in resumed_late_in_its_callers_time
    Then no guarantee is violated

  Scenario Outline: <scenario>
    When streams are broken in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                        |
      | none_left_of_the_version        |
      | granted_late                    |
      | granted_without_a_leader        |
      | relayed_by_a_neighbour          |
      | one_of_many_runs_the_version    |
      | version_changes_under_its_id    |
      | lists_of_different_age          |
      | began_at_an_unknown_version     |
      | no_version_is_stated            |
      | resumed_after_its_entry_stopped |
      | stream_of_another_member        |
      | resumed_a_third_time            |
      | entry_of_the_stream_lives       |
      | nobody_knows_the_stream         |
      | first_entry_and_leader_are_lost |
      | all_entries_killed_while_versions_change |
      | grant_is_lost_on_its_way        |
      | later_term_counts               |
      | table_is_bounded                |
      | version_is_gone                 |
      | one_version_for_long            |
      | cut_off_from_the_core           |
      | other_pool_of_the_route         |
      | new_streams_pass_resumed_ones   |

  Scenario: Resumed streams go on at least half as often as new ones begin
    When streams are broken in goes_on_as_often_as_others_begin
    Then no guarantee is violated

  Scenario: Whatever is lost, no stream holds events of two software versions
    When 24 random histories of releases and losses are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of software versions is noticed
    When each guard of software versions is disabled
    Then each disabled guard is detected
