Feature: Settings that the platform writes for an instance
  Guards against an instance that ends with a traceback, or starts with a value that it cannot use,
  and against error messages that do not say what to correct.

  Scenario Outline: A faulty file is refused with key, value and what is allowed
    When the platform's settings are read with <key> = <value>
    Then it is refused with "bad_settings" and names "<words>"

    Examples:
      | key                       | value         | words                                    |
      | internal_ports            | []            | key internal_ports, [], length >= 1      |
      | internal_ports            | [70000]       | key internal_ports[0], 70000, <= 65535   |
      | node_name                 | ""            | key node_name, '', length >= 1           |
      | zone                      | 3             | key zone, 3, `str`                       |
      | listen_addrs.front        | "10.1.0.9"    | key listen_addrs.front, '10.1.0.9'       |
      | listen_addrs.ready        | "h:99999"     | key listen_addrs.ready, 'h:99999', 65535 |
      | platform.address          | ":1"          | key platform.address, ':1'               |
      | bounds.budget_window_s    | 0             | key bounds.budget_window_s, 0, > 0.0     |
      | bounds.retry_budget_ratio | -0.1          | key bounds.retry_budget_ratio, -0.1      |
      | bounds.quota_window_s     | 0             | key bounds.quota_window_s, 0, > 0.0      |
      | bounds.quota_slack        | -1            | key bounds.quota_slack, -1               |
      | limits.cpu_share          | 0             | key limits.cpu_share, 0, > 0.0           |
      | limits.memory_mb          | -1            | key limits.memory_mb, -1, >= 0           |
      | limits.max_fds            | 1.5           | key limits.max_fds, 1.5                  |

  Scenario: Unknown keys are ignored, and numbers may be written as text
    When the platform's settings are read with bounds.drain_ms = "2500"
    Then a leaving searcher still serves for 2.5 s

  Scenario: The processor's share and speed are told as cores
    When the platform's settings are read with limits.cpu_share = 0.717
    Then the instance has 2.15 cores

  Scenario: The command line checks such a file
    When the platform's settings are checked on the command line with platform.address = "h:1"
    Then the command prints that the settings of instance "edge-1" are correct

  Scenario: The command line names the key that is wrong
    When the platform's settings are checked on the command line with internal_ports = []
    Then the command fails and names "key internal_ports"

  Scenario Outline: Limits of memory and descriptors
    When the platform's settings are read with limits.<key> = <value>
    Then messages of clients may take <messages> MB, and there may be <clients> clients

    Examples:
      | key       | value | messages | clients |
      | memory_mb | 152   | 27       | 1382    |
      | memory_mb | 0     | 245      | 2397    |
      | max_fds   | 1535  | 245      | 400     |
      | max_fds   | 0     | 245      | 2397    |
