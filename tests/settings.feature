Feature: Settings of a daemon
  Guards against a daemon that starts with an invalid setting, and against error messages that do
  not state what to correct.

  Scenario Outline: The error for an invalid file names the key, its value and the allowed values
    When a settings file is read in which <change>
    Then it is refused with "bad_settings" and names "<words>"

    Examples:
      | change                            | words                                    |
      | callers.port = 70000              | callers.port, 70000, <= 65535            |
      | callers.port = "80"               | callers.port, '80', `int`                |
      | instance = ""                     | instance, '', matching regex             |
      | stop_timeout = 0                  | stop_timeout, 0, > 0.0                   |
      | max_body = 5                      | max_body, 5, >= 1024                     |
      | colour = "red"                    | unknown field `colour`                   |
      | failure_domain is missing         | missing required field `failure_domain`  |
      | the TOML is truncated             | settings.toml                            |

  Scenario: A correct file is read with its defaults
    When a settings file is read in which nothing is wrong
    Then all values are those of the file and the defaults
