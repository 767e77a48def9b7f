Feature: Changes of the catalogue reach all daemons in time
  A change is in force at each daemon that reaches the replicas within 2.5 s
  of its acknowledgement, also while the leader is late.

  Scenario: No daemon obeys old routes for seconds while the leader is late
    When changes are made in these deployments
      | scenario                        |
      | leader_sheds_heartbeats         |
      | leader_answers_late             |
      | elections_in_series             |
      | all_daemons_start_at_once       |
      | huge_table_changes_often        |
      | one_replica_is_behind           |
      | named_versions_arrive           |
      | cut_off_daemon_keeps_its_routes |
      | replica_is_slow                 |
      | leader_is_lost_during_fetches   |
      | eighty_daemons_start_at_once    |
      | cut_off_entry_serves_what_it_knows |
      | random_obstructions             |
    Then no guarantee is violated

  Scenario: The routes of a daemon never go back, whoever sends them
    When 300 random orders of replies are tried
    Then no guarantee is violated

  Scenario: Every disabled guard of changes is detected
    When each guard of changes is disabled
    Then each disabled guard is detected
