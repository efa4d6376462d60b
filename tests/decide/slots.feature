Feature: Slots in use
  Guards against a slot that is reused while the work that had it may still be running.

  Scenario: Random work
    Then random work, answers, cancellations and losses never put more work on a server than slots
