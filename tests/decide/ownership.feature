Feature: Owners by rendezvous hashing
  Guards against changes of the view that move more servers than needed, and against instances that
  compute different owners.

  Scenario: A member that leaves or joins moves only the servers that it owns
    When the owners of 500 servers are computed with and without each of 9 members
    Then only servers of the member that is missing have another owner

  Scenario: The order of the members does not matter and the load is spread
    When the owners of 2000 servers are computed for 10 members in random orders
    Then each order gives the same owners
    And each member owns between 120 and 280 of them

  Scenario: Equal weights give the same owners as no weights
    When 300 random members with equal weights are ranked for random servers
    Then the weighted scores give the same order as the scores without weights

  Scenario: Members own servers in proportion to their weights
    When the owners of 20000 servers are computed for members with the weights 1, 2, 3, 4, 0 and 10
    Then the share of each member differs from its weight by at most 4 standard deviations

  Scenario: A change of one weight moves only servers to or from that member
    When one of up to 15 random weights changes in 200 random ways
    Then a higher weight only takes servers over and a lower one only gives servers up

  Scenario: Members of weight 0 own nothing
    When the owners of 100 servers are computed for members of weight 0
    Then no server has an owner
