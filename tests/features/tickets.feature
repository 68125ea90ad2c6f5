Feature: A request that is not repeatable runs at most once
  Two entries, e1 and e2; the caller holds a ticket that e1 minted.

  Scenario Outline: the caller sends a request again
    Given tickets are minted by entry e1
    And a request with a ticket sent to e1 that <first>
    When for the ticket <event>
    And the caller sends the request again to <entry>
    Then the caller's second result is <result>
    And the request ran <runs> times

    Examples:
      | first        | event                        | entry | result          | runs |
      | is answered  | nothing happens              | e1    | ticket_used     | 1    |
      | is answered  | nothing happens              | e2    | ticket_used     | 1    |
      | still runs   | nothing happens              | e1    | the same answer | 1    |
      | still runs   | nothing happens              | e2    | the same answer | 1    |
      | still runs   | the caller hangs up          | e1    | the same answer | 1    |
      | still runs   | e1 is restarted              | e1    | outcome_unknown | 1    |
      | still runs   | e1 is restarted              | e2    | outcome_unknown | 1    |
      | still runs   | e1 is lost                   | e2    | outcome_unknown | 1    |
      | is answered  | the ticket expires           | e1    | outcome_unknown | 1    |
      | is answered  | e1 pauses beyond the expiry  | e2    | outcome_unknown | 1    |
      | never came   | nothing happens              | e2    | answered        | 1    |
      | never came   | e1 is lost                   | e2    | outcome_unknown | 0    |

  Scenario Outline: what cannot run under a ticket
    Given tickets are minted by entry e1
    When a request that is not repeatable comes with <ticket>
    Then the caller's second result is <result>
    And the request ran <runs> times

    Examples:
      | ticket                              | result          | runs |
      | no ticket                           | bad_request     | 0    |
      | a broken ticket                     | ticket_invalid  | 0    |
      | a forged digest                     | ticket_invalid  | 0    |
      | a ticket in use by another request  | ticket_used     | 1    |
