Feature: The entry merges the results of one snapshot
  Guards against wrong coverage, mixed snapshots and shards counted twice when results are lost,
  late, duplicated, swapped or malformed.

  Scenario Outline: Coverage is accurate under faulty results
    When 700 queries meet faulty results under policy "<policy>"
    Then each answer is the exact merge of the shards that it says it covers
    And full and partial answers of both snapshots occurred
    And no sub-request is counted as outstanding

    Examples:
      | policy   |
      | tail     |
      | coverage |

  Scenario: Stray results change nothing
    Guards against results of other queries, shards or searchers that end or replace a sub-request.
    Given owners that send stray results before each right one
    When 20 queries run one after the other under policy "coverage"
    Then each answer is complete and nothing is retried

  Scenario Outline: A query without any result says truly whether it may have run
    Guards against outcome not_run or status 503 for a query that servers may have run.
    When a query gets <reason> from all shards
    Then the query fails with "<code>" and outcome "<ran>"
    And its status is <status>

    Examples:
      | reason                              | code            | ran     | status |
      | nothing                             | deadline        | unknown | 504    |
      | connection_lost                     | connection_lost | unknown | 502    |
      | draining                            | draining        | not_run | 503    |
      | no_quorum                           | no_quorum       | not_run | 503    |
      | connection_lost once, else draining | draining        | unknown | 504    |

  Scenario: Hedges stay within the budget while replicas straggle
    Given owners of which 5 in 100 sub-requests straggle
    When 400 queries run one after the other under policy "tail"
    Then there are hedges, and hedges and retries stay within 2% and a burst of 10
    And the slower sub-requests of hedged shards are cancelled

  Scenario: No hedges or retries are sent into an overloaded service
    Given owners that straggle and refuse one sub-request in ten as shedding
    When 200 queries run one after the other under policy "tail"
    Then at most 20 hedges and retries are sent, all of them before the overload was detected

  Scenario Outline: A refusal by one replica is retried on the other
    Given a shard whose first replica answers <reason> and whose second one answers
    When 50 queries run one after the other under policy "<policy>"
    Then 50 answers miss nothing

    Examples:
      | reason          | policy   |
      | draining        | tail     |
      | no_owner        | tail     |
      | connection_lost | tail     |
      | draining        | coverage |
      | connection_lost | coverage |

  Scenario: Policy coverage tries all replicas again within the deadline
    Given a shard whose replicas refuse as draining for the first 5 times
    When 1 queries run one after the other under policy "coverage"
    Then 1 answers miss nothing

  Scenario: Policy tail answers without a shard whose replicas all refused
    Given a shard whose replicas refuse as draining for the first 5 times
    When 1 queries run one after the other under policy "tail"
    Then each answer misses only shard "h3" with reason "draining"

  Scenario: A silent shard is reported as missing at the deadline
    Given a shard whose replicas do not answer
    When 3 queries run one after the other under policy "coverage"
    Then each answer misses only shard "h3" with reason "deadline"

  Scenario: An owner that cannot be reached is avoided from the next query on
    Guards against a failed instance for which each query tries every one of its servers.
    Given an owner "b" that cannot be reached
    When 15 queries run one after the other under policy "tail"
    Then 15 answers miss nothing
    And only the first query asks owner "b"

  Scenario: A long query asks again when its sub-requests have expired
    Guards against sub-requests that still run after a takeover, and against an owner without an
    answer that blocks a shard until the deadline of the query.
    Given owners of shard h3 that are silent until a query has waited 1 s
    When a query of 5 s runs under policy coverage
    Then 1 answers miss nothing
    And no sub-request has more than 2 s

  Scenario: A query restarts once with the snapshot that most shards hold
    Guards against answers that mix snapshots, and against queries that keep using a lost snapshot.
    Given searchers that no longer hold snapshot "v2" of shard "h3"
    When 10 queries run one after the other under policy "tail"
    Then each answer covers all shards of snapshot "v1"
    And at most 5 messages name snapshot "v2"

  Scenario: A query that cannot restart may have run before
    Guards against outcome not_run and status 503 for a query that ran against another snapshot.
    Given searchers that no longer hold snapshot "v2" of shard "h3"
    When a query finds no catalog when it restarts
    Then the query fails with "not_ready" and outcome "unknown"
    And its status is 504

  Scenario Outline: A request that crashes servers is stopped by its canaries
    Guards against a fan-out that crashes all servers at once.
    Given a request that crashes each server that runs it, and owners that <memory> it
    When it is sent <count> times through 3 instances, between other requests
    Then 2 servers crash and each sending is refused as request_blocked
    And all other requests are answered in full

    Examples:
      | memory | count |
      | block  | 30    |
      | forget | 1     |

  Scenario: Overload does not displace a tenant within its share
    Given servers for 2 queries at a time that refuse more than 8 waiting ones
    When two tenants offer 1.6 and 0.4 of the capacity for 4 seconds
    Then 95% of the capacity are full answers, and of the light tenant's queries 90%

  Scenario Outline: Queues lower the limit only where no replica of the shard is free
    Guards against queries refused by admission while only some replicas of a service are slow.
    Given owners in whose queues searchers ending in "<slow>" let work wait
    When 60 queries run one after the other under policy "coverage"
    Then the admission limit <change>

    Examples:
      | slow | change         |
      | /0   | has not fallen |
      | 0 1  | has fallen     |

  Scenario Outline: Rows that are out get no work from the next query on
    Guards against new work for a server, failure domain or owner that was taken out of service.
    When row "<name>" of <kind> is taken out between 30 and 30 queries
    Then servers with number <rest> modulo <divisor> get work before and none after it

    Examples:
      | kind      | name | rest | divisor |
      | servers   | s4   | 4    | 20      |
      | domains   | east | 2    | 3       |
      | instances | b    | 1    | 3       |
