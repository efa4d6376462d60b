Feature: The quorum lease and the view document
  Guards against a lease that lasts longer than the acknowledgements of a majority allow.

  Scenario: A lease starts when the acknowledged heartbeats were sent
    Given a quorum lease of epoch 4 with 5 members
    When heartbeat 1 is sent at 10.0
    And member 1 acknowledges heartbeat 1 of epoch 4
    Then the lease does not hold at 10.1
    When member 2 acknowledges heartbeat 1 of epoch 4
    Then the lease holds at 11.9
    And the lease does not hold at 12.0

  Scenario: Repeated acknowledgements, other epochs and unknown processes make no majority
    Given a quorum lease of epoch 4 with 5 members
    When heartbeat 1 is sent at 10.0
    And member 1 acknowledges heartbeat 1 of epoch 4
    And member 1 acknowledges heartbeat 1 of epoch 4
    And member 2 acknowledges heartbeat 1 of epoch 3
    And member 9 acknowledges heartbeat 1 of epoch 4
    And member 2 acknowledges heartbeat 7 of epoch 4
    Then the lease does not hold at 10.1

  Scenario: A lease that was kept across a change of the view expires in time
    Given a quorum lease of epoch 4 with 1 members
    Then the lease holds at 1000.0
    When epoch 5 with 2 members is adopted at 1000.0 and the lease kept
    Then the lease holds at 1001.9
    And the lease does not hold at 1002.0

  Scenario: A process outside the view has no lease
    Given a quorum lease of epoch 4 with 1 members
    When epoch 5 without this process is adopted at 1000.0
    Then the lease does not hold at 1000.0

  Scenario: A view is equal after encoding and decoding
    When a view with departed members and history is encoded and decoded
    Then the decoded view is equal to it

  Scenario: A view with equal weights can be read by an earlier version
    When a view with departed members, history and equal weights is encoded
    Then members have 4 fields, earlier views 3 and the view at most 6
    And the decoded view is equal to it

  Scenario: A view of an earlier version is read with equal weights
    When a view without weights, as written by an earlier version, is decoded
    Then each weight in it is 1
