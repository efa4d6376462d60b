@alone
Feature: Slow start of cold backend servers
  Guards against full load on a server that has just started, however the start becomes known, and
  against bursts of new connections. A cold searcher has one slot, and one more after each 8
  requests; it records each request above that as a violation.

  Scenario Outline: <count> servers <event> <times> times
    Given a fleet whose searchers have 4 slots, 1 when cold
    When <count> servers <event> <times> times
    Then no cold searcher got more work than its table row allows

    Examples:
      | count | event            | times |
      | 1     | crash            | 5     |
      | 4     | crash            | 2     |
      | 2     | leave and return | 1     |

  Scenario: Servers become cold without saying so
    Given a fleet whose searchers have 4 slots, 1 when cold
    When 2 servers become cold unannounced 2 times
    Then each searcher shed at most 4 requests for each cold start that it did not announce

  Scenario: New connections are paced
    Given a fleet whose searchers have 6 slots, 6 when cold
    When 2 servers crash 2 times
    Then no cold searcher got more work than its table row allows
    And new connections were spaced by the connection cost in the table row
