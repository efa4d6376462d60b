Feature: Trials of non-idempotent requests at their coordinator
  Guards against several trials of a request at the same time, against lost servers that are not
  counted, and against requests that are refused or delayed needlessly.

  Scenario: One crashing request at each instance
    Given 3 instances that keep trials
    When the crashing request is sent 5 times through each instance at once
    Then it crashed 2 servers and the others were refused with "request_blocked request_blocked"

  Scenario: The coordinator does not answer
    Given 3 instances that keep trials
    When the coordinator does not answer and the crashing request is sent 3 times
    Then it crashed 1 servers and the others were refused with "request_suspect request_suspect"

  Scenario: No instance answers
    Given 3 instances that keep trials
    When neither the coordinator nor its standby answers and the request is sent 1 times
    Then it crashed 0 servers and the others were refused with "peer_unavailable"

  Scenario: The answer of the coordinator is lost
    Given 3 instances that keep trials
    When the answers of the coordinator are lost and the harmless request is sent twice
    Then both ran, and no instance counts a loss

  Scenario: The requesting instance fails during its trial
    Given 3 instances that keep trials
    When the requesting instance fails during its trial and another one asks with 4 s left
    Then the second trial begins when the lease of the first one has ended

  Scenario: A proven request
    Given 3 instances that keep trials
    When the harmless request is sent 5 times through one instance
    Then the coordinator was asked 1 times
