Feature: A non-idempotent request runs at most once
  Guards against a request that runs twice because callers resend it to several instances, because
  two instances coordinate the same key, or because store writes are lost or applied without an
  answer.

  Scenario: Resent keys over a faulty store
    When 60 random runs resend keys to several coordinators over a faulty store
    Then no key ran more than once
    And each answer agrees with what the backend ran

  Scenario: Store outage
    When the store is down and a new key and a key that ran before are sent
    Then the new key is refused with "store_unavailable" as not run and the old key has its outcome

  Scenario: A key with another body
    When a key is sent again with another body
    Then the second body is refused with "key_reused" and did not run

  Scenario: A searcher refuses at the deadline that it was given
    Guards against outcome `unknown` for a request that did not run, because the searcher's refusal
    arrives after the deadline of the caller.
    When a new key is sent to a searcher that refuses at its deadline, 20 ms away
    Then it is refused with "deadline" as not run

  Scenario Outline: A former owner of the backend server refuses a request
    When a request is sent with 1 s left and the ownership moves after <seconds> s
    Then the request is <outcome> after <calls> refusals by the former owner

    Examples:
      | seconds | outcome  | calls |
      | 0.2     | done     | 2     |
      | 5       | no_owner | 4     |
