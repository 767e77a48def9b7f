Feature: Entries that lost their links to the targets
  Callers and the other entries still reach such an entry, so callers keep
  sending their requests there.

  Scenario: Callers of an entry without a path to any target are served
    When links to targets are cut in served_past_a_cut
    Then no guarantee is violated
