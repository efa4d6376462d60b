Feature: Random faults from outside break no promise
  Real instances run as processes; signals, fault proxies and a misbehaving store disturb them while
  clients keep their connections. Each seed that ever failed stays here with its cause.

  Scenario Outline: A seed that failed before keeps every promise
    When seed <seed> is played for <seconds> s with <instances> instances
    Then no promise was broken

    Examples: SIGHUP in the first tenths of a second ended the process
      | seed | seconds | instances |
      | 1    | 10      | 4         |
      | 2    | 10      | 4         |

  Scenario: A signal for new settings right after the start does not end the process
    When SIGHUP is sent 10 times while an instance starts
    Then the instance still runs
