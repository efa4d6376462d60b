Feature: Stop signals
  Guards against a daemon that does not exit on a second signal, and against a shutdown that waits
  for a store that is down or does not report which phases it could not finish.

  Scenario: A second SIGTERM ends the process without the graceful shutdown
    Given a proxied fleet of 3 instances under load
    When "entry-2" gets SIGTERM, and again while its status and metrics show phase "not_ready"
    Then it has ended with status 3 without finishing its shutdown
    And all answers were correct and no limit was exceeded

  Scenario Outline: SIGTERM under load while the store <down>s
    Given a proxied fleet of 3 instances under load
    When the store is down so that it <down>s, and "entry-2" gets SIGTERM
    Then it ended with status 3 within its stop timeout and lists phases that need the store
    And all answers were correct and no limit was exceeded

    Examples:
      | down   |
      | refuse |
      | hang   |
