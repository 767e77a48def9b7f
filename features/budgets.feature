Feature: Budgets of members over all daemons
  A budget limits the rate of a member's requests by their size. It holds in
  every window, and a member below it is not refused.

  Scenario Outline: <day>: the limit holds with 6, 59 and 191 daemons
    When a member has the day <day>
    Then no guarantee is violated

    Examples:
      | day                           |
      | calm                          |
      | hot                           |
      | hot_and_two_leaders_lost      |
      | hot_from_the_loss_of_a_leader |
      | hot_and_a_sixth_cut_off       |
      | hot_and_half_cut_off          |
      | limit_lowered_below_demand    |
      | hot_with_plain_calls          |

  Scenario: Every replaced guard of the budgets is detected
    When each guard of the budgets is replaced
    Then no guarantee is violated

  Scenario: A small member below its limit is hardly ever refused
    When a member of 4,200 a second is calm before 59 daemons
    Then no guarantee is violated
