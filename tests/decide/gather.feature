Feature: Shard results are merged once and for one snapshot only
  Guards against shards counted twice over replicas, hedges and late results, against hits of
  another snapshot or query, and against coverage that does not match the hits.

  Scenario: Any order of right, repeated, crossed, mixed and malformed results
    When random sequences of shard results are gathered
    Then the gathered answer equals the merge of the first right result of each shard
