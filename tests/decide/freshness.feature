Feature: An instance that may have missed changes reads on without a pause

  Scenario Outline: The pause after an answer, in which changes are batched
    Given answers of at most 500 changes so far
    When an answer has <changes> changes and <may> be followed by more
    Then the next call comes after <pause> s and waits for <wait> s

    Examples:
      | changes | may    | pause | wait |
      | 0       | cannot | 0     | 1.5  |
      | 3       | may    | 0.4   | 1.1  |
      | 200     | may    | 0.4   | 1.1  |
      | 300     | may    | 0     | 0.05 |
      | 500     | may    | 0     | 0.05 |
      | 500     | cannot | 0.4   | 1.1  |

  Scenario: After a failure the next answer comes at once
    Given answers of at most 500 changes so far
    When a call fails
    Then the next call comes after 0 s and waits for 0.05 s

  Scenario Outline: The times of the way of an announcement lie below its bound
    Then the bound for searchers that serve for <drain> s is <bound> s
    And the state of a reader and of its followers is given up <margin> s before it or earlier

    Examples:
      | drain | bound | margin |
      | 3     | 2.5   | 0.05   |
      | 5     | 4.25  | 1.4    |
      | 6     | 5.1   | 2.0    |
      | 20    | 17    | 13     |
