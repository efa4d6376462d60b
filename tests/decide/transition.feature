Feature: Limits that are updated incrementally with the table
  Guards against limits that differ from those derived from the whole table, so that the sums over
  the fleet exceed a row.

  Scenario: Random sequences of edits
    Then after any sequence of edits each limit equals the one derived from all tables in use

  Scenario Outline: An edit recomputes only what it can affect
    Given the limits of a table of 4 services, 2 domains and 40 servers
    When the table is edited: <edit>
    Then the limits of <domains> domains and <services> services are recomputed

    Examples:
      | edit                                            | domains | services |
      | the connections of a server                     | 0       | 0        |
      | the queue of a service                          | 0       | 0        |
      | a tenant                                        | 0       | 0        |
      | the weight of a server                          | 1       | 1        |
      | the limit of a service                          | 0       | 1        |
      | the limit of a domain to what is in use         | 1       | 0        |
      | a server out                                    | 1       | 1        |
