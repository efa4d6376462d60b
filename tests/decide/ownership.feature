Feature: Owners by rendezvous hashing
  Guards against views that move more servers than needed, and against instances that disagree.

  Scenario: A member that leaves or joins moves only the servers that it owns
    When the owners of 500 servers are computed with and without each of 9 members
    Then only servers of the member that is missing have another owner

  Scenario: The order of the members does not matter and the load is spread
    When the owners of 2000 servers are computed for 10 members in random orders
    Then each order gives the same owners
    And each member owns between 120 and 280 of them
