Feature: Admission at the entry shares an adaptive limit between tenants
  Guards against tenants above their cap, leaked slots, waits without a bound, and a tenant that
  takes the shares of others. A slot is room for one query in flight.

  Scenario: Limits hold under any order of arrivals and departures
    When queries of random tenants arrive, wait, end and are withdrawn
    Then no tenant exceeds its cap, no slot leaks, and a slot is free only for another's share
    And the limit is exceeded only by tenants below their shares, by what others use above theirs

  Scenario: A tenant below its share does not wait for slots that others use above theirs
    Guards against refusals within the share of a tenant whose idle slots others use.
    When one tenant has held all slots for 60 s and others ask for their shares of them
    Then each query of the others is admitted at once
    And the first tenant gets a slot again only when fewer queries are in flight than the limit

  Scenario: A tenant within its share does not wait until a lowered limit is met
    Guards against refusals because of earlier queries in flight that averages do not show yet.
    When one tenant took all slots 0.1 s ago, the limit is halved, and others ask for their shares
    Then each query of the others is admitted at once

  Scenario: A burst of a tenant below its share is admitted up to twice the share
    Guards against a burst that takes the slots that all other tenants leave idle.
    When one tenant holds all 12 slots, two more have 1 query each and a fourth asks for all
    Then the fourth gets twice its share, 6 slots

  Scenario: Backlogged tenants share by weight
    When tenants of weight 1, 2 and 5 always have queries waiting
    Then they are served in the ratio of their weights

  Scenario: A tenant that wants less than its share gets all it wants
    When a tenant of weight 1 wants 2 slots and one of weight 1 wants all 32
    Then the first tenant has its 2 slots and the second one the other 30

  Scenario: Slots are not reserved for a tenant that sends no more queries
    When a tenant with 15 slots ends all its queries while one with 17 wants all 32
    Then half of the slots are still reserved after 1 s and none after 7 s

  Scenario: The limit rises in steps and falls with the share of refusals
    When 20 windows of used capacity without signals are followed by one with half refused
    Then the limit rises by 8 and then falls by a quarter

  Scenario: The queries of one round trip lower the limit to half at most
    When all of 20 queries that started together end late, one each 0.1 s
    Then the limit is half of what it was, and the next late query lowers it further
