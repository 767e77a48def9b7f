Feature: Stateful fuzzing against a simple oracle
  Random histories mix commands of callers and operators with faults. A
  failing history is reduced to a minimal one and kept as a named scenario.

  Scenario: Random histories of the whole system keep every promise
    When 12 random histories of the system are tried
    Then every one agrees with the oracle

  Scenario: Random commands leave the catalogue as the model says
    When 150 random histories of the catalogue are tried
    Then every one agrees with the oracle

  Scenario: Random shares never pass a limit
    When 150 random histories of the ledger are tried
    Then every one agrees with the oracle

  Scenario: Random crashes of the log lose nothing that was synced
    When 80 random histories of the storage are tried
    Then every one agrees with the oracle
