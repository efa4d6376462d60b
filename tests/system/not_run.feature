Feature: Outcomes of non-idempotent requests are correct and each key runs at most once
  Guards against "not run" for a request that ran, "done" for one that did not, and second runs of
  resent keys. Outcomes are compared with the records of the searchers.

  Scenario: Requests are cut, crash, are drained or meet their deadline
    Given a proxied fleet of 3 searchers of "sample-booking"
    When reservations are sent through all instances at once and resent later, while
      | fault         | seen    |
      | nothing       | done    |
      | before_write  | not_run |
      | mid_write     | unknown |
      | after_write   | unknown |
      | mid_answer    | unknown |
      | crash         | unknown |
      | silent        | unknown |
      | deadline      | not_run |
      | shed          | not_run |
      | drain         | not_run |
    Then outcomes agree with the records and no key ran twice
    And repeats of a key that is done got the stored outcome
    And the same keys with another body are refused without a run

  Scenario: Instances and searchers fail while keys are resent through other instances
    Given a proxied fleet of 3 searchers of "sample-booking"
    When callers resend reservations while connections are cut and an instance is killed
    Then outcomes agree with the records and no key ran twice
    And repeats of a key that is done got the stored outcome
