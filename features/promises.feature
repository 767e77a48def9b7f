Feature: Guarantees of the system
  Each scenario would violate a guarantee if the guard behind it were
  missing. The second scenario disables each guard in turn and checks that
  the scenario detects it.

  Scenario Outline: <scenario> violates no guarantee
    When the scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                   |
      | exact_adapter              |
      | withdrawn_version          |
      | no_eviction_while_serving  |
      | orphaned_runs              |
      | mixed_and_lost_chunks      |
      | reported_not_run           |
      | at_most_once               |
      | expired_keys               |
      | leaving_target             |
      | leaving_list_unreachable   |
      | planned_stop               |
      | changes_survive_power_loss |
      | changes_after_partition    |
      | operators_race             |
      | frozen_owner               |
      | cut_off_owner              |
      | targets_change_owner       |
      | leadership_transfers       |
      | disconnect_at_dispatch     |
      | limit_across_daemons       |
      | limit_across_leaders       |
      | rate_across_daemons        |
      | budget_across_daemons      |
      | runs_outlast_a_lease       |
      | runs_outlast_a_leader      |
      | waiting_as_lease_ends      |
      | first_lease_lasts          |
      | old_share_notes_readable   |

  Scenario: Every disabled guard is detected by its scenario
    When each guard is disabled in its scenario
    Then each scenario detects its disabled guard

  Scenario: A fixed sample of the fault matrix passes
    When every 8th case of the fault matrix runs
    Then every case that reached its step passed
    And at least 40 cases reached their step
