Feature: Edits of cells and rows
  Guards against an edit that silently undoes what another operator wrote, and against a history that
  does not match the table.

  Scenario: Random edits of two operators to the same revision
    Then in 300 random races different cells both win and the same cell tells the loser

  Scenario: The loser of a race for one cell learns what was written and by whom
    Given the operators' sample table
    When "anna" and then "berta" set "services" "logging" "max_in_flight" to 800 and 900
    Then the second edit fails with "edit_conflict" that says "anna (revision 8) wrote 800"
    And the second edit fails with "edit_conflict" that says "you saw 1000 and wrote 900"

  Scenario: Both operators write the same value
    Given the operators' sample table
    When "anna" and then "berta" set "services" "logging" "max_in_flight" to 800 and 800
    Then both edits are applied

  Scenario: A cell of a row that another operator removed
    Given the operators' sample table
    When "anna" removes "servers" "log-1" and "berta" sets its "slots" to 4
    Then the second edit fails with "edit_conflict" that says "removed the row"

  Scenario: Two edits that are each correct but not together
    Given the operators' sample table
    When "anna" removes "domains" "leonardo" and "berta" moves "servers" "log-1" there
    Then the second edit fails with "bad_table" that says "failure_domain"

  Scenario: A problem accepted earlier does not prevent taking a domain out
    Given the operators' sample table
    When the cell "servers" "log-1" "cold_slots" is forced to 3
    Then the domain "oviedo" can still be taken out

  Scenario: The history leads back to each earlier revision
    Then in 100 random sequences of edits each revision in the history is restored exactly
