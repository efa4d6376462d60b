Feature: Fingerprints of proven queries
  Guards against canaries of one fingerprint that reach several owners, and against unbounded memory.

  Scenario: All instances order the canary targets alike
    When random replicas are ordered for a fingerprint in any order
    Then the order depends on the fingerprint and the names only

  Scenario: A success counts for a bounded time
    When a fingerprint succeeds
    Then it is proven for 600 s unless it is forgotten
