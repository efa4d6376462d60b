Feature: Graceful shutdown
  Guards against requests that are cut off by a planned stop while the balancer still sends.

  Scenario: A rolling replacement of all instances loses nothing
    Given a fleet of "norte" with 4 instances and services "logging, sample-booking"
    And callers that send through the balancer
    When each instance in turn is stopped with SIGTERM and started again
    Then each stop ended with status 0 and was drained in time
    And no request was cut off and every answer was true
    And every answer was true, no key ran twice and no limit was exceeded
