Feature: Targets that run several versions of their software
  What two versions write doesn't fit together, so a stream goes on only at
  the version that began it.

  Scenario: A broken answer does not go on at another software version
    When streams are broken in goes_on_at_the_same_version
    Then no guarantee is violated

  Scenario: A caller's next attempt does not go on at another software version
    When streams are broken in resumed_after_its_entry_was_killed
    Then no guarantee is violated

  Scenario Outline: <scenario>
    When streams are broken in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                     |
      | none_left_of_the_version     |
      | granted_without_a_leader     |
      | relayed_by_a_neighbour       |
      | one_of_many_runs_the_version |
      | version_changes_under_its_id |
      | no_version_is_stated         |
