Feature: An accepted edit takes effect on every instance and is never reverted
  Guards against lost edits, against instances that keep an old table after a store outage or a
  restart, and against tables that go back to an older revision. The calls and values that the
  store recorded show what was accepted.

  Scenario: Two operators edit at the same moment
    Given a fleet with routes of its own for each of 3 instances
    When two operators change different rows at the same moment
    Then both edits are accepted and in force on each instance
    When two operators change the same cell at the same moment
    Then one edit is accepted and the other operator is told what was written

  Scenario: Instances that are cut from the store get an edit from their peers
    Given a fleet with routes of its own for each of 4 instances
    When all instances but "entry-3" are cut from the store
    And an operator changes a cell through "entry-3"
    Then the edit is in force on each instance within 7 s

  Scenario: A restarted instance that reads old data from the store does not use it
    Given a fleet with routes of its own for each of 3 instances
    When an operator changes a cell through "entry-1"
    And instance "entry-2" is killed
    And the store has the state before that edit and is reached by "entry-2" only
    And messages between the instances are late
    And instance "entry-2" is started until it is ready
    Then no ready instance has ever had an older table than the accepted one
    When all routes work again
    Then the store has the accepted table again

  Scenario: The store goes down, loses an accepted edit and returns
    Given a fleet with routes of its own for each of 3 instances
    When an operator changes a cell through "entry-1"
    And the store goes down and returns with the state before that edit
    Then the store has the accepted table again
    And no ready instance has ever had an older table than the accepted one

  Scenario: A new instance starts while the store is down
    Given a fleet with routes of its own for each of 4 instances, without "entry-4"
    When an operator changes a cell through "entry-1"
    And the store refuses all connections
    And the platform's list is down as well
    And instance "entry-4" starts without any source of a table
    Then the instance without a table is not ready
    When the platform's list returns
    Then the instance without a table becomes ready with the accepted table while the store is down

  Scenario Outline: A write takes effect without an answer that reaches the instance
    Given a fleet with routes of its own for each of 3 instances
    When the store answers the next edit with <loss> after it took effect
    And an operator changes a cell through "entry-2"
    Then the edit was read back, is stored once and is in force on each instance

    Examples:
      | loss    |
      | silence |
      | reset   |

  Scenario: A write without an answer is lost from sight in an outage
    Given a fleet with routes of its own for each of 3 instances
    When the store applies an edit through "entry-2", answers nothing and goes down
    Then the operator is told that the outcome is unknown
    When the store returns with the edit
    Then the edit is in force on each instance
