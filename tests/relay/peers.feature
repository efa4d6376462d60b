Feature: Instances gather for each other and share what they know
  Guards against a lost or silent instance that takes its shards with it, and against an instance
  that serves an old configuration because the store turns it away.

  Scenario: Shards of another failure domain are gathered there
    Given 20 shards with searchers in domain b, an instance in a and one in b
    When a client gathers at the instance in a
    Then the answer has 20 parts, misses 0 and holds the greatest records of its parts
    And the instance in a sent no request to a searcher

  Scenario: A killed instance does not take its shards with it
    Given 20 shards with searchers in domain b, an instance in a and one in b
    When the instance in b is killed and a client gathers at the instance in a
    Then the answer has 20 parts, misses 0 and holds the greatest records of its parts

  Scenario: A silent instance does not make the answer late
    Given 20 shards with searchers in domain b, an instance in a and one in b
    When the instance in b is silent and a client gathers at the instance in a
    Then the answer comes within the target of 118 ms and misses 0

  Scenario: An instance that the store turns away learns the configuration from another one
    Given 20 shards with searchers in domain b, an instance in a and one in b
    When the store turns the instance in a away and the configuration adds a route
    Then the instance in a serves the new route within 3 s

  Scenario: Instances that know different searchers keep to the attempts of a route together
    Given 20 shards with 3 searchers in domain b, an instance in a and one in b
    And all searchers hang
    And the instance in b does not know the first searcher of each shard
    When the instance in b is killed while it gathers for the one in a
    Then no request reached more than 2 searchers of a shard

  Scenario: A message that arrived while the instance was busy counts as in time
    Given 20 shards with searchers in domain b, an instance in a and one in b
    When the instance in a is busy for 50 ms while the first message of the one in b arrives
    Then the instance in a sent no request to a searcher

  Scenario: The instance that gathers avoids the searchers that it knows to be silent
    Given 20 shards with 3 searchers in domain b, an instance in a and one in b
    And two searchers of each shard hang
    When a client gathers 40 times at the instance in a
    Then the last 10 answers have 18 parts or more within the target of 118 ms

  Scenario: An instance asks around silent ones in turn
    Given 60 shards with searchers in domain b, an instance in a and three in b
    When the instances in b are silent and a client gathers at the instance in a
    Then it asked for 20 shards in any 5 ms at most
    And the answer comes within the target of 118 ms and misses 0

  Scenario: Parts that searchers refused to another instance count as asked
    Given 20 shards with searchers in domain b, an instance in a and one in b
    And all searchers shed
    When clients gather 10 times a second for 12 s
    Then no shard got more extra requests than its budget
