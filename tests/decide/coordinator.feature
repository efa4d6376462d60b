Feature: The coordinator of a fingerprint's trials
  Guards against more crashes than the bound when messages are lost, requesters die or coordinators
  change.

  Scenario: One coordinator that can be reached
    Then a crashing request crashes at most 2 servers while requesters die and reports are lost

  Scenario: Coordinators that change, restart or cannot be reached
    Then each change of the coordinator and each standby allows at most one more crash

  Scenario: A requester that dies
    Given a coordinator that granted a trial for 3 s
    Then another requester waits for 3 s, and the fingerprint is suspected after that

  Scenario: A report that overtakes its request
    Given a coordinator that got the report on a trial before the request for it
    Then it does not grant that trial, and another requester does not wait

  Scenario: A late report of success
    Given a coordinator that granted a trial for 3 s
    Then a success that is reported after 4 s does not clear the loss
