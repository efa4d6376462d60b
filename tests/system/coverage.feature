Feature: Answers state their coverage truthfully and belong to their callers
  Guards against shards that are claimed without an answer, counted twice or left out without a
  reason, and against bytes that reach another caller. Each caller sends its own distinct queries,
  each hit carries the digest of its query, and hits and count are recomputed from the covered
  shards.

  Scenario: Answers of one failure domain are spoilt in each way in turn
    Given a proxied fleet of "norte" with service "logging"
    And answer callers that send distinct queries
    When the answers of one failure domain are spoilt in turn as
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
    Then no connection was used again after a spoilt answer
    And no answer claimed more or less than the shards it covers

  Scenario Outline: Searchers of <deployment> are lost, cut off, shedding, silent, slow or leaving
    Given a proxied fleet of "<deployment>" with service "<service>"
    And answer callers that send distinct queries
    When one failure domain suffers in turn
      | disturbance |
      | crash       |
      | cut         |
      | partition   |
      | shed        |
      | hang        |
      | late        |
      | pieces      |
      | leave       |
    Then no answer claimed more or less than the shards it covers

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
      | crash          | connect_failed    |
    Then no answer claimed more or less than the shards it covers
    And no query was refused as one that crashes servers
