Feature: Links to the other instances
  Guards against calls that wait without limit for a peer that has stopped or does not answer, and
  against links that are not reopened.

  Scenario: A link is reopened after the peer has restarted at its address
    When a peer is called, restarts, and is called again
    Then both calls get an answer

  Scenario: A call to a peer that cannot be reached reports that nothing was sent
    When a peer that does not listen is called
    Then the peer call fails with "peer_unavailable" and "not_run"

  Scenario: A call to an unknown peer reports that nothing was sent
    When an unknown peer is called
    Then the peer call fails with "peer_unavailable" and "not_run"

  Scenario: A silent peer delays only the calls to it
    When a silent peer is called while another one is called 20 times
    Then the peer call fails with "peer_unavailable" and "unknown"
    And the calls to the other peer get their answers

  Scenario: A link that stays silent is replaced
    When a silent peer is called 6 times with a limit of 1 s
    Then the silent peer has seen 2 connections

  Scenario: The links to former peers are closed after a while
    When a peer is called and removed from the peers
    Then it can be called for a while, but not later

  Scenario: A cell over sockets keeps its table despite faults of the emulated store
    Given 3 instances over sockets and the emulated store
    When an edit loses its answer, and the store is rolled back to before it
    Then the edit is in force on all 3 instances and in the emulated store
