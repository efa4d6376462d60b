Feature: Random external faults violate no guarantee
  Instances run as processes. Signals, fault proxies and a faulty store disturb them while clients
  keep connections open. Each seed that has failed is listed here with its cause.

  Scenario Outline: A seed that failed before keeps every promise
    When seed <seed> is run for <seconds> s with <instances> instances
    Then no guarantee was violated

    Examples: SIGHUP in the first tenths of a second ended the process
      | seed | seconds | instances |
      | 1    | 10      | 4         |
      | 2    | 10      | 4         |

    Examples: Statuses of searchers denied requests that had run, some of which ran twice
      | seed | seconds | instances |
      | 4103 | 15      | 4         |

    Examples: Silent connections and a restored store, not seen to fail
      | seed | seconds | instances |
      | 3    | 10      | 4         |

  Scenario: A signal for new settings right after the start does not end the process
    When SIGHUP is sent 10 times while an instance starts
    Then the instance still runs
