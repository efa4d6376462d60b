Feature: Each answer comes from one snapshot
  Guards against answers that mix index versions, and against queries that are left without a
  snapshot when a version is dropped. Hits and count carry the snapshot; the searchers record the
  snapshot of each run.

  Scenario Outline: Versions flip several times a second in <deployment>
    Given a small fleet of "<deployment>" with service "<service>"
    And answer callers that send distinct queries
    When the index version flips 4 times a second until 2000 queries were answered
    Then no answer mixed snapshots and each gap was named
    And no query was run against more than two snapshots
    And complete answers came from at least 6 versions

    Examples:
      | deployment | service         |
      | norte      | logging         |
      | nl-midden  | register-search |

  Scenario: Shards are repartitioned while queries run
    Given a small fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When the shards are repartitioned 12 times while slow queries run
    Then no answer mixed snapshots and each gap was named
    And no query was run against more than two snapshots

  Scenario: Some searchers keep only the old version and others only the new one
    Given a small fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When the replicas of each shard keep only the old or only the new version
    Then new queries are answered completely
    When no version is held for all shards
    Then new queries name the shards that lack the version as "snapshot_gone"
    And no answer mixed snapshots and each gap was named

  Scenario: A version goes away while its queries run
    Given a small fleet of "norte" with service "logging"
    When the version in use is dropped by all searchers
    Then each instance answers its next query completely from the other version after one new run
