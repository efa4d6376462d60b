Feature: Planned moves of ownership leave no gaps
  Guards against answers that miss shards although each of their servers has a former owner that
  is handing over, or a new one. The raised soft deadline leaves refusals as the only cause of
  missing shards.

  Scenario: A failure domain with an instance in it is taken out and returned
    Given a proxied fleet of 4 instances under load
    And a soft deadline of 900 ms for "logging"
    When row domains/torrelavega is taken out
    Then the new owners answer and no answer misses a shard for want of one
    When row domains/torrelavega is returned
    Then the new owners answer and no answer misses a shard for want of one
    And all answers were correct and no limit was exceeded

  Scenario: The weight of an instance becomes 0 and rises again
    Given a proxied fleet of 4 instances under load
    And a soft deadline of 900 ms for "logging"
    When the weight of instance "entry-2" is set to 0 under load
    Then instance "entry-2" is a member of the view and dispatches to no server
    And the new owners answer and no answer misses a shard for want of one
    When the weight of instance "entry-2" is set to 3 under load
    Then instance "entry-2" dispatches to more servers than with weight 1
    And the new owners answer and no answer misses a shard for want of one
    And all answers were correct and no limit was exceeded

  Scenario: An instance leaves on SIGTERM and joins again
    Given a proxied fleet of 4 instances under load
    And a soft deadline of 900 ms for "logging"
    When instance "entry-2" is stopped with SIGTERM and started again under load
    Then the new owners answer and no answer misses a shard for want of one
    And all answers were correct and no limit was exceeded
