Feature: Slow start after a cold start
  Guards against more work than a cold server can take, and against a slow start that never ends.

  Scenario: Random answers
    Then a random ramp stays within its bounds and grows only after fast answers

  Scenario: A warm searcher turns slow
    Then the 8th slow answer from a warm searcher shows that it is cold
