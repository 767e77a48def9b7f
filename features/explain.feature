Feature: Analysis of requests from logs

  Scenario: The stages of a request come from the logs of several daemons
    Given the logs of an entry and of the holder of orders
    When the logs are analysed
    Then the request that waited for a load shows 0.30 s and 0.20 s
    And the tables show fetches, refused placements and outcomes

  Scenario: Adapters that are never served are listed
    Given the logs of an entry and of the holder of orders
    Then the adapter that is never served is listed with its outcomes

  Scenario: One request is shown line by line
    Given the logs of an entry and of the holder of orders
    Then its lines are those of both daemons and of no other request

  Scenario: Lines that are not events are ignored
    Given the logs of an entry and of the holder of orders
    When 100 random lines are inserted into each log
    Then the analysis is unchanged

  Scenario: The report page embeds its plots
    Given the logs of an entry and of the holder of orders
    When the command line writes a report page
    Then the page embeds three plots and has no link
