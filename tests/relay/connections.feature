Feature: All instances together open no more connections than searchers accept
  Guards against requests that are lost because a searcher resets the connections beyond its limit,
  and against requests that find no connection while idle ones take up the limit.

  Scenario Outline: Requests that arrive together keep to the instance's share of the connections
    Given <instances> instances, and 2 searchers that accept <accepted> connections each
    When clients of each instance send pages of <page> requests at once for 8 s, and others non-idempotent ones
    Then all of these requests are answered, and no searcher has reset a connection

    Examples:
      | instances | accepted | page |
      | 9         | 26       | 6    |
      | 3         | 4        | 4    |

  Scenario: A non-idempotent request replaces an idle connection
    Given 1 instances, and 1 searchers that accept 1 connections each
    When a client sends an idempotent request, and then a non-idempotent one, 5 times
    Then all of these requests are answered, and no searcher has reset a connection

  Scenario: A request takes the connection that another one has just released
    Given 1 instances, and 1 searchers that accept 1 connections each
    When a client sends a page of 10 requests at once that take 10 ms each
    Then all of these requests are answered, and no searcher has reset a connection
    And the last one is answered within 150 ms

  Scenario: Instances that are more than the connections of a searcher do not keep them all
    Given 12 instances, and 1 searchers that accept 8 connections each
    When a client of each instance asks twice a second for 6 s
    Then all of these requests are answered, and no searcher has reset a connection

  Scenario: The count of connections to all searchers keeps to the limit of the process
    Given a process with 12 connections to searchers, and a service whose requests take 20 s
    When 30 clients send requests to the slow service
    Then the process has opened at most 12 connections

  Scenario: Slow requests to one service leave connections for others
    Given a process with 12 connections to searchers, and a service whose requests take 20 s
    When 30 clients send requests to the slow service
    Then a request to another service is answered with 200
