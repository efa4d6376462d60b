Feature: Emulated key-value service
  Guards against an emulated store whose lost answers, stale reads or call counts differ from the
  configured ones, since tests of the daemons would then pass wrongly.

  Scenario: A conditional write succeeds only on the stored version
    When a key is created, created again, swapped, swapped with the old version and removed
    Then the results are version 1, conflict, version 2, conflict, absent
    And the counted calls are {"write": 5, "read": 1}

  Scenario: A watch returns the change that it waits for and counts once
    When a watch waits while another key and then its key change
    Then the watch returns the change of its key
    And the counted calls are {"watch": 1, "write": 2}

  Scenario: A watch on an unchanged key ends after its time
    When a watch of 20 s on an unchanged key is made
    Then it ends with 204 after 20 s

  Scenario: A write takes effect although its answer is lost
    Given store faults {"lose_answers": 1}
    When a key is written and read back
    Then the write is store_unavailable and may have run
    And the value read is the written one

  Scenario Outline: A store that is down neither applies nor answers calls
    Given store faults {"down": "<down>"}
    When a key is written, the fault ends and the key is read
    Then the write is store_unavailable
    And the key is absent

    Examples:
      | down   |
      | refuse |
      | hang   |

  Scenario: A late answer does not delay the effect of its call
    Given store faults {"late_ms": 400}
    When a key is written and looked at after 100 ms
    Then the effect is there and the answer comes after 400 ms

  Scenario: Stale reads return an older value
    Given a key with a value that changes every 100 ms
    When it is read with data that is 250 ms old
    Then the value of that time is returned

  Scenario: A restored backup reuses versions and notifies watches
    Given a key with a value that changes every 100 ms
    When the store returns to the second version while a watch waits
    Then the watch returns the second version
    And the next write gets version 3

  Scenario: Calls above the rate limit are refused
    When 5 reads are made at once with a limit of 3 a second, and 3 a second later
    Then 2 of the first reads and none of the later ones are refused

  Scenario: A lease has one holder until it expires
    When two holders ask for a lease of 2 s, the first renews it once and then pauses
    Then the second holder gets it 2 s after the renewal, and the first cannot renew

  Scenario: The history matches a model that keeps every state
    Then reads of the past and rollbacks agree with the model for random writes
