Feature: Access to a running instance
  Guards against metrics without access control and against a replaced token that still works.

  Scenario: Metrics need their scope, and a replaced token file takes effect without a restart
    Given a fleet of "norte" with 1 instances and services "logging"
    Then the caller interface has probes but no metrics, and the administration interface has them
    When the token file of the fleet gets a new token
    Then the new token is admitted and the old one refused on the running instance
