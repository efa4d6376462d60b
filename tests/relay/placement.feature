Feature: Requests go where told loads let them end first
  Guards against told loads that change nothing, and against choices that cannot be explained.

  Scenario: A searcher that tells a long queue gets few requests, and each choice is logged
    Given 3 searchers that answer in 20 ms, of which one tells 2,12,2,100 and the others 0,0,2,100
    When 200 requests come, 20 a second, and each choice is logged
    Then the searcher with the queue gets at most 20 of 200 requests
    And choices are logged with their offers, and expected costs are near 20 ms
