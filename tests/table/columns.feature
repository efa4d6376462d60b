Feature: Columns of the table and the operators' guide
  Guards against a column that is not checked or not documented, and against an undocumented error
  code.

  Scenario: Each field of a row has a column of the same type that allows its default
    Then the columns are the fields of the rows

  Scenario: The operators' guide documents each column and each error code
    Then the operators' guide lists each column with its unit and default
    And the operators' guide lists each error code
