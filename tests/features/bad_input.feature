Feature: Invalid input is refused with a clear error and the entry keeps serving

  Scenario Outline: an invalid request is refused with <status> <kind>: <input>
    Given an entry whose HTTP interface accepts 2000 bytes of body within 0.2 s
    When a caller sends the invalid request "<input>"
    Then the entry responds with status <status>, error kind "<kind>" and field "<field>"
    And the error has the request id "<request_id>" and says that the request did not run
    And the entry answers the next valid request

    Examples:
      | input                  | status | kind            | field       | request_id |
      | body too large         | 413    | too_large       | body        |            |
      | chunked body too large | 413    | too_large       | body        |            |
      | huge Content-Length    | 413    | too_large       | body        |            |
      | deeply nested JSON     | 400    | bad_request     |             |            |
      | deeply nested filter   | 400    | bad_request     |             |            |
      | incomplete JSON        | 400    | bad_request     |             |            |
      | empty body             | 400    | bad_request     |             |            |
      | not UTF-8              | 400    | bad_request     |             |            |
      | JSON list              | 400    | bad_request     |             |            |
      | negative limit         | 400    | bad_request     | limit       | r-1        |
      | huge limit             | 400    | bad_request     | limit       | r-1        |
      | negative deadline      | 400    | bad_request     | deadline_ms | r-1        |
      | huge deadline          | 400    | bad_request     | deadline_ms | r-1        |
      | unknown field          | 400    | bad_request     | colour      | r-1        |
      | wrong type             | 400    | bad_request     | facets[0]   | r-1        |
      | too many facets        | 400    | bad_request     | facets      | r-1        |
      | invalid request id     | 400    | bad_request     | request_id  |            |
      | invalid cursor         | 400    | bad_request     | cursor      | r-1        |
      | no ticket              | 400    | bad_request     | ticket      | r-1        |
      | invalid ticket         | 403    | ticket_invalid  | ticket      | r-1        |
      | unknown service        | 404    | unknown_service | service     | r-1        |
      | unknown path           | 404    | unknown_path    | path        |            |
      | wrong method           | 405    | wrong_method    | method      |            |
      | slow body              | 400    | bad_request     | body        |            |
      | too many headers       | 413    | too_large       | headers     |            |

  Scenario Outline: malformed HTTP is refused and the entry keeps serving: <input>
    Given an entry whose HTTP interface accepts 2000 bytes of body within 0.2 s
    When a caller sends the malformed HTTP "<input>"
    Then the response is absent or has status 400 and no body
    And the entry answers the next valid request

    Examples:
      | input               |
      | binary data         |
      | endless headers     |
      | conflicting lengths |
      | incomplete head     |
