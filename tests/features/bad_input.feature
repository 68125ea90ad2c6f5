Feature: Bad input gets a clear error and the process keeps serving

  Scenario Outline: a wrong request is refused with an error of the closed list
    Given an entry's HTTP interface that takes 2000 bytes of body and 0.2 s to send it
    When a caller sends the bad input "<input>"
    Then the bad input is answered with status <status>, kind "<kind>" and field "<field>"
    And the bad input's answer has the request id "<request_id>" and says not run
    And the next good request is answered

    Examples:
      | input              | status | kind            | field       | request_id |
      | body too large     | 413    | too_large       | body        |            |
      | chunked too large  | 413    | too_large       | body        |            |
      | huge length        | 413    | too_large       | body        |            |
      | deep JSON          | 400    | bad_request     |             |            |
      | deep filter        | 400    | bad_request     |             |            |
      | broken JSON        | 400    | bad_request     |             |            |
      | empty body         | 400    | bad_request     |             |            |
      | not UTF-8          | 400    | bad_request     |             |            |
      | JSON list          | 400    | bad_request     |             |            |
      | negative limit     | 400    | bad_request     | limit       | r-1        |
      | huge limit         | 400    | bad_request     | limit       | r-1        |
      | past deadline      | 400    | bad_request     | deadline_ms | r-1        |
      | endless deadline   | 400    | bad_request     | deadline_ms | r-1        |
      | unknown field      | 400    | bad_request     | colour      | r-1        |
      | wrong type         | 400    | bad_request     | facets[0]   | r-1        |
      | too many facets    | 400    | bad_request     | facets      | r-1        |
      | wrong request id   | 400    | bad_request     | request_id  |            |
      | wrong cursor       | 400    | bad_request     | cursor      | r-1        |
      | no ticket          | 400    | bad_request     | ticket      | r-1        |
      | wrong ticket       | 403    | ticket_invalid  | ticket      | r-1        |
      | unknown service    | 404    | unknown_service | service     | r-1        |
      | unknown path       | 404    | unknown_path    | path        |            |
      | wrong method       | 405    | wrong_method    | method      |            |
      | slow sender        | 400    | bad_request     | body        |            |
      | header flood       | 413    | too_large       | headers     |            |

  Scenario Outline: what is not HTTP ends the connection and nothing else
    Given an entry's HTTP interface that takes 2000 bytes of body and 0.2 s to send it
    When a caller sends the bytes of "<input>"
    Then the connection ends without details
    And the next good request is answered

    Examples:
      | input           |
      | noise           |
      | endless headers |
      | two lengths     |
      | cut short       |
