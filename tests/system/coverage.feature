Feature: Answers report their coverage correctly and reach the right caller
  Guards against shards that are reported as covered without an answer, counted twice or missing
  without a reason, and against bytes that reach another caller. Each caller sends distinct queries,
  each hit carries the digest of its query, and the expected hits and count are computed from the
  covered shards.

  Scenario: Answers of one failure domain are spoilt in each way in turn
    Given a proxied fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When the answers of one failure domain have each of these faults in turn
      | fault          |
      | empty          |
      | truncated      |
      | malformed_json |
      | malformed_http |
      | other_request  |
      | other_shard    |
      | other_snapshot |
      | incomplete     |
      | missing_fields |
      | error          |
      | reset          |
      | repeated       |
    Then no connection was reused after a faulty answer
    And each answer reports exactly the shards that it covers

  Scenario Outline: Searchers of <deployment> are lost, cut off, shedding, silent, slow or leaving
    Given a proxied fleet of "<deployment>" with service "<service>"
    And answer callers that send distinct queries
    When one failure domain has each of these disturbances in turn
      | disturbance |
      | crash       |
      | cut         |
      | partition   |
      | shed        |
      | hang        |
      | late        |
      | pieces      |
      | leave       |
    Then each answer reports exactly the shards that it covers

    Examples:
      | deployment | service         |
      | norte      | logging         |
      | nl-midden  | register-search |

  Scenario: A shard without a good replica is named and the others are answered
    Given a proxied fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When both searchers of one shard fail in turn and the shard is named with the reason
      | fault          | reason            |
      | shed           | shedding          |
      | other_snapshot | snapshot_mismatch |
      | empty          | bad_answer        |
      | truncated      | connection_lost   |
      | malformed_http | connection_lost   |
      | hang           | deadline          |
    Then each answer reports exactly the shards that it covers
    And no query was refused as one that crashes servers

  Scenario: A shard whose searchers are down is named and the others are answered
    Given a proxied fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When both searchers of one shard fail in turn and the shard is named with the reason
      | fault | reason         |
      | crash | connect_failed |
    Then each answer reports exactly the shards that it covers
