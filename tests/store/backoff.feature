Feature: Backoff of calls that the store does not answer
  Guards against a fleet that exceeds the rate limits of the store during an outage or right after it.

  Scenario: Delays grow up to a limit and start over after a response
    When the store does not answer 10 calls of an instance in a row
    Then each delay is between half and all of 1 2 4 8 8 8 8 8 8 8 s
    And the first delay after a response is at most 1 s

  Scenario: Instances do not retry at the same time
    When the store does not answer 10 calls of 100 instances in a row
    Then no tenth of the longest delay contains more than a fifth of their last calls
