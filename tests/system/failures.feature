Feature: Answers, limits and outcomes stay correct while instances and the store fail
  Guards against two owners of one server, requests that run twice, and wrong coverage or refusals.
  Answers are compared with the records of the searchers.

  Background:
    Given a fleet of "norte" with 5 instances and services "logging, sample-booking"
    And callers that send queries and resend reservations through all instances

  Scenario: An instance is killed and started again
    When instance "entry-2" is killed
    Then each backend server gets an owner that may dispatch
    When instance "entry-2" is started again
    Then each backend server gets an owner that may dispatch
    And every answer was correct, no key ran twice and no limit was exceeded

  Scenario: An instance is frozen past its lease and resumed
    When instance "entry-3" is frozen until the others have taken over, then resumed
    Then each backend server gets an owner that may dispatch
    And every answer was correct, no key ran twice and no limit was exceeded

  Scenario: The store is down while an instance is killed
    When the store goes down
    And instance "entry-1" is killed
    Then queries through the other instances still get answers
    And a new reservation is refused as not run
    When the store returns
    Then each backend server gets an owner that may dispatch
    And every answer was correct, no key ran twice and no limit was exceeded

  Scenario: The store applies writes without answering
    When the store applies writes without answering them for a while
    Then each backend server gets an owner that may dispatch
    And every answer was correct, no key ran twice and no limit was exceeded
