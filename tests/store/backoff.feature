Feature: Pauses between calls that the store does not answer
  Guards against a fleet that overruns the store's rates during an outage or right after it.

  Scenario: Pauses grow up to a limit and start anew after an answer
    When the store does not answer 10 calls of an instance in a row
    Then each pause is between half and all of 1 2 4 8 8 8 8 8 8 8 s
    And the first pause after an answer is at most 1 s

  Scenario: Instances do not stay in step
    When the store does not answer 10 calls of 100 instances in a row
    Then no tenth of the longest pause sees more than a fifth of their last calls
