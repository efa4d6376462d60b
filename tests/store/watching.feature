Feature: Watches of documents
  Guards against a third watch of a document that stays open for up to 25 s after the instances
  that watch it have changed.

  Scenario: A watch ends soon after it is no longer wanted
    When a watch that is wanted for 3 s waits for a value that does not change
    Then it returns nothing after at most 3.5 s and no call is left open

  Scenario Outline: A wanted watch has the result of the call
    When a wanted watch waits for a store that <does> after 5 s
    Then it <ends> after 5 s and no call is left open

    Examples:
      | does    | ends                      |
      | answers | returns the value         |
      | fails   | raises store_unavailable  |
