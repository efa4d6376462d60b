Feature: Slots in use
  Guards against a slot that is given out again while its former work may still run.

  Scenario: Random work
    Then random work, answers, cancellations and losses never put more work on a server than slots
