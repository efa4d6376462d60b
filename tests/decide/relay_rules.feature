Feature: Decisions about relayed requests

  Scenario: Any sequence of requests of a split route is divided close to the weights
    Then splits with random weights are within one request of each weight's share

  Scenario: The greatest records of all parts are merged, greatest first
    Then random parts merge to the greatest records of all parts in order

  Scenario: An incomplete record at the end of a part is ignored
    Then a part with 7 more bytes than whole records counts as without them

  Scenario Outline: The minimum share determines the minimum number of parts
    Then of <shards> shards with a minimum share of <share>, <parts> parts are needed

    Examples:
      | shards | share | parts |
      | 20     | 0.89  | 18    |
      | 20     | 0.75  | 15    |
      | 30     | 0.89  | 27    |
      | 90     | 0.95  | 86    |
      | 1      | 1.0   | 1     |
      | 3      | 0.0   | 1     |

  Scenario: The hedge delay is a multiple of the median latency, also for a slow searcher
    Then a searcher that needs 200 ms at a median of 10 ms gets a hedge delay of 16 ms
    And no hedge is sent before 6 ms

  Scenario: A response is sent before the target, with time to reach the client
    Then with a round trip of 2 ms a response with a target of 118 ms is due after 104 ms
    And with a round trip of 6 ms a response with a target of 50 ms is due after 38 ms
    And on a new connection with a round trip of 6 ms one with a target of 50 ms is due after 32 ms

  Scenario Outline: An instance with a busy processor plans to answer earlier to meet the target
    When 200 gathers with a target of 58 ms are due at an instance that acts <lag> late
    Then at least <share> of the last 150 reach the caller within the target, after <least> ms at least

    Examples:
      | lag                                     | share | least |
      | 0 to 1 ms                               | 1.0   | 48    |
      | 4 to 8 ms                               | 0.9   | 36    |
      | 0 to 1 ms, and 40 ms one time in twenty | 0.9   | 46    |

  Scenario Outline: An instance with <cores> cores plans for its own work to meet the target
    When 200 gathers with a target of 58 ms are due at an instance with <cores> cores
    Then at least 1.0 of the last 150 reach the caller within the target, after <least> ms at least

    Examples:
      | cores | least |
      | 0.5   | 48    |
      | 1.0   | 48    |
      | 2.0   | 46    |

  Scenario: A cold searcher gets no more than its rate from the whole fleet
    When 1 to 90 instances send to a cold searcher as often as they are allowed to
    Then no second has more requests than the rate, the overshoot and the slack allow

  Scenario: An entry that expired during a store outage is kept until two seconds after the outage
    Then an entry that is missing 0.1 s after a store outage may be used for 1.9 s more
    And an entry that is missing during a store outage may be used for 2.0 s more
    And with a drain of 1.5 s an entry that is missing long after that may be used for 0.8 s more

  Scenario: Only a request that cannot have run is refused with a Retry-After
    Then a request that was shed gets 503 and a Retry-After
    And a request that may have run gets 502 and none
    And a request whose deadline has passed gets 504 and none

  Scenario: No response states that a request has not run if it may have run
    Then of all statuses 408, 421, 429 and 503 are replaced for a request that may have run
    And none is replaced for a request that has not run

  Scenario: Shards without a searcher in the own domain are handed to an instance in theirs
    Given 20 shards of which 7 have searchers in domain b only
    When an instance in domain a plans them with 3 instances in domain b
    Then it gathers 13 itself and hands 7 to one of the 3

  Scenario: The searcher that two instances may ask is in the domain where the part is gathered
    When 1000 requests choose a searcher of a shard that is gathered in domain b
    Then each has the searcher in domain b

  Scenario: If that domain has no searcher, requests spread over the others
    When 1000 requests choose a searcher of a shard that is gathered in domain d
    Then each of the 3 searchers is chosen for a fifth of them at least

  Scenario: Few remote shards are asked directly
    Given 20 shards of which 4 have searchers in domain b only
    When an instance in domain a plans them with 3 instances in domain b
    Then it gathers 20 itself and hands 0 to one of the 0

  Scenario: Nothing is handed over while no other instance is known
    Given 20 shards of which 7 have searchers in domain b only
    When an instance in domain a plans them with 0 instances in domain b
    Then it gathers 20 itself and hands 0 to one of the 0

  Scenario: All instances of a domain divide many shards between them in the same way
    Given 90 shards with searchers in domain a
    When each of 9 instances in domain a plans them
    Then no one gathers more than 10 of them, and each shard has an instance that gathers it

  Scenario Outline: The number of instances that gather follows the rate of queries
    Given 87 shards with searchers in domains a and b
    When 39 instances in each of 5 domains plan them at <rate> queries a second
    Then <least> to <most> instances gather in all, each group has 2 of them, and none more than <groups> groups

    Examples:
      | rate | least | most | groups |
      | 0    | 30    | 36   | 1      |
      | 16   | 30    | 36   | 1      |
      | 70   | 70    | 72   | 1      |
      | 600  | 78    | 78   | 2      |

  Scenario: Instances without searchers at home use all domains that have them
    Given 87 shards with searchers in domains a and b
    When 39 instances in each of 5 domains plan them at 16 queries a second
    Then the instances of c, d and e hand a third of the groups to domain a and to domain b at least

  Scenario Outline: Fast instances gather several groups each, so that few messages are sent
    Given 129 shards with searchers in domain a
    When 40 instances in domain a, of which 3 have <fast> times the speed of the others, plan them
    Then <least> to <most> instances are the first to gather, none for more than <groups> groups
    And each group has another instance if the first one fails, <all> at most in all

    Examples:
      | fast | least | most | groups | all |
      | 4    | 4     | 4    | 4      | 5   |
      | 100  | 4     | 4    | 4      | 5   |
      | 1    | 13    | 13   | 1      | 26  |

  Scenario: A gathering instance that leaves moves few groups
    Given 87 shards with searchers in domains a and b
    When 39 instances in each of 5 domains plan them, and again without one of them
    Then at most 4 of 36 places of gathering instances change

  Scenario: A shard whose searcher fails for a time moves no other shard
    Given 87 shards with searchers in domains a and b
    When 39 instances in each of 5 domains plan them, and again while a searcher of a shard is paused
    Then no other shard is gathered by other instances

  Scenario: A small fleet gathers a single group where it is asked
    Given 20 shards with searchers in domains a and b
    When 3 instances in each of 2 domains plan them at 30 queries a second
    Then each instance gathers all 20 shards itself

  Scenario: The hashes of searcher names reach the other instance unchanged
    When the searchers of 1 to 30 shards are packed and unpacked
    Then each shard has the hash of its searcher

  Scenario: Each instance knows how many others ask for its shards
    When 14 to 30 instances in each of 3 domains divide 45 to 135 shards
    Then each states the number of instances that ask for a shard, or up to 3 more

  Scenario: The shortest duration is that of the work of the last one to two seconds
    When work of random times ends at random moments
    Then the shortest time is that of the last second or shorter, and never of more than 2 s ago
