Feature: Queue of a searcher
  Guards against lost or late entries, an unbounded queue, and a tenant that blocks all others.

  Scenario: Random use
    Then random pushes, pops and cancellations keep the queue bounded and lose no entry

  Scenario: A tenant that has filled the queue
    Then a tenant of weight 3 gets 280 to 320 of 400 turns of a full queue
