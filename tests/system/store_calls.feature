Feature: Calls to the store stay within its rates
  Guards against calls that grow too much with the fleet: the store takes about 2,000 reads and
  several hundred writes a second from 3,400 instances, and counts each call. Calls are counted from
  the store's record and from the connections through its proxy.

  Scenario Outline: A fleet of 5 while the store is <state>
    Given a fleet with routes of its own for each of 5 instances
    When the store is <state> for 10 s of its own clock
    Then the calls of each instance, times 3400, stay within the store's rates
    And the store is not written to, and each document has at most 2 watchers

    Examples:
      | state    |
      | quiet    |
      | refusing |
      | slow     |
      | hanging  |

  Scenario: All instances are restarted at once
    Given a fleet with routes of its own for each of 5 instances
    When all instances are killed and started again
    Then each instance took at most 20 reads and 4 writes

  Scenario Outline: All instances are restarted while the store is <state>
    Given a fleet with routes of its own for each of 5 instances
    When all instances are killed and started again while the store is <state>
    And 10 s of the store's own clock pass
    Then the calls of each instance, times 3400, stay within the store's rates
    And each instance has called the store and becomes ready once it answers

    Examples:
      | state    |
      | refusing |
      | slow     |
      | hanging  |
