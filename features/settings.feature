Feature: Checked settings
  All faults are reported together, each with the path of its setting.

  Scenario: Valid settings pass and defaults are filled in
    Given valid settings
    Then they are accepted
    And lease.lease_s is 3.0

  Scenario Outline: <key> set to <value> is refused at <path>
    Given valid settings
    When <key> is set to <value>
    Then the fault is at <path>

    Examples:
      | key                   | value              | path                |
      | name                  | 7                  | $.name              |
      | name                  | "a b"              | $.name              |
      | address               | "localhost:1"      | $.address           |
      | address               | "10.0.0.1:99999"   | $.address           |
      | replicas              | []                 | $.replicas          |
      | replicas              | ["nowhere"]        | $.replicas[0]       |
      | data_folder           | null               | $.data_folder       |
      | peer_token            | "short"            | $.peer_token        |
      | operator_tokens       | {"ops": "plain"}   | $.operator_tokens   |
      | routing               | "random"           | $.routing           |
      | lease                 | {"lease_s": 1.0}   | $.lease.heartbeat_s |
      | lease                 | {"lease_s": "3"}   | $.lease.lease_s     |
      | lease                 | {"lease_s": true}  | $.lease.lease_s     |
      | lease                 | {"leese_s": 3}     | $.lease             |
      | placement             | {"max_queue": 0}   | $.placement.max_queue |
      | placement             | {"policy": "x"}    | $.placement.policy  |
      | nonsense              | 1                  | $                   |

  Scenario: All faults are reported at once
    Given valid settings
    When name is set to "a b"
    And peer_token is set to "short"
    And routing is set to "random"
    Then there are 3 faults

  Scenario: Every setting is explained
    Then every setting has a meaning
