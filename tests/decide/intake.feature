Feature: Admission of bytes and connections to the memory account
  Guards against a crowd that makes the process hold more than its budget, keeps an ordinary request
  out, or uses up what callers at other addresses need.

  Scenario: The bytes held never exceed the budget
    When 300 random crowds read, finish, run and close
    Then the bytes held never exceeded the budget, and the sums match the connections

  Scenario: An ordinary request is admitted at once, whatever a crowd holds
    When after each of 300 random crowds an ordinary request of 2,000 bytes arrives
    Then it was admitted each time, and at most one turn was needed

  Scenario: A caller's crowd does not close the connections of a modest caller elsewhere
    When 300 random crowds of four addresses run beside a caller with an eighth of the budget
    Then no connection of that caller was closed

  Scenario: A large message waits a bounded time, and then goes on or is closed
    When a large message finds the budget used up by others that make progress
    Then it waits 0.25 s, and then gets room by closing the largest

  Scenario: Bodies that outlive their connections keep large messages out, and no small ones
    When bodies whose clients have left use three quarters of the budget
    Then a large message is refused after 0.25 s, and closes no other connection
    And an ordinary request is admitted at once
    And the large message is admitted when the bodies are freed

  Scenario: A connection that fails to close leaves the others alone
    When connections are closed for lack of memory, and the first one fails to close
    Then the others are closed, and the account goes on

  Scenario: The connections that wait longest are closed first
    When a listener with 32 connections of one address gets another one
    Then the two that had waited longest were closed

  Scenario: Links of other instances stay when strangers fill their listener
    When all links to a listener have been used by instances, and a stranger connects
    Then the stranger is refused

  Scenario Outline: Limits of a process with <memory> MB and <descriptors> descriptors
    When limits are derived from <memory> MB and <descriptors> descriptors
    Then they fit into both, and hold at least <messages> MB of messages and <clients> clients

    Examples:
      | memory | descriptors | messages | clients |
      | 152    | 1535        | 25       | 400     |
      | 200    | 4100        | 35       | 1000    |
      | 552    | 8192        | 120      | 2300    |
      | 64     | 512         | 4        | 90      |
      | 0      | 0           | 200      | 2000    |
