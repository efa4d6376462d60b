Feature: Clients that send without end or without use
  Guards against connections that a client occupies for hours by a byte now and then, against bodies
  that consist of chunk sizes and extensions, and against refusals of requests that have run.

  Scenario Outline: A request whose body <body> is refused, and has not run
    Given an instance whose clients may send bodies of 262144 bytes and be idle for 15 s
    When a caller sends a request whose body <body>
    Then the caller gets status <status>, and no searcher got it

    Examples:
      | body                                        | status |
      | is announced as 262145 bytes                | 413    |
      | has 20 chunks with long extensions          | 413    |
      | comes at one byte in 10 s                   | 408    |
      | comes at one chunk of one byte in 10 s      | 408    |

  Scenario: A body that a client sends slowly within the limits is taken
    Given an instance whose clients may send bodies of 262144 bytes and be idle for 15 s
    When a caller sends a body of 200000 bytes at 8192 bytes a second
    Then the caller gets status 200

  Scenario: An unfinished request gives way to an ordinary one when memory is short, and has not run
    Given an instance whose clients may send bodies of 262144 bytes and be idle for 15 s
    And memory for messages of 400000 bytes
    When 3 bodies of 262144 bytes stay unfinished, and an ordinary request comes
    Then the ordinary request gets status 200, and no searcher got another one
    And the connections that were closed are counted in the metrics
