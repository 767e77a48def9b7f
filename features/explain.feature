Feature: What happened to requests, from logs

  Scenario: The stages of requests come from the lines of many daemons
    Given the logs of an entry and of a holder of orders
    When they are explained
    Then the request that waited for a load shows 0.30 s and 0.20 s
    And the tables show fetches, refused placements and outcomes

  Scenario: One request is shown line by line
    Given the logs of an entry and of a holder of orders
    Then its lines name both daemons, and no other request's

  Scenario: Lines that are no events change nothing
    Given the logs of an entry and of a holder of orders
    When 100 random lines stand between theirs
    Then the same is explained

  Scenario: The page holds its plots in itself
    Given the logs of an entry and of a holder of orders
    When a page is written by the command line
    Then it holds three plots and no link
