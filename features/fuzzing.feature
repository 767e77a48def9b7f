Feature: Stateful fuzzing against a simple oracle
  Random histories mix commands of callers and operators with faults. A
  failing history is reduced to a minimal one and kept as a named scenario.

  Scenario: Random histories of the whole system violate no guarantee
    When 12 random histories of the system are tried
    Then every one agrees with the oracle

  Scenario: The catalogue agrees with a model after random commands
    When 150 random histories of the catalogue are tried
    Then every one agrees with the oracle

  Scenario: Random shares never exceed a limit
    When 150 random histories of the ledger are tried
    Then every one agrees with the oracle

  Scenario: Random crashes of the log storage lose no synced entry
    When 80 random histories of the storage are tried
    Then every one agrees with the oracle
