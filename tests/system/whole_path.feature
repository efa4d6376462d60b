Feature: A query over all shards gets a complete answer
  Guards against a path that works only within one process; this one has real daemons, emulators and
  a balancer.

  Scenario Outline: Each service of <deployment> answers completely
    Given a fleet of "<deployment>" with 6 instances and all services
    When each service is queried through each instance and through the balancer
    Then each answer is complete and equals the merged results of all shards
    And no searcher recorded more work or connections than its row allows

    Examples:
      | deployment |
      | norte      |
      | nl-midden  |
