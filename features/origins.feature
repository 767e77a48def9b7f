Feature: What is known of where streams began outlives leaders and entries
  A stream goes on only at the software version that began it, whoever is
  lost meanwhile.

  Scenario Outline: <scenario>
    When streams are taken up in <scenario>
    Then no guarantee is violated

    Examples: the versions that there are, and have been
      | scenario                                         |
      | resumed_late_after_its_version_left              |
      | one_version_and_all_processes_lost               |
      | version_is_forgotten                             |
      | no_stream_begins_before_its_version_is_committed |
      | longer_patience_than_can_be_told                 |
      | route_leads_elsewhere                            |

    Examples: records of streams
      | scenario                                    |
      | leader_and_entries_lost_beside_two_versions |
      | lost_right_after_streams_began              |
      | leader_is_cut_off                           |
      | holder_of_a_group_is_lost                   |
      | granted_again_at_another_version            |
      | granted_again_after_a_lost_reply            |
      | moved_streams_are_bounded                   |
      | moved_streams_are_kept                      |

  Scenario: Every disabled guard of what outlives a leader is noticed
    When each guard of stream origins is disabled
    Then each disabled guard is detected
