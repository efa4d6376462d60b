Feature: Admission at the entry shares an adaptive limit between tenants
  Guards against tenants above their cap, lost places, waits without an end, and a tenant that
  takes the shares of others.

  Scenario: Limits hold under any order of arrivals and departures
    When queries of random tenants arrive, wait, leave and give up
    Then no tenant exceeds its cap, no place is lost, and a place is free only for another's share
    And the limit is exceeded only by tenants below their shares, by what others use above theirs

  Scenario: A tenant below its share need not wait for places that others use above theirs
    Guards against refusals within the share of a tenant whose idle places were lent.
    When one tenant has held all places for 60 s and others ask for their shares of them
    Then each query of the others is admitted at once
    And the first tenant gets a place again only when fewer queries are in flight than the limit

  Scenario: A tenant within its share need not wait until a lowered limit is kept
    Guards against refusals by queries in flight since before, which averages do not show yet.
    When one tenant took all places 0.1 s ago, the limit is halved, and others ask for their shares
    Then each query of the others is admitted at once

  Scenario: A burst of a tenant below its share is let in up to twice the share
    Guards against a burst that takes what is lent from all other tenants.
    When one tenant holds all 12 places, two more have 1 query each and a fourth asks for all
    Then the fourth gets twice its share, 6 places

  Scenario: Backlogged tenants share by weight
    When tenants of weight 1, 2 and 5 always have queries waiting
    Then they are served in the ratio of their weights

  Scenario: A tenant that wants less than its share gets all it wants
    When a tenant of weight 1 wants 2 places and one of weight 1 wants all 32
    Then the first tenant has its 2 places and the second one the other 30

  Scenario: Places are not kept for a tenant that went away
    When a tenant with 15 places ends all its queries while one with 17 wants all 32
    Then half of the places are still kept after 1 s and none after 7 s

  Scenario: The limit rises by steps and falls with the share of refusals
    When 20 windows of used capacity without signals are followed by one with half refused
    Then the limit rises by 8 and then falls by a quarter

  Scenario: The queries of one round trip lower the limit once
    When all of 20 queries that started together end late, one each 0.1 s
    Then the limit is half of what it was, and the next late query lowers it further
