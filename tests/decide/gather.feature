Feature: Shard results are merged once and for one snapshot only
  Guards against shards that are counted twice because of replicas, hedges or late results, against
  hits of another snapshot or query, and against coverage that does not match the hits.

  Scenario: Any order of correct, repeated, mismatched and malformed results
    When random sequences of shard results are gathered
    Then the gathered answer equals the merge of the first correct result of each shard
