Feature: What must always hold
  Each scenario would violate a guarantee if the guard behind it were
  missing. The second scenario disables each guard in turn and checks that
  the scenario detects it.

  Scenario Outline: <scenario> breaks no promise
    When the scenario <scenario> runs
    Then no promise is broken

    Examples:
      | scenario                   |
      | exact_adapter              |
      | withdrawn_version          |
      | never_evicted              |
      | orphaned_runs              |
      | own_whole_answer           |
      | not_run_means_it           |
      | at_most_once               |
      | expired_keys               |
      | leaving_target             |
      | leaving_unlisted           |
      | planned_stop               |
      | changes_survive_power_loss |
      | changes_reach_cut_off      |
      | operators_race             |
      | frozen_owner               |
      | cut_off_owner              |
      | moving_targets             |
      | moving_leader              |
      | leave_at_dispatch          |
      | limits_over_all            |
      | limits_over_leaders        |
      | rate_over_all              |
      | runs_outlast_a_lease       |
      | runs_outlast_a_leader      |
      | waiting_past_a_lease       |
      | first_lease_lasts          |
      | shares_noted_before        |

  Scenario: Every guard that is switched off is noticed
    When each guard is switched off in its scenario
    Then each is noticed

  Scenario: A fixed part of the fault matrix passes
    When every 8th case of the fault matrix runs
    Then every case that reached its step passed
    And at least 40 cases reached their step
