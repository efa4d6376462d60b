Feature: Answers of a tail service at its soft deadline
  Guards against an early answer with very low coverage, and against a late one that adds little.

  Scenario Outline: The share of answered shards decides when the answer goes out
    Given a tail service of 20 shards, soft deadline 100 ms, that needs a share of <share>
    And <early> shards answer within 30 ms, one more each 50 ms after 150 ms
    When a query with a timeout of 1000 ms is sent
    Then the answer goes out after <ms> ms with <answered> shards and the rest named

    Examples:
      | share | early | ms   | answered |
      | 0.9   | 19    | 100  | 19       |
      | 0.9   | 17    | 150  | 18       |
      | 0.9   | 2     | 900  | 18       |
      | 0.0   | 2     | 100  | 2        |
      | 1.0   | 20    | 30   | 20       |
