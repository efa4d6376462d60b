Feature: A request that crashes servers does so only a few times
  Guards against a request that crashes one server after another, and against protection that
  affects other callers. The crashes that the searchers recorded are counted. At most 2 are allowed
  while the view does not change, and one more for each change of the coordinator.

  Scenario: A crashing query is sent again and again through every instance
    Given a small fleet of "nl-midden" with service "register-search"
    And every searcher crashes on a query that contains "poison"
    And answer callers that send distinct queries
    When the crashing query is sent 20 times through each instance, at first through all at once
    Then at most 2 crashes were recorded
    And no shard lost all of its searchers
    And the crashing query is refused as "request_blocked" by each instance
    And a changed query is answered completely by each instance
    And other callers still got complete answers
    And each answer reports exactly the shards that it covers

  Scenario: A crashing reservation is sent again and again with new keys
    Given a proxied fleet of 3 searchers of "sample-booking"
    And every searcher crashes on a query that contains "poison"
    When the crashing reservation is sent 12 times through each instance, at first at once
    Then at most 2 crashes were recorded
    And a changed reservation is done through each instance

  Scenario Outline: The coordinator of the trials of a crashing reservation is killed
    Given a proxied fleet of 3 searchers of "sample-booking"
    And every searcher crashes on a query that contains "poison"
    When the coordinator is killed at crash <count> and the reservation is resent for 8 s
    Then at most 3 crashes were recorded
    And a changed reservation is done through each instance

    Examples:
      | count |
      | 1     |
      | 2     |
