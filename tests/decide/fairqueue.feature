Feature: Queue of a searcher
  Guards against lost or late entries, a queue without bound, and a tenant that shuts out others.

  Scenario: Random use
    Then random pushes, pops and cancellations keep the queue bounded and lose no entry

  Scenario: A tenant that has filled the queue
    Given a queue of 16 entries that tenant x has filled
    When tenants x and y with weights 1 and 3 keep pushing for 400 pops
    Then tenant y is served 280 to 320 times
