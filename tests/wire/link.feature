Feature: Links between instances
  Guards against answers that reach another call, and against calls that hang on a broken link.

  Scenario: Answers that arrive out of order reach their own calls
    Given a peer that answers later calls first
    When 20 calls are made at once over one link
    Then each call has the answer to its own message

  Scenario: A closed connection fails the calls that wait on it
    Given a peer that closes the connection on the first message
    When one call is made over the link
    Then the call fails with code "peer_unavailable" and ran "unknown"

  Scenario: Frames are decoded from any split of the bytes
    When 200 random frame sequences are cut at random places
    Then each sequence decodes to the frames that were encoded

  Scenario: The structs that are loaded at the start are those of the IDL
    When relay.thrift is parsed
    Then its structs and the generated ones are the same

  Scenario: A cancellation that arrives together with its call ends it
    Given a peer that answers after 60 s
    When a stream is opened and cancelled in one piece of bytes
    Then the peer has no call in progress
