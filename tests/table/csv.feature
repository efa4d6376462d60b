Feature: Table rows as CSV
  Guards against cells that change in an export and import, and against an import that reverts edits
  made since the export.

  Scenario: Random tables are unchanged after export and import
    Then 200 random tables survive export and import for each kind of row

  Scenario: An import of a file with random edits changes exactly the edited cells
    Then in 200 random edits of a file the import finds exactly the edited cells

  Scenario: Columns may be reordered and omitted, and a spreadsheet may add empty cells
    Given the operators' sample table
    When the CSV file for "services" is imported:
      """
      #rattanrelay,services,7,,
      weight,name,,,
      4,logging,,,
      """
    Then the changes are "services/logging/weight 1 4"

  Scenario: Rows missing from the file are kept unless their removal is requested
    Given the operators' sample table
    When the CSV file for "tenants" is imported:
      """
      name,team,weight,max_in_flight
      museum,north,1,100
      """
    Then the changes are ""
    And with removal the changes are "tenants/archive/ ('archive', 'south', 1, 100) None"

  Scenario Outline: An invalid file is refused with the location of the fault
    Given the operators' sample table
    When the CSV file for "services" has the lines "<lines>"
    Then the import fails with "bad_table" that says "<text>"

    Examples:
      | lines                                 | text                                           |
      | name,colour / logging,red             | no column 'colour'                             |
      | name,weight / logging,heavy           | 'logging', column weight: value 'heavy'        |
      | name,weight / logging,1.5             | a whole number from 1 to 1000                  |
      | name,hedge / logging,maybe            | true or false                                  |
      | name,warm_latency_ms / logging,nan    | a number from 0.01                             |
      | name,weight / logging,1 / logging,2   | each name once in the file                     |
      | name,weight / logging                 | row 1 has 1 cells, the header has 2            |
      | name,weight / logging,1,7             | row 1 has 3 cells, the header has 2            |
      | weight / 1                            | must have name                                 |
      | #rattanrelay,servers,7 / name / log-1 | the file holds servers, not services           |
      | #rattanrelay,services,x / name        | are not a kind and a revision                  |
      |                                       | the file has no header line                    |
