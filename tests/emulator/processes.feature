Feature: Emulator processes and the harness that runs them
  Guards against processes that outlive their test, and against configuration errors that pass unnoticed.

  Scenario: A process hosts the services of its file and ends on SIGTERM
    When an emulator process with a store and a searcher is started, called and stopped
    Then the control listener named both, faults took effect, and the status was 0

  Scenario Outline: An invalid file is refused with its cause
    When an emulator process is started on a file with <content>
    Then it ends with status 2 and names "<cause>"

    Examples:
      | content                | cause                  |
      | [store]\nprot = 1      | prot                   |
      | [[servers]]\nname="a"  | service                |
      | not TOML               | emulator.toml          |

  Scenario: A fleet is cleaned up when its test fails
    When a test with a paused process in its fleet fails
    Then none of its processes runs and its directory is gone

  Scenario: A fleet changes snapshots in its searchers and in its store
    When a fleet without entry instances gets a snapshot of 3 shards and drops the old one
    Then the searchers hold only the new snapshot as the stored catalog says

  Scenario: A fleet reaches its searchers through proxy routes
    When a searcher behind a route is called before, during and after a cut
    Then the calls end as 200, broken, 200 and the searcher recorded all three
