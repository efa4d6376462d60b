Feature: Requests that crash servers
  Guards against a request that crashes server after server, and against lost or prolonged blocks.

  Scenario: A request that always crashes its server
    Then a request that crashes each server crashes 2 in each block period at one owner

  Scenario: Losses at several owners
    Then instances that exchange losses in any order agree on what is blocked

  Scenario: A proven request
    Then a fingerprint that succeeded runs without a trial until a peer shares a block of it
