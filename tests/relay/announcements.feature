Feature: A searcher that leaves gets no request some time before it stops serving
  Guards against requests to a searcher that has said that it leaves, or whose entry is gone, because
  what an instance knows of it is old.

  Scenario: A change that is written in the moment in which a watch ends is in the next answer
    When a change is written in the moment in which the wait of a watch ends, 40 times
    Then the next watch from the revision of its answer has the change each time

  Scenario Outline: A searcher that leaves is left alone by instances that have missed many changes
    Given 6 instances in 2 domains with readers, and 4 searchers
    And searchers that leave serve for 5 s more
    And an answer of the store has at most 50 changes
    And readers batch changes for as long as in a large fleet
    When the store turns <who> away for 9 s, in which 600 entries change
    And a searcher <leaves> 0.85 s after the end
    Then no instance uses that searcher 3.5 s later

    Examples:
      | who         | leaves            |
      | a reader    | says that it does |
      | a reader    | loses its entry   |
      | all readers | says that it does |
      | a follower  | loses its entry   |
      | all         | says that it does |
