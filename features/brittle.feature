Feature: Targets that fall over when they must reject too much
  A target says in its answers how many rejections within a second it bears.

  Scenario: Brittle targets seldom fall over though callers press
    When brittle targets are used in pressed_while_brittle
    Then no guarantee is violated

  Scenario: Brittle targets seldom fall over though callers repeat at once
    When brittle targets are used in repeated_while_brittle
    Then no guarantee is violated

  Scenario Outline: <scenario>
    When brittle targets are used in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                 |
      | usual_while_brittle      |
      | pressed_again_when_sound |
