Feature: Capacity that remains after a row is taken out
  Guards against taking out the last replica of a shard without a warning, and against a wrong load
  factor for the remaining servers.

  Background:
    Given the operators' sample table
    And shard "a" of "logging" on "log-1/0, log-2/0" and shard "b" on "log-1/1"

  Scenario: A failure domain is taken out
    When the capacity without "domains" "oviedo" is computed
    Then the capacity of "logging" in "*" goes from 12 to 8 with factor 1.5
    And the capacity of "logging" in "oviedo" goes from 4 to 0 with factor none
    And the instances of "oviedo" go from 1 to 0
    And a warning says "shard b of snapshot s1 loses its last replica"
    And no warning says "shard a"

  Scenario: Taking out a server that is already out changes nothing
    When the cell "servers" "log-1" "state" is forced to "out"
    And the capacity without "servers" "log-1" is computed
    Then the capacity of "logging" in "*" goes from 8 to 8 with factor 1.0
    And no warning says "shard"

  Scenario: The server with the last slots of a service is taken out
    When the capacity without "servers" "book-1" is computed
    Then a warning says "service booking keeps no slot"

  Scenario: The last instance is taken out
    When the cell "instances" "entry-2" "state" is forced to "out"
    And the capacity without "instances" "entry-1" is computed
    Then a warning says "no instance remains in service"

  Scenario: A tenant cannot be taken out
    Then the capacity without "tenants" "museum" fails with "bad_request"
