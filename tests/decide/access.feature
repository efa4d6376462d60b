Feature: A key is checked against a configuration whose age is proven
  Guards against an instance that goes on using a key because a delayed message or a suspended
  process made its configuration look younger than it is.

  Scenario: A removed key is never granted after the bound, however late proofs are read
    Then no removed key is granted later than 5 s after its removal in 500 random histories

  Scenario Outline: A key and the age of the configuration decide together
    When <key> is checked, <strictly>, with a configuration of <age> s, if removal takes 5 s
    Then the check says "<result>"

    Examples:
      | key          | strictly     | age  | result         |
      | a known key  | strictly     | 1    | granted        |
      | a known key  | strictly     | 4.9  | unverified_key |
      | a known key  | not strictly | 4.9  | granted        |
      | an other key | strictly     | 1    | unknown_key    |
      | an other key | strictly     | 4.9  | unverified_key |
      | an other key | not strictly | 4.9  | unverified_key |
      | no key       | strictly     | 1    | unknown_key    |
      | no key       | strictly     | 60   | unknown_key    |
