Feature: Evidence that departed members have stopped
  Guards against a takeover while a former owner may still dispatch, or still has work at a server.

  Scenario: A restart at the same address proves the end after the longest sub-request and margin
    Given that member 1 of view 4 with 3 members was removed in view 5 at 100.0
    When another incarnation of member 1 at its address is in view 6 at 101.0
    Then member 1 may still have work at 103.2
    And member 1 has stopped at 103.25

  Scenario: A majority in a later epoch proves the end after lease, sub-request and margin
    Given that member 1 of view 4 with 3 members was removed in view 5 at 100.0
    When member 0 reports epoch 5 at 100.5
    Then member 1 may still have work at 110.0
    When member 2 reports epoch 5 at 110.0
    Then member 1 may still have work at 114.2
    And member 1 has stopped at 114.25

  Scenario: Half of a view is no majority, and the departed member counts only for itself
    Given that member 1 of view 4 with 4 members was removed in view 5 at 100.0
    When member 0 reports epoch 5 at 100.5
    And member 2 reports epoch 5 at 100.5
    And member 3 reports epoch 4 at 100.5
    Then member 1 may still have work at 1000.0

  Scenario: A departed member that is idle has stopped at once
    Given that member 1 of view 4 with 3 members was removed in view 5 at 100.0
    When member 1 acknowledges epoch 5 and has no work left
    Then member 1 has stopped at 100.0

  Scenario: A process that returned and was removed again has not ended since its first removal
    Given that member 1 of view 4 with 3 members was removed in view 5 at 100.0
    When member 1 reports epoch 5 at 100.5
    Then member 1 has stopped at 102.75
    When view 9 says that member 1 was removed in view 8 again at 200.0
    Then member 1 may still have work at 200.0

  Scenario: A view that was written back is not changed within the restore wait
    Given a stored view that was written back
    Then it may not be changed before 3.0 s have passed since it was seen
