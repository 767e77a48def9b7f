Feature: Tokens of members
  Scenario Outline: <property>
    Then the property <property> holds

    Examples:
      | property         |
      | table_is_checked |
      | header_is_parsed |
