Feature: Stop signals
  Guards against a daemon that a second signal does not end, and against a stop that waits for a
  store that is down.

  Scenario: A second SIGTERM ends the process without the graceful shutdown
    Given a proxied fleet of 3 instances under load
    When "entry-2" gets SIGTERM, and again while it shuts down
    Then it has ended without finishing its shutdown
    And all answers were true and no limit was exceeded

  Scenario Outline: SIGTERM under load while the store <down>s
    Given a proxied fleet of 3 instances under load
    When the store is down so that it <down>s, and "entry-2" gets SIGTERM
    Then it has ended with status 0 within its stop timeout
    And all answers were true and no limit was exceeded

    Examples:
      | down   |
      | refuse |
      | hang   |
