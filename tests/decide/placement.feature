Feature: A request goes to the searcher where it is expected to end first
  Guards against instances that all send to the searcher that told the shortest queue last, against
  searchers that gain by telling nothing or too little, and against cheap requests behind expensive ones.

  Scenario: Old reports of a searcher do not hide this instance's own requests there
    Then in 200 orders of reports and requests, one full of own requests is passed by

  Scenario: No order of events makes an expectation undefined
    Then after 300 random orders of events, all expected times are finite and not negative

  Scenario: An old report of a long queue loses its effect
    Given a searcher that tells 6,60,6 and one that tells 0,0,6
    Then the first one gets a cheap request after 60 s, not after 1 s

  Scenario: Instances with the same reports spread their requests
    Then in 100 cases, 8 instances with 4 requests each use both searchers

  Scenario: A searcher that tells no queue and answers late
    When 1 of 3 searchers tells 0,0,6 and takes 0.5 s from request 200 on, else 100 ms
    Then the late one gets at most 3% of 600 requests

  Scenario: A searcher that tells nothing is no better off
    Then in 200 cases, one that tells nothing is chosen only if it were with a told queue

  Scenario: A cheap request does not wait for expensive ones
    Given one that runs 6 expensive requests, and one with 9 cheap, 3 waiting
    Then a cheap request goes to the second one

  Scenario: An expensive request leaves the last slot to others
    Given a searcher that tells 5,0,6 and one that tells 2,0,6
    Then an expensive request goes to the second one

  Scenario: Invented paths use bounded memory and hide no known cost
    When 20000 requests with paths of their own come between those of a known path
    Then at most 1024 kinds are kept, and the known path still costs 300 ms
