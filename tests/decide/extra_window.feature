Feature: Hedges and retries of all instances together stay within the budget of a service
  Guards against a fleet whose extra requests add up to more than the searchers are promised.

  Scenario: No window has more extra requests than the budget, however the traffic shifts
    When 2 to 9 instances get random traffic and want an extra request for each one
    Then in each window the extra requests are within the ratio and the floor

  Scenario: An instance with little traffic may still retry
    When an instance among nine has sent one first request
    Then it may send 5 extra requests in one window, and more after it

  Scenario: Hedges leave room for retries
    When an instance among nine has used all extra requests that hedges may take
    Then a retry is still allowed

  Scenario: An extra request that was not sent is returned to the budget
    When an instance among nine has used its budget and one request was not sent
    Then one more is allowed

  Scenario: First requests that were not sent allow no extra ones
    When an instance among nine has sent 10 first requests and 1000 more were not sent
    Then it may send as many extra requests as for 10 first ones
