Feature: A searcher that leaves gets no request some time before it stops serving
  Guards against requests to a searcher that has said that it leaves, or whose entry is gone, because
  what an instance knows of it is old.

  Scenario: A change that is written in the moment in which a watch ends is in the next answer
    When a change is written in the moment in which the wait of a watch ends, 40 times
    Then the next watch from the revision of its answer has the change each time
