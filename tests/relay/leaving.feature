Feature: A searcher that leaves stays out
  Guards against requests to a searcher that is leaving because older state, of another instance or
  of a restored store, names it as ready again.

  Scenario Outline: A searcher that <leaves> stays out when <older> arrives
    When a searcher <leaves>, and then <older> arrives
    Then it gets no requests, but gets them after its next start

    Examples:
      | leaves                      | older                                    |
      | is listed as draining       | its former entry                         |
      | is listed as draining       | a list without it, then its former entry |
      | is listed as draining       | the former state of another instance     |
      | states that it is leaving   | its former entry                         |
      | states that it is leaving   | a list without it, then its former entry |
      | states that it is leaving   | the former state of another instance     |
