Feature: The hedge delay is the 95th percentile of recent latency
  Guards against hedges before enough latencies are known, and against a delay from old latencies.

  Scenario: The delay is the percentile of the last 512 latencies
    When random latencies are added to a window
    Then no delay is known before 20 of them, and then it is their 95th percentile

  Scenario: A window of slow sub-requests without results raises the delay
    When 512 sub-requests of 10 ms are followed by 512 that have no result after 80 ms
    Then the hedge delay is 80 ms
