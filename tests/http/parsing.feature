Feature: Parsing of responses
  Guards against a response that looks complete and is not, and against a connection that is used
  again although bytes of another response are on it.

  Scenario Outline: A response is parsed the same from any split of its bytes
    When a response <form> is parsed in pieces of every size
    Then it is <result>

    Examples:
      | form                              | result                          |
      | with a length                     | whole and reusable              |
      | in chunks                         | whole and reusable              |
      | with a length of 0                | whole and reusable              |
      | after an informational one        | whole and reusable              |
      | that closes its connection        | whole and not reusable          |
      | in HTTP/1.0                       | whole and not reusable          |
      | without a length, then the end    | whole and not reusable          |
      | followed by another one           | whole and not reusable at once  |
      | followed by garbage               | whole and not reusable at once  |
      | cut in its body                   | incomplete                      |
      | cut in its headers                | incomplete                      |
      | cut in its chunks                 | incomplete                      |
      | with two different lengths        | malformed                       |
      | with a length and chunks          | malformed                       |
      | that is garbage                   | malformed                       |
      | with endless headers              | malformed                       |
      | with a body over the limit        | malformed                       |

  Scenario: A request with a line break in a header is not sent
    When a request whose header holds a line break is encoded
    Then it fails with "bad_request"
