Feature: Claims of non-idempotent requests
  Guards against a key that is granted to two holders, and against a key that is accepted after its
  claim was deleted.

  Scenario: A key has one holder at a time
    Then any order of claims, outcomes and releases grants a key to one holder at a time

  Scenario: The claim window
    Given keys of random ages
    Then exactly the keys within the claim window are accepted and no accepted key's slice expires
    And a key that is no version 7 UUID is refused with "bad_key"
