Feature: Graceful shutdown
  Guards against requests that a graceful shutdown cuts off while the balancer still sends, requests
  that run twice while their coordinator changes, and a process that exits before its backend
  servers have other owners.

  Scenario: A rolling replacement of all nine instances loses nothing
    Given a fleet of "norte" with 9 instances, one more name and services "logging, sample-booking"
    And a few callers that send through the balancer
    When each instance in turn is stopped with SIGTERM after a new one has joined
    Then all nine processes of the beginning have ended and nine others run
    And no request was cut off and every answer was correct
    And at each exit all backend servers had other owners
    And each stop ended with status 0, within 15 s, with each phase done
    And the balancer still sent to each instance after its SIGTERM
    And every answer was correct, no key ran twice and no limit was exceeded
