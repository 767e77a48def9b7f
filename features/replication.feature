Feature: What replicas send each other, keep and read is bounded in bytes

  Scenario: Batches are bounded in number and in bytes
    Then batches hold all items within their bounds

  Scenario: A snapshot is due by the number or the size of entries
    Then snapshots are due in time

  # Guards against a log that fills memory and disk between two snapshots.
  Scenario: The log of large changes is bounded
    When the replication scenario log_of_large_changes_is_bounded runs
    Then no guarantee is violated

  # Guards against a log that grows without bound after a leader was lost.
  Scenario: A snapshot that was not received whole delays no compaction
    When the replication scenario abandoned_snapshot_delays_no_compaction runs
    Then no guarantee is violated

  # Guards against a leader that is lost because all others compact at once.
  Scenario: Replicas compact their logs at different times
    When the replication scenario replicas_compact_at_different_times runs
    Then no guarantee is violated

  Scenario: The log counts the bytes of its entries
    Then the log counts its bytes

  # Guards against changes that are accepted faster than they are committed.
  Scenario: Large changes are refused while replicas are behind
    When the replication scenario accepted_changes_are_bounded runs
    Then no guarantee is violated

  # Guards against pieces of the state that take longer than their timeout.
  Scenario: A daemon behind a slow link gets a catalogue of large entries
    When the replication scenario state_of_large_entries_reaches_slow_daemon runs
    Then no guarantee is violated

  # Guards against a start whose time grows with the square of a record.
  Scenario: A torn large record does not delay the start
    When the replication scenario torn_large_record_is_read runs
    Then no guarantee is violated

  # Guards against calls that the receiver never accepts, with entries or with
  # a piece of a snapshot.
  Scenario Outline: Large entries: <scenario>
    When the replication scenario <scenario> runs
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | replaced_replica_catches_up    |
      | replica_returns_during_changes |
      | large_entry_is_sent_alone      |
      | snapshot_of_large_lines        |

  Scenario: Every disabled bound of replication is detected
    When each bound of replication is disabled
    Then each disabled guard is detected
