Feature: A ticket lets a non-idempotent request run at most once
  There are two entries, e1 and e2; the caller has a ticket that e1 minted.

  Scenario Outline: the request <first>, <event>, and a retry at <entry> receives <result>
    Given entry e1 mints tickets
    And a request with a ticket of e1 that <first>
    When before the retry <event>
    And the caller sends the request again to <entry>
    Then the caller receives <result>
    And requests have run <runs> times in total

    Examples:
      | first            | event                  | entry | result          | runs |
      | was answered     | nothing happens        | e1    | ticket_used     | 1    |
      | was answered     | nothing happens        | e2    | ticket_used     | 1    |
      | is still running | nothing happens        | e1    | the same answer | 1    |
      | is still running | nothing happens        | e2    | the same answer | 1    |
      | is still running | the caller disconnects | e1    | the same answer | 1    |
      | is still running | e1 restarts            | e1    | outcome_unknown | 1    |
      | is still running | e1 restarts            | e2    | outcome_unknown | 1    |
      | is still running | e1 is lost             | e2    | outcome_unknown | 1    |
      | was answered     | the ticket expires     | e1    | outcome_unknown | 1    |
      | was answered     | the ticket expires     | e2    | outcome_unknown | 1    |
      | never arrived    | nothing happens        | e2    | answered        | 1    |
      | never arrived    | e1 is lost             | e2    | outcome_unknown | 0    |

  Scenario Outline: a non-idempotent request with <ticket> is refused with <result>
    Given entry e1 mints tickets
    When a non-idempotent request is sent with <ticket>
    Then the caller receives <result>
    And requests have run <runs> times in total

    Examples:
      | ticket                             | result         | runs |
      | no ticket                          | bad_request    | 0    |
      | a malformed ticket                 | ticket_invalid | 0    |
      | a ticket with a forged digest      | ticket_invalid | 0    |
      | a ticket in use by another request | ticket_used    | 1    |
